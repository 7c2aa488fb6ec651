"""The control plane's real shell in simulated time under fault schedules, and wrong versions to find.

A schedule that finds none of the wrong versions proves nothing.
"""

import pytest

from lapisgrade.lab.explore.defects import injected
from lapisgrade.lab.simulation.defects import control_plane as control_plane_defects
from lapisgrade.lab.simulation.fault_schedules import FAULT_SCHEDULES

SEEDS = 8  # of each schedule
DEFECT_SEEDS = 30  # in which a wrong version must be found

pytestmark = pytest.mark.usefixtures("silent_logging")


@pytest.mark.parametrize(
    ("schedule", "seeds"),
    [
        pytest.param("leader-cut", SEEDS, id="a_leader_that_is_cut_off_serves_and_confirms_nothing"),
        pytest.param(
            "orders-resent", SEEDS, id="orders_sent_again_are_answered_alike_and_no_two_on_one_base_are_taken"
        ),
        pytest.param("second-loss", 15, id="a_second_loss_after_a_repair_or_replacement_costs_nothing"),
        pytest.param(
            "wiped-after-ack", SEEDS, id="one_that_holds_an_acknowledgement_is_emptied_and_all_lose_power"
        ),
        pytest.param("slow-changes", SEEDS, id="changes_of_voters_under_late_answers"),
        pytest.param("newcomers", SEEDS, id="two_newcomers_on_the_cut_off_leader_s_side"),
        pytest.param(
            "hundreds-of-changes",
            12,
            id="a_member_that_missed_hundreds_of_changes_catches_up_while_they_go_on",
        ),
        pytest.param("unsynced", SEEDS, id="what_was_not_synced_counts_for_nothing"),
        pytest.param("churn", SEEDS, id="leaders_with_entries_of_several_terms"),
        pytest.param("drawn", 20, id="drawn_troubles"),
    ],
)
def test_no_guarantee_is_broken(schedule: str, seeds: int, subtests: pytest.Subtests) -> None:
    acknowledged = 0
    for seed in range(seeds):
        with subtests.test(schedule=schedule, seed=seed):
            simulation = FAULT_SCHEDULES[schedule](seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            acknowledged += simulation.acknowledged()
    assert acknowledged > 5 * seeds


def test_a_seed_replays_exactly() -> None:
    first, second = FAULT_SCHEDULES["drawn"](3), FAULT_SCHEDULES["drawn"](3)
    assert first.cluster.transcript_lines == second.cluster.transcript_lines
    assert first.history == second.history


@pytest.mark.parametrize(
    ("name", "schedule"),
    [(name, schedule) for group, schedule in control_plane_defects.SCHEDULES_BY_DEFECTS for name in group],
)
def test_each_wrong_version_is_found(name: str, schedule: str) -> None:
    with injected(control_plane_defects.CONTROL_PLANE_DEFECTS, name):
        found = next(
            (seed for seed in range(DEFECT_SEEDS) if FAULT_SCHEDULES[schedule](seed).violations), None
        )
        assert found is not None, f"{name} survived {DEFECT_SEEDS} seeds of {schedule}"
