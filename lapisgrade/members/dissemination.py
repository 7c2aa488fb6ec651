"""Updates that wait to be sent along with other messages (SWIM, section 4.1). Pure."""

import math

from lapisgrade.members.messages import Update
from lapisgrade.members.timing import Timing, log_members


class UpdateQueue:
    """The newest update on each member, with how often it was sent."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._pending: dict[str, tuple[Update, int]] = {}  # by member: the update, and how often it was sent

    def put(self, update: Update) -> None:
        """Send this update from now on, in place of what there was on the member.

        One suspecter of a member takes another's place too: what is known of a member is one update.
        """
        self._pending[update.name] = (update, 0)

    def discard(self, name: str) -> None:
        """Send nothing more on that member."""
        self._pending.pop(name, None)

    def take(self, members: int) -> list[Update]:
        """Return the updates for one message, those that were sent least first.

        Args:
            members: how many there are: an update is sent more often among many.
        """
        limit = math.ceil(self._timing.retransmit_multiplier * log_members(members))
        chosen = sorted(self._pending, key=lambda name: (self._pending[name][1], name))
        taken = []
        for name in chosen[: self._timing.updates_per_message]:
            update, sent = self._pending[name]
            taken.append(update)
            if sent + 1 >= limit:
                del self._pending[name]
            else:
                self._pending[name] = (update, sent + 1)
        return taken
