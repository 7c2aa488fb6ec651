"""The emulator, baselines and reports: seeded runs with each fault, and detection of rule breaches."""

import json

import pytest
from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.interface import Reject, RejectReason, Send, Sleep
from lapisgrade.lab.baselines.common import BaselineAttempt, BaselinePolicy, BaselineServer
from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.emulator.world import World
from lapisgrade.lab.report import plots

SMALL = """
[run]
seconds = 4
limiters = 4
servers = 6
customers = 40
rate = 150
seed = 3
policy = "{policy}"
"""
MACHINE_DEPENDENT_FIELDS = ("wall_s", "events_per_s", "peak_mb")


def server_count(world, name: str) -> int:
    """Return the sum, over all servers, of the count with that name."""
    return sum(server.counts[name] for server in world.servers.values())


def run_scenario(text: str, make_policy=None):
    return World(scenario.parse(text, "test.toml"), make_policy).run()


def fault(kind: str, target: str = "all", at_s: float = 1.0, for_s: float = 1.5, factor: float = 1.0) -> str:
    return (
        f'\n[[fault]]\nat_s = {at_s}\nkind = "{kind}"\ntarget = "{target}"\nfor_s = {for_s}\n'
        f"factor = {factor}\n"
    )


def test_the_same_scenario_and_seed_give_the_same_run():
    text = SMALL.format(policy="module") + fault("server_kill", "share:0.5")
    first_run, second_run = run_scenario(text).as_dict(), run_scenario(text).as_dict()
    for name in MACHINE_DEPENDENT_FIELDS:
        first_run.pop(name), second_run.pop(name)
    assert first_run == second_run
    other_seed = run_scenario(text.replace("seed = 3", "seed = 4")).as_dict()
    assert other_seed["ends"] != first_run["ends"]


@pytest.mark.parametrize("policy", ["module", "local", "central"])
@pytest.mark.parametrize(
    ("kind", "target", "factor", "has_effect"),
    [
        ("server_kill", "share:0.5", 1.0, lambda r, w: server_count(w, "connect failed")),
        ("server_drain", "0-1", 1.0, lambda r, w: r.ends["finished"]),
        ("server_slow", "all", 20.0, lambda r, w: r.latency_ms["max"] > 300),
        ("server_failing", "all", 0.5, lambda r, w: server_count(w, "errors")),
        ("server_fast_errors", "0-2", 1.0, lambda r, w: server_count(w, "errors")),
        ("server_silent", "0", 1.0, lambda r, w: r.ends["finished"]),
        ("limiter_kill", "share:0.5", 1.0, lambda r, w: r.ends["front"]),
        ("counter_lost", "all", 1.0, lambda r, w: r.counter_unanswered or r.policy == "local"),
        ("counter_cut", "0-1", 1.0, lambda r, w: r.counter_unanswered or r.policy == "local"),
        ("counter_split", "all", 1.0, lambda r, w: w.counter.split_from is None),
        ("counter_restart", "all", 1.0, lambda r, w: r.ends["finished"]),
        ("surge", "all", 3.0, lambda r, w: max(r.series["arrived"]) > 300),
        ("discovery_stale", "all", 1.0, lambda r, w: not w.is_discovery_stale),
    ],
)
def test_each_fault_has_an_effect_and_every_rule_holds(policy, kind, target, factor, has_effect):
    world = World(scenario.parse(SMALL.format(policy=policy) + fault(kind, target, factor=factor), "t.toml"))
    result = world.run()
    # The module must keep every rule. The baselines implement no rate limits: rule 5 is not checked for them.
    breaches = (
        result.breaches
        if policy == "module"
        else [breach for breach in result.breaches if breach["rule"] != 5]
    )
    assert not breaches, breaches[:3]
    assert result.ends["lost"] == 0
    assert has_effect(result, world), kind
    assert sum(result.ends.values()) == result.operations


def test_a_killed_and_drained_server_gets_nothing_after_the_grace_and_returns_in_slow_start():
    text = SMALL.format(policy="module") + fault("server_kill", "0-2", for_s=1.0)
    text += fault("server_drain", "3", 2.5)
    world = World(scenario.parse(text, "t.toml"))
    result = world.run()
    assert result.broken == 0
    assert world.servers["s0"].started_us > 1_000_000
    assert 0 < result.most_cold_share <= 1.0


class DuplicatingPolicy(BaselinePolicy):
    """Incorrect policy: sends every operation to two servers at once and answers it twice."""

    def handle(self, op):
        for name in self.ready[:2]:
            yield Send(BaselineAttempt(op, BaselineServer(name)))
        yield Reject(RejectReason.RETRY_LATER, 0)
        yield Reject(RejectReason.RETRY_LATER, 0)


class SilentPolicy(BaselinePolicy):
    """Incorrect policy: waits past the deadline of every operation and never answers it."""

    def handle(self, op):
        yield Sleep(op.deadline_us + 1_000_000)


def test_the_checker_names_the_operation_and_step_of_a_violation():
    text = SMALL.format(policy="module")
    duplicating = run_scenario(text, lambda clock, index: DuplicatingPolicy(clock, index))
    rules = {breach["rule"] for breach in duplicating.breaches}
    assert {1, 2} <= rules
    assert duplicating.broken > 0
    first_breach = duplicating.breaches[0]
    assert first_breach["step"] > 0
    assert first_breach["operation"].startswith("#")
    silent = run_scenario(text, lambda clock, index: SilentPolicy(clock, index))
    assert any("no final answer" in breach["what"] for breach in silent.breaches)
    assert silent.ends["lost"] > 0


class UnlimitedPolicy(BaselinePolicy):
    """Incorrect policy: admits everything and so exceeds every rate limit."""

    def handle(self, op):
        yield from self.send(op)


def test_the_checker_detects_a_rate_limit_exceeded_by_all_limiters_together():
    text = SMALL.format(policy="module").replace("rate = 150", "rate = 600")
    result = run_scenario(text, lambda clock, index: UnlimitedPolicy(clock, index))
    assert any(breach["rule"] == 5 for breach in result.breaches)


@pytest.mark.parametrize(
    ("text", "expected_start"),
    [
        ("[run]\nseconds = 'long'\n", "test.toml:2: run.seconds: not a number"),
        ("[run]\nlimiters = 4\n\n[servers]\ncapacty = 3\n", "test.toml:5: servers.capacty: unknown key"),
        ('[[fault]]\nat_s = 1\nkind = "melt"\n', "test.toml:3: fault[0].kind: 'melt' is not one of"),
        ('[[fault]]\nkind = "surge"\ntarget = "most"\n', "test.toml:3: fault[0].target"),
        ("[run\nseconds = 3\n", "test.toml: "),
        ("[run]\nrate = -5\n", "test.toml:2: run.rate: -5 is outside"),
    ],
)
def test_an_invalid_scenario_gives_a_one_line_error_with_file_and_line(text, expected_start):
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.parse(text, "test.toml")
    assert str(caught.value).startswith(expected_start)
    assert "\n" not in str(caught.value)


def test_lab_run_and_report_commands_write_files_and_reject_an_invalid_scenario(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(SMALL.format(policy="local"))
    runner = CliRunner()
    run = runner.invoke(cli, ["lab", "run", str(path), "--out", str(tmp_path / "r.json"), "--seed", "5"])
    assert run.exit_code == 0, run.output
    assert json.loads((tmp_path / "r.json").read_text())["seed"] == 5
    report = runner.invoke(
        cli,
        ["lab", "report", str(tmp_path / "r.json"), str(tmp_path / "r.json"), "--out", str(tmp_path / "rep")],
    )
    assert report.exit_code == 0
    assert (tmp_path / "rep.png").read_bytes()[:4] == b"\x89PNG"
    assert "<table>" in (tmp_path / "rep.html").read_text()
    path.write_text("[run]\nlimiters = 'many'\n")
    invalid_run = runner.invoke(cli, ["lab", "run", str(path)])
    assert invalid_run.exit_code == 2
    assert "s.toml:2: run.limiters: not a number" in invalid_run.output
    assert "Traceback" not in invalid_run.output
    with pytest.raises(plots.RunFileError):
        plots.load(str(path))
