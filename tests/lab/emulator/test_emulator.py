"""The laboratory's emulator, baselines and reports: seeded runs with each fault, and rules that do catch."""

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
RUNNING = ("wall_s", "events_per_s", "peak_mb")


def counted(world, name: str) -> int:
    return sum(server.counts[name] for server in world.servers.values())


def play(text: str, make=None):
    return World(scenario.parse(text, "test.toml"), make).run()


def fault(kind: str, target: str = "all", at_s: float = 1.0, for_s: float = 1.5, factor: float = 1.0) -> str:
    return (
        f'\n[[fault]]\nat_s = {at_s}\nkind = "{kind}"\ntarget = "{target}"\nfor_s = {for_s}\n'
        f"factor = {factor}\n"
    )


def test_the_same_scenario_and_seed_give_the_same_run():
    text = SMALL.format(policy="module") + fault("server_kill", "share:0.5")
    one, two = play(text).as_dict(), play(text).as_dict()
    for name in RUNNING:
        one.pop(name), two.pop(name)
    assert one == two
    other = play(text.replace("seed = 3", "seed = 4")).as_dict()
    assert other["ends"] != one["ends"]


@pytest.mark.parametrize("policy", ["module", "local", "central"])
@pytest.mark.parametrize(
    ("kind", "target", "factor", "seen"),
    [
        ("server_kill", "share:0.5", 1.0, lambda r, w: counted(w, "no connection")),
        ("server_drain", "0-1", 1.0, lambda r, w: r.ends["finished"]),
        ("server_slow", "all", 20.0, lambda r, w: r.latency_ms["max"] > 300),
        ("server_failing", "all", 0.5, lambda r, w: counted(w, "errors")),
        ("server_fast_errors", "0-2", 1.0, lambda r, w: counted(w, "errors")),
        ("server_silent", "0", 1.0, lambda r, w: r.ends["finished"]),
        ("limiter_kill", "share:0.5", 1.0, lambda r, w: r.ends["front"]),
        ("counter_lost", "all", 1.0, lambda r, w: r.counter_unanswered or r.policy == "local"),
        ("counter_cut", "0-1", 1.0, lambda r, w: r.counter_unanswered or r.policy == "local"),
        ("counter_split", "all", 1.0, lambda r, w: w.counter.split is None),
        ("counter_restart", "all", 1.0, lambda r, w: r.ends["finished"]),
        ("surge", "all", 3.0, lambda r, w: max(r.series["arrived"]) > 300),
        ("discovery_stale", "all", 1.0, lambda r, w: not w.held_news),
    ],
)
def test_each_fault_has_an_effect_and_every_rule_holds(policy, kind, target, factor, seen):
    world = World(scenario.parse(SMALL.format(policy=policy) + fault(kind, target, factor=factor), "t.toml"))
    result = world.run()
    # The module keeps every rule; a baseline knows no ceiling, and is held to the other four.
    kept = result.breaches if policy == "module" else [each for each in result.breaches if each["rule"] != 5]
    assert not kept, kept[:3]
    assert result.ends["lost"] == 0
    assert seen(result, world), kind
    assert sum(result.ends.values()) == result.operations


def test_a_killed_and_drained_server_gets_nothing_after_the_grace_and_returns_in_slow_start():
    text = SMALL.format(policy="module") + fault("server_kill", "0-2", for_s=1.0)
    text += fault("server_drain", "3", 2.5)
    world = World(scenario.parse(text, "t.toml"))
    result = world.run()
    assert result.broken == 0
    assert world.servers["s0"].started_us > 1_000_000
    assert 0 < result.most_cold_share <= 1.0


class Twice(BaselinePolicy):
    """A careless policy: sends every operation to two servers at once, and answers the second time too."""

    def handle(self, op):
        for name in self.ready[:2]:
            yield Send(BaselineAttempt(op, BaselineServer(name)))
        yield Reject(RejectReason.RETRY_LATER, 0)
        yield Reject(RejectReason.RETRY_LATER, 0)


class Mute(BaselinePolicy):
    """A careless policy: takes every operation, waits past its hard stop, and never answers."""

    def handle(self, op):
        yield Sleep(op.deadline_us + 1_000_000)


def test_the_checker_names_the_operation_and_step_of_a_violation():
    text = SMALL.format(policy="module")
    twice = play(text, lambda clock, index: Twice(clock, index))
    rules = {breach["rule"] for breach in twice.breaches}
    assert {1, 2} <= rules
    assert twice.broken > 0
    first = twice.breaches[0]
    assert first["step"] > 0
    assert first["operation"].startswith("#")
    mute = play(text, lambda clock, index: Mute(clock, index))
    assert any("no final answer" in breach["what"] for breach in mute.breaches)
    assert mute.ends["lost"] > 0


class Open(BaselinePolicy):
    """A policy with no limit at all: it passes every ceiling."""

    def handle(self, op):
        yield from self.send(op)


def test_the_checker_detects_a_rate_limit_exceeded_by_all_limiters_together():
    text = SMALL.format(policy="module").replace("rate = 150", "rate = 600")
    result = play(text, lambda clock, index: Open(clock, index))
    assert any(breach["rule"] == 5 for breach in result.breaches)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[run]\nseconds = 'long'\n", "test.toml:2: run.seconds: not a number"),
        ("[run]\nlimiters = 4\n\n[servers]\ncapacty = 3\n", "test.toml:5: servers.capacty: no such key"),
        ('[[fault]]\nat_s = 1\nkind = "melt"\n', "test.toml:3: fault[0].kind: 'melt' is not one of"),
        ('[[fault]]\nkind = "surge"\ntarget = "most"\n', "test.toml:3: fault[0].target"),
        ("[run\nseconds = 3\n", "test.toml: "),
        ("[run]\nrate = -5\n", "test.toml:2: run.rate: -5 is outside"),
    ],
)
def test_an_invalid_scenario_is_one_line_with_its_place(text, said):
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.parse(text, "test.toml")
    assert str(caught.value).startswith(said)
    assert "\n" not in str(caught.value)


def test_lab_run_and_report_on_the_command_line(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(SMALL.format(policy="local"))
    runner = CliRunner()
    done = runner.invoke(cli, ["lab", "run", str(path), "--out", str(tmp_path / "r.json"), "--seed", "5"])
    assert done.exit_code == 0, done.output
    assert json.loads((tmp_path / "r.json").read_text())["seed"] == 5
    shown = runner.invoke(
        cli,
        ["lab", "report", str(tmp_path / "r.json"), str(tmp_path / "r.json"), "--out", str(tmp_path / "rep")],
    )
    assert shown.exit_code == 0
    assert (tmp_path / "rep.png").read_bytes()[:4] == b"\x89PNG"
    assert "<table>" in (tmp_path / "rep.html").read_text()
    path.write_text("[run]\nlimiters = 'many'\n")
    bad = runner.invoke(cli, ["lab", "run", str(path)])
    assert bad.exit_code == 2
    assert "s.toml:2: run.limiters: not a number" in bad.output
    assert "Traceback" not in bad.output
    with pytest.raises(plots.RunFileError):
        plots.load(str(path))
