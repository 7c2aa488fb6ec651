"""The linearizability check on histories of one register."""

import pytest

from lapisgrade.lab.simulation.linearizability import UNANSWERED, Event, first_violation, linearizable


def change(
    called_us: int, returned_us: int, version: int, base: int, is_accepted: bool | None = True
) -> Event:
    return Event("change", called_us, returned_us, version, base, is_accepted)


def read(called_us: int, returned_us: int, version: int) -> Event:
    return Event("read", called_us, returned_us, version)


@pytest.mark.parametrize(
    "events",
    [
        [change(0, 5, 1, 0), read(6, 7, 1)],
        [change(0, 9, 1, 0), read(1, 2, 0), read(3, 4, 1)],  # takes effect between the reads
        [change(0, 9, 1, 0), change(0, 9, 2, 0, False), read(10, 11, 1)],
        [change(0, UNANSWERED, 1, 0, None), read(5, 6, 0), read(7, 8, 1)],
        [change(0, UNANSWERED, 1, 0, None), change(1, 2, 3, 0), read(5, 6, 3)],  # never accepted
    ],
)
def test_a_linearizable_history_has_no_violation(events: list[Event]) -> None:
    assert linearizable(events)
    assert first_violation(events) is None


@pytest.mark.parametrize(
    ("events", "violation_us"),
    [
        ([change(0, 5, 1, 0), read(6, 7, 0)], 7),  # a stale read
        ([change(0, 9, 1, 0), read(1, 2, 1), read(3, 4, 0)], 4),  # reads of decreasing versions
        ([change(0, 5, 1, 0), change(0, 5, 2, 0)], 5),  # two accepted changes with one base
        ([change(0, 5, 1, 0, False), read(6, 7, 0)], 5),  # rejected though its base is the value
        ([change(0, 5, 1, 0), change(6, 7, 2, 1), change(8, 9, 3, 1), read(20, 21, 3)], 9),
    ],
)
def test_the_first_violation_of_a_history_that_is_not_linearizable_is_found(
    events: list[Event], violation_us: int
) -> None:
    assert not linearizable(events)
    assert first_violation(events) == violation_us
