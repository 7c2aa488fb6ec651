# Build, test, lint and run; the same commands that CI and the operators use.
PY = .venv/bin/python

CONFIG ?= deploy/sample.json

.PHONY: build lint test check run demo system-demo standins clean

# The command is what was built last: a .venv that .ci/run or the bench's build made has none yet
build: .venv/bin/lapisgrade

.venv/bin/lapisgrade: requirements.txt requirements-system.txt requirements-lab.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-lab.txt
	.venv/bin/pip -q install --no-deps -e .
	touch .venv/bin/lapisgrade

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

test: build
	$(PY) -m pytest -n logical --maxprocesses 8 --dist worksteal

check: lint test

# One limiter, as told by the file CONFIG; the sample wants `make standins` running beside it
run: build
	ROUTER_CONFIG=$(CONFIG) exec $(PY) -m lapisgrade

# Counter, discovery and servers at the sample's addresses, until Ctrl-C
standins: build
	.venv/bin/lapisgrade standins

# Stand-ins and two limiters in one process, ten seconds of load, the counts
demo: build
	.venv/bin/lapisgrade demo --load

# The whole system on loopback: controllers, proxies, stand-in servers, a configuration, some load
system-demo: build
	$(PY) -m lapisgrade.gateway system-demo

clean:
	rm -rf .venv .pytest_cache .ruff_cache
