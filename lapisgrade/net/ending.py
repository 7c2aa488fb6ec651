"""The ways in which a connection, or what was asked on it, can end, and what each is to the decisions."""

from enum import Enum

from lapisgrade.interface import Outcome, Tally


class Ending(Enum):
    """How it ended, the same for servers, the counter and clients."""

    ANSWERED = "answered"  # 200 from a server, a total from the counter
    ERRED = "erred"  # an answer that says neither
    REJECTED = "rejected"  # a server says that the request is at fault
    TURNED_AWAY = "turned away"  # an answer that says that nothing was begun
    REFUSED = "refused"  # the connection
    NEVER_UP = "never up"  # the connection, in the time it may take
    UNWRITTEN = "unwritten"  # broke before the last byte was written
    BROKEN = "broken"  # broke or ended after that
    GARBLED = "garbled"  # an answer that can't be read
    OVERDUE = "overdue"  # nothing came in time
    CALLED_OFF = "called off"  # by us, with all of it written
    WITHHELD = "withheld"  # by us, before it was written
    LEFT = "left"  # a client went
    IDLE = "idle"  # nothing was out

    @property
    def outcome(self) -> Outcome:
        return _OUTCOMES[self]

    @property
    def tally(self) -> Tally:
        return _TALLIES.get(self, Tally.SILENT)


_OUTCOMES = {
    Ending.ANSWERED: Outcome.OK,
    Ending.ERRED: Outcome.ERROR,
    Ending.REJECTED: Outcome.REJECTED,
    Ending.TURNED_AWAY: Outcome.FULL,
    Ending.REFUSED: Outcome.NO_CONNECTION,
    Ending.NEVER_UP: Outcome.NO_CONNECTION,
    Ending.UNWRITTEN: Outcome.NO_CONNECTION,
    Ending.BROKEN: Outcome.BROKEN,
    Ending.GARBLED: Outcome.ERROR,
    Ending.OVERDUE: Outcome.TIMED_OUT,
    Ending.CALLED_OFF: Outcome.CANCELLED,
    Ending.WITHHELD: Outcome.NEVER_SENT,
}
_TALLIES = {
    Ending.ANSWERED: Tally.ADDED,
    Ending.TURNED_AWAY: Tally.TURNED_AWAY,
    Ending.REFUSED: Tally.TURNED_AWAY,
    Ending.NEVER_UP: Tally.TURNED_AWAY,
    Ending.UNWRITTEN: Tally.TURNED_AWAY,
    Ending.WITHHELD: Tally.TURNED_AWAY,
}
