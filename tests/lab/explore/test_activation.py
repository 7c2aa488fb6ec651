"""The exploration of activation: what one proxy has served, none denies afterwards."""

import pytest
from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.explore.activation import DEFECTS, World, explore


def test_what_one_proxy_has_served_none_denies_through_partitions_pauses_restarts_and_new_leaders() -> None:
    calls = 0
    for seed in range(24):
        world = World(seed).run()
        assert world.refused_after_acceptance == [], f"seed {seed}"
        assert world.accepted_after_refusal == [], f"seed {seed}: withdrawn, refused, and taken again"
        assert 0 in world.first_refused_us
        calls += world.call_count
        assert len(world.first_accepted_us) == world.tenant_count, f"seed {seed}: a tenant was never let in"
    assert calls > 10_000


@pytest.mark.parametrize("name", DEFECTS)
def test_known_defects_in_the_activation_rule_are_detected(name: str) -> None:
    """Known defects put in on purpose are found within the same seeds, and told with what led to them."""
    lines: list[str] = []
    _, seed = explore(range(24), name, lines.append)
    assert seed >= 0, name
    assert "WRONG" in lines[-1]
    assert explore(range(2))[1] == -1  # switched off again


def test_the_explore_command_reports_its_findings() -> None:
    for what, unit in (("log", "changes"), ("rejoin", "entries")):
        done = CliRunner().invoke(cli, ["lab", "explore", what, "--seeds", "1"])
        assert (done.exit_code, done.output.count("\n")) == (0, 1), done.output
        assert f"{unit}, 1 seeds, none wrong" in done.output
    done = CliRunner().invoke(cli, ["lab", "explore", "log", "--defect", "never-doubts"])
    assert done.exit_code == 2
    assert "known: lying-disk, commits-alone, says-before-written" in done.output
    done = CliRunner().invoke(cli, ["lab", "explore", "--seeds", "2"])
    assert (done.exit_code, done.output.count("\n")) == (0, 1), done.output
    done = CliRunner().invoke(cli, ["lab", "explore", "--seeds", "24", "--defect", "never-doubts"])
    assert done.exit_code == 1
    assert "WRONG" in done.output
