"""Exploration of version activation: proxies agree on which tenants they accept."""

import pytest
from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.explore.activation import DEFECTS, World, explore


def test_a_tenant_accepted_by_one_proxy_is_not_refused_by_another_under_faults() -> None:
    calls = 0
    for seed in range(24):
        world = World(seed).run()
        assert world.refused_after_acceptance == [], f"seed {seed}"
        assert world.accepted_after_refusal == [], f"seed {seed}: withdrawn, refused, then accepted"
        assert 0 in world.first_refused_us
        calls += world.call_count
        assert len(world.first_accepted_us) == world.tenant_count, f"seed {seed}: a tenant was never accepted"
    assert calls > 10_000


@pytest.mark.parametrize("name", DEFECTS)
def test_an_injected_defect_of_activation_is_found_and_its_transcript_printed(name: str) -> None:
    """The seeds of the test above are enough to find each defect."""
    lines: list[str] = []
    _, seed = explore(range(24), name, lines.append)
    assert seed >= 0, name
    assert "WRONG" in lines[-1]
    assert explore(range(2))[1] == -1  # the defect is removed after the exploration


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
