"""The files under `deploy/` keep their names and keys, which the platform's programs read."""

import json
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
DEPLOY = ROOT / "deploy"


def read_toml(name: str) -> dict:
    return tomllib.loads((DEPLOY / name).read_text())


def test_deploy_file_names():
    assert {path.name for path in DEPLOY.iterdir()} == {
        "balancer.toml",
        "peers.toml",
        "sample.json",
        "system.toml",
    }


def test_limiter_deployment():
    deployed = read_toml("balancer.toml")
    assert list(deployed) == ["build", "run", "sim", "policy", "node", "packages"]
    assert deployed["run"] == "exec .venv/bin/python -m lapisgrade"
    assert deployed["packages"] == []
    for key in ("policy", "node"):
        assert deployed[key]
        assert all((ROOT / path).exists() for path in deployed[key])


def test_bench_adapter_module_exists():
    program, module = read_toml("balancer.toml")["sim"].rsplit(" ", 1)
    assert program == "exec .venv/bin/python -m"
    assert (ROOT / module.replace(".", "/") / "__main__.py").exists()


def test_system_deployment():
    deployed = read_toml("system.toml")
    assert list(deployed) == ["build", "packages", "roles"]
    assert deployed["packages"] == ["python3", "python3-pip", "ca-certificates"]
    assert deployed["roles"] == {
        "proxy": {
            "run": "python3 -m lapisgrade.gateway proxy",
            "on": "edge",
            "share": 1.0,
            "serves": ["edge"],
        },
        "controller": {
            "run": "python3 -m lapisgrade.gateway controller",
            "on": "edge",
            "share": 0.25,
            "serves": ["ctl"],
        },
    }


def test_peer_settings():
    assert read_toml("peers.toml") == {"peers": {"listen": "127.0.0.1:7400", "seeds": []}}


def test_sample_limiter_configuration_keys():
    sample = json.loads((DEPLOY / "sample.json").read_text())
    assert list(sample) == ["name", "listen", "discovery", "counter", "seed", "limits", "known", "settings"]
    assert list(sample["limits"]) == ["cores", "memory_mb", "sockets"]
    assert list(sample["known"]) == ["generation", "reset", "instances"]
    settings = sample["settings"]
    assert list(settings) == [
        "SelfIndex",
        "NInstances",
        "Zone",
        "Zones",
        "RequestClasses",
        "TiersOfService",
        "Ceilings",
        "Rules",
        "Specifics",
    ]
    assert {key for entry in settings["RequestClasses"] for key in entry} == {
        "Name",
        "Idempotency",
        "Aim",
        "Deadline",
        "Worth",
        "LateWorth",
        "Group",
        "KeyTtl",
    }
    assert {key for entry in settings["TiersOfService"] for key in entry} == {
        "Name",
        "UnitsPerS",
        "Burst",
        "NeverOverRate",
        "CeilingBurst",
        "CapSlack",
    }
    assert set(settings["Ceilings"]) == {
        "AttemptsCap",
        "Cancel",
        "ParallelTries",
        "RetryAfter",
        "MaxRetryAfter",
        "DialTimeout",
        "Keepalive",
    }
    assert set(settings["Rules"]) == {"DrainGrace", "Cold", "ColdFrom", "Fall", "FallMultiple"}
    assert set(settings["Specifics"]) == {"SharedCounter", "CountLimit", "UnitsTop"}
