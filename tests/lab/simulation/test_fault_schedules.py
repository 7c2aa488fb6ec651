"""The control plane in simulated time under fault schedules, and injected defects that must be found.

A schedule that finds none of its injected defects would prove nothing by finding no violation.
"""

import pytest

from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.defects import control_plane as control_plane_defects
from lapisgrade.lab.simulation.fault_schedules import FAULT_SCHEDULES, tolerated_losses

SEEDS = 8  # number of seeds per schedule
DEFECT_SEEDS = 30  # number of seeds, of which one must find an injected defect

pytestmark = pytest.mark.usefixtures("logging_disabled")


@pytest.mark.parametrize(
    ("schedule", "seeds"),
    [
        pytest.param("leader-cut", SEEDS, id="an_isolated_leader_serves_and_acknowledges_nothing"),
        pytest.param(
            "orders-resent",
            SEEDS,
            id="a_change_sent_again_has_the_same_outcome_and_each_base_has_one_version",
        ),
        pytest.param("second-loss", 15, id="a_second_loss_after_a_repair_or_replacement_loses_no_change"),
        pytest.param(
            "tolerated-losses", SEEDS, id="all_disks_that_faults_allows_wiped_after_an_acknowledgement"
        ),
        pytest.param(
            "wiped-after-ack", SEEDS, id="power_loss_and_one_wiped_disk_right_after_an_acknowledgement"
        ),
        pytest.param("slow-changes", SEEDS, id="voter_changes_with_delayed_replies"),
        pytest.param("newcomers", SEEDS, id="two_machines_join_on_an_isolated_leader_s_side"),
        pytest.param(
            "hundreds-of-changes",
            12,
            id="a_member_that_missed_hundreds_of_changes_catches_up_under_load",
        ),
        pytest.param("unsynced", SEEDS, id="unsynced_writes_are_not_acknowledged"),
        pytest.param("churn", SEEDS, id="leaders_with_uncommitted_entries_of_several_terms"),
        pytest.param("drawn", 20, id="random_faults"),
    ],
)
def test_no_invariant_is_violated(schedule: str, seeds: int, subtests: pytest.Subtests) -> None:
    acknowledged = 0
    for seed in range(seeds):
        with subtests.test(schedule=schedule, seed=seed):
            simulation = FAULT_SCHEDULES[schedule](seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            acknowledged += simulation.count_acknowledged_changes()
    assert acknowledged > 5 * seeds


@pytest.mark.parametrize("sizes", [(3, 2), (4, 2)])
def test_the_losses_of_faults_are_not_tolerated_by_too_few_voters(sizes: tuple[int, int]) -> None:
    """As on the small deployments with the share of controllers that their deploy file had before."""
    assert any(tolerated_losses(seed, (sizes,)).violations for seed in range(3))


def test_a_seed_replays_exactly() -> None:
    first, second = FAULT_SCHEDULES["drawn"](3), FAULT_SCHEDULES["drawn"](3)
    assert first.cluster.transcript_lines == second.cluster.transcript_lines
    assert first.history == second.history


@pytest.mark.parametrize(
    ("name", "schedule"),
    [(name, schedule) for group, schedule in control_plane_defects.DEFECTS_AND_SCHEDULES for name in group],
)
def test_an_injected_defect_of_the_control_plane_is_found(name: str, schedule: str) -> None:
    with injected(control_plane_defects.CONTROL_PLANE_DEFECTS, name):
        found = next(
            (seed for seed in range(DEFECT_SEEDS) if FAULT_SCHEDULES[schedule](seed).violations), None
        )
        assert found is not None, f"{name} was not found in {DEFECT_SEEDS} seeds of {schedule}"
