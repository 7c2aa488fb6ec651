# Build, test, lint and run; the same commands that CI and the operators use.
PY = .venv/bin/python

.PHONY: build lint test check run clean

build: .venv

.venv: requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv

lint: build
	.venv/bin/ruff check .

test: build
	$(PY) -m pytest

check: lint test

# One limiter, as told by the file CONFIG: make run CONFIG=config.json
run: build
	ROUTER_CONFIG=$(CONFIG) exec $(PY) -m lapisgrade

clean:
	rm -rf .venv .pytest_cache .ruff_cache
