"""Whether a history of changes and reads could have come from one register: Wing and Gong, "Testing and
Verifying Concurrent Objects", 1993, with the memory of Lowe, "Testing for Linearizability", 2017.

The register holds a version. A change from `base` to `ver` is taken where the register holds its base, and
refused where it does not; one without a clear answer may have been taken or not. A read tells what it holds.
"""

from dataclasses import dataclass

UNANSWERED = 1 << 62  # us; later than every answer
MOST_STATES = 400_000  # that are looked at before the search gives up


@dataclass(frozen=True, slots=True)
class Event:
    kind: str  # "change" or "read"
    called: int
    returned: int  # UNANSWERED where no clear answer came
    ver: int
    base: int = 0
    taken: bool | None = None  # of a change; None where no clear answer came


class TooLarge(Exception):
    """The search gave up: the history is neither shown right nor wrong."""


def after(event: Event, held: int) -> int | None:
    """What the register holds once the event took effect, None where it could not have."""
    if event.kind == "read":
        return held if held == event.ver else None
    if event.taken:
        return event.ver if held == event.base else None
    # Refused: it must not be possible where the register holds the base, as the order was proper.
    return held if held != event.base else None


def linearizable(events: list[Event], start: int = 0) -> bool:
    """Whether some order of the events, with each between its call and its return, explains all answers."""
    events = sorted(events, key=lambda each: (each.called, each.returned))
    whole = (1 << len(events)) - 1
    seen: set[tuple[int, int]] = set()
    stack = [(0, start)]
    optional = sum(1 << i for i, each in enumerate(events) if each.returned == UNANSWERED)
    while stack:
        done, held = stack.pop()
        if done | optional == whole:
            return True
        if (done, held) in seen:
            continue
        seen.add((done, held))
        if len(seen) > MOST_STATES:
            raise TooLarge(f"{len(events)} events")
        # An event may be next if no other that is open returned before it was called.
        first_return = UNANSWERED
        for i, event in enumerate(events):
            if done >> i & 1:
                continue
            if event.called > first_return:
                break
            first_return = min(first_return, event.returned)
            if event.kind == "change" and event.taken is None:
                if held == event.base:  # it may have been taken here; or it never is
                    stack.append((done | 1 << i, event.ver))
                continue
            following = after(event, held)
            if following is not None:
                stack.append((done | 1 << i, following))
    return False


def first_wrong(events: list[Event], start: int = 0) -> int | None:
    """The time up to which the history can't be explained, None where all of it can."""
    if linearizable(events, start):
        return None
    ends = sorted({each.returned for each in events if each.returned != UNANSWERED})
    low, high = 0, len(ends) - 1
    while low < high:  # the shortest beginning of the history that is wrong
        middle = (low + high) // 2
        part = [_until(each, ends[middle]) for each in events if each.called <= ends[middle]]
        if linearizable(part, start):
            low = middle + 1
        else:
            high = middle
    return ends[low]


def _until(event: Event, ends: int) -> Event:
    """The event as it was known at that time."""
    if event.returned <= ends:
        return event
    if event.kind == "read":
        return Event("change", event.called, UNANSWERED, -1, -2)  # an open read explains nothing
    return Event("change", event.called, UNANSWERED, event.ver, event.base)
