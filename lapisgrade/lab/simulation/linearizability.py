"""Linearizability of a history of changes and reads of one register.

The algorithm is that of Wing and Gong, "Testing and Verifying Concurrent Objects", 1993, with the state cache
of Lowe, "Testing for Linearizability", 2017.

The register has a version as its value. A change from `base` to `version` is accepted if the value is its
base, and rejected otherwise; one without a final reply may have been accepted or not. A read returns the
value.
"""

from collections.abc import Iterator
from dataclasses import dataclass

UNANSWERED = 1 << 62  # us; return time of an operation without a final reply, later than any reply
MAX_STATES = 400_000  # maximum number of states before the search is abandoned


@dataclass(frozen=True, slots=True)
class Event:
    """One operation on the register, from its call to its return (us)."""

    kind: str  # "change" or "read"
    called_us: int
    returned_us: int  # UNANSWERED without a final reply
    version: int
    base: int = 0
    is_accepted: bool | None = None  # whether a change was accepted; None without a final reply


class HistoryTooLargeError(Exception):
    """The search was abandoned, so it is unknown whether the history is linearizable."""


def apply_event(event: Event, value: int) -> int | None:
    """Return the register's value after an event with a final reply, or None if that reply is impossible."""
    if event.kind == "read":
        return value if value == event.version else None
    if event.is_accepted:
        return event.version if value == event.base else None
    # A valid change is rejected only if the value is not its base.
    return value if value != event.base else None


def _next_states(events: list[Event], done: int, value: int) -> Iterator[tuple[int, int]]:
    """Yield the states after each possible next event: one called before any remaining event returned.

    Args:
        events: All events in order of their calls.
        done: Bit set of the indexes of the events that have taken effect.
        value: Value of the register after them.
    """
    first_return_us = UNANSWERED
    for i, event in enumerate(events):
        if done >> i & 1:
            continue
        if event.called_us > first_return_us:
            return
        first_return_us = min(first_return_us, event.returned_us)
        if event.kind == "change" and event.is_accepted is None:
            if value == event.base:  # it may have been accepted at this point, or never
                yield done | 1 << i, event.version
            continue
        next_value = apply_event(event, value)
        if next_value is not None:
            yield done | 1 << i, next_value


def linearizable(events: list[Event], start: int = 0) -> bool:
    """Whether some order of the events, each between its call and its return, explains all replies.

    Args:
        events: The events in any order.
        start: Value of the register before them.

    Raises:
        HistoryTooLargeError: The search has visited `MAX_STATES` states.
    """
    events = sorted(events, key=lambda each: (each.called_us, each.returned_us))
    all_done = (1 << len(events)) - 1
    seen: set[tuple[int, int]] = set()
    stack = [(0, start)]
    unanswered = sum(1 << i for i, each in enumerate(events) if each.returned_us == UNANSWERED)
    while stack:
        done, value = stack.pop()
        if done | unanswered == all_done:
            return True
        if (done, value) in seen:
            continue
        seen.add((done, value))
        if len(seen) > MAX_STATES:
            raise HistoryTooLargeError(f"{len(events)} events: search abandoned")
        stack.extend(_next_states(events, done, value))
    return False


def first_violation(events: list[Event], start: int = 0) -> int | None:
    """Return the end (us) of the shortest prefix that isn't linearizable, or None if the history is.

    Raises:
        HistoryTooLargeError: The search in a prefix has visited `MAX_STATES` states.
    """
    if linearizable(events, start):
        return None
    return_times_us = sorted({each.returned_us for each in events if each.returned_us != UNANSWERED})
    low, high = 0, len(return_times_us) - 1
    while low < high:  # binary search for the shortest prefix that isn't linearizable
        middle = (low + high) // 2
        prefix = [
            _as_known_at(each, return_times_us[middle])
            for each in events
            if each.called_us <= return_times_us[middle]
        ]
        if linearizable(prefix, start):
            low = middle + 1
        else:
            high = middle
    return return_times_us[low]


def _as_known_at(event: Event, end_us: int) -> Event:
    """Return the event as its caller knew it at that time."""
    if event.returned_us <= end_us:
        return event
    if event.kind == "read":
        # A pending read constrains nothing. This change stands for it; its base is no version, so it never
        # takes effect.
        return Event("change", event.called_us, UNANSWERED, -1, -2)
    return Event("change", event.called_us, UNANSWERED, event.version, event.base)
