"""Keyed operations in simulated time, the rules they are checked against, and injected defects."""

import pytest

from lapisgrade.lab.explore import operations as explored
from lapisgrade.lab.simulation.defects import operations as operation_defects
from lapisgrade.lab.simulation.operations.history import Answer, OperationHistory, Run, Try
from lapisgrade.lab.simulation.operations.schedules import SCHEDULES
from lapisgrade.lab.simulation.virtual_loop import SECOND

SEEDS = 2  # number of seeds per schedule
DEFECT_SEEDS = 3  # number of seeds, from the defect's first seed on, of which one must find it
KEY = ("ana", "k-1")

pytestmark = pytest.mark.usefixtures("logging_disabled")


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_each_key_runs_once_and_repeats_get_the_same_response(
    schedule: str, subtests: pytest.Subtests
) -> None:
    served = 0
    for seed in range(SEEDS):
        with subtests.test(seed=seed):
            simulation = SCHEDULES[schedule](seed)
            assert simulation.violations == [], "\n".join(simulation.transcript())
            answers = [each.answer for each in simulation.operation_history.tries.values()]
            served += sum(answer is not None and answer.status == 200 for answer in answers)
    assert served > 100 * SEEDS


def test_a_seed_replays_exactly() -> None:
    first, second = SCHEDULES["owner-lost"](3), SCHEDULES["owner-lost"](3)
    assert first.cluster.transcript_lines == second.cluster.transcript_lines
    assert first.operation_history.tries == second.operation_history.tries


@pytest.mark.parametrize("name", explored.DEFECTS)
def test_an_injected_defect_of_keyed_operations_is_found(name: str) -> None:
    first = operation_defects.FIRST_SEED.get(name, 0)
    lines: list[str] = []
    _, seed = explored.explore(range(first, first + DEFECT_SEEDS), name, lines.append)
    assert seed >= 0, f"{name} was not found in {DEFECT_SEEDS} seeds from {first} on"
    assert "WRONG" in lines[-1]


# ---- the rules


class ObservedHistory:
    """A history of try 1, sent at 0 s, and try 2, sent `apart_s` later, both of one key."""

    def __init__(self, apart_s: float = 1.0) -> None:
        self.violations: list[str] = []
        self.history = OperationHistory(60 * SECOND, self.violations.append)
        self.tries = [Try(KEY, "1", 0, b"order"), Try(KEY, "2", round(apart_s * SECOND), b"order")]
        for each in self.tries:
            self.history.on_sent(each)

    def run(self, number: int, status: int = 200) -> None:
        """Record a run of that try."""
        self.history.on_run(Run(KEY, str(number), 0, b"order", status, b"done", f"seal-{number}"))

    def answer(
        self, number: int, status: int, seal: str = "", body: bytes = b"", try_id: str | None = None
    ) -> None:
        """Record a response to that try."""
        try_ids = (try_id if try_id is not None else str(number),)
        self.history.on_answer(self.tries[number - 1], Answer(status, try_ids, seal, body))


def test_one_run_and_a_repeat_with_its_response_violate_no_rule() -> None:
    observed = ObservedHistory()
    observed.answer(2, 409)
    observed.run(1)
    observed.answer(1, 200, "seal-1", b"done")
    observed.answer(2, 200, "seal-1", b"done")
    assert observed.violations == []


@pytest.mark.parametrize(("apart_s", "count"), [(59.9, 1), (60.1, 0)])
def test_a_second_run_within_the_window_is_reported(apart_s: float, count: int) -> None:
    observed = ObservedHistory(apart_s)
    observed.run(1)
    observed.run(2)
    assert sum(each.startswith("TWICE") for each in observed.violations) == count


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_not_run_status_for_a_try_that_runs_is_reported(status: int) -> None:
    run_before_answer, run_after_answer = ObservedHistory(), ObservedHistory()
    run_before_answer.run(1)
    run_before_answer.answer(1, status)
    run_after_answer.answer(1, status)
    run_after_answer.run(1)
    for observed in (run_before_answer, run_after_answer):
        assert [each.split(":")[0] for each in observed.violations] == ["REFUSED"]


@pytest.mark.parametrize(
    ("status", "seal", "body", "try_id"),
    [
        (200, "seal-1", b"don", None),
        (200, "", b"done", None),
        (201, "seal-1", b"done", None),
        (200, "seal-1", b"done", "1"),
    ],
)
def test_a_success_that_differs_from_the_run_s_response_is_reported(
    status: int, seal: str, body: bytes, try_id: str | None
) -> None:
    observed = ObservedHistory()
    observed.run(1)
    observed.answer(2, status, seal, body, try_id)
    assert [each.split(":")[0] for each in observed.violations] == ["MIXED"]


def test_a_run_of_a_request_that_no_client_sent_is_reported() -> None:
    observed = ObservedHistory()
    observed.history.on_run(Run(("ben", "k-1"), "1", 0, b"order", 200, b"done", "seal-9"))
    observed.history.on_run(Run(KEY, "1", 0, b"another order", 200, b"done", "seal-10"))
    assert [each.split(":")[0] for each in observed.violations] == ["UNASKED", "UNASKED"]
