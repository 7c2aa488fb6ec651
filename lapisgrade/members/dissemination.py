"""The queue of updates that are piggybacked on probes and acks (SWIM, section 4.1). Pure."""

import math

from lapisgrade.members.messages import Update
from lapisgrade.members.timing import Timing, log_member_count


class UpdateQueue:
    """The newest update on each member, with its number of transmissions."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._pending: dict[str, tuple[Update, int]] = {}  # member name to (update, transmissions)

    def put(self, update: Update) -> None:
        """Queue an update; it replaces any queued update on the same member.

        This includes suspicions: one that another member reports replaces the one queued before.
        """
        self._pending[update.name] = (update, 0)

    def discard(self, name: str) -> None:
        """Remove the queued update on a member, if any."""
        self._pending.pop(name, None)

    def take(self, members: int) -> list[Update]:
        """Return the updates for one message, those transmitted least often first.

        Updates that reach the retransmission limit leave the queue.

        Args:
            members: Number of members; the retransmission limit grows with its logarithm.
        """
        limit = math.ceil(self._timing.retransmit_multiplier * log_member_count(members))
        names = sorted(self._pending, key=lambda name: (self._pending[name][1], name))
        taken = []
        for name in names[: self._timing.updates_per_message]:
            update, transmissions = self._pending[name]
            taken.append(update)
            if transmissions + 1 >= limit:
                del self._pending[name]
            else:
                self._pending[name] = (update, transmissions + 1)
        return taken
