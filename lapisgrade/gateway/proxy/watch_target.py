"""Chooses the recipient of a proxy's next watch request: a controller, or another proxy. Does no I/O.

::

    unknown --next()--> a controller --reply of the leader--> the same controller, until it fails
       |                     |
       |                     +--no reply, or not the leader--> unknown, or the leader that it names
       +--every second time--> a neighbour that may reach a controller
                                 +--reply of the leader, relayed--> the same neighbour, for a limited time

The relay keeps a proxy updated that is partitioned from the controllers but not from other proxies.
"""

from random import Random

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import ControlHint, PartialView, is_address

RELAY_PERIOD_US = 4 * SECOND  # time after which a relayed proxy tries the controllers again
MAX_CONTROLLERS = 64  # maximum number of known controllers' addresses


class WatchTarget:
    """Tracks the leader and chooses the recipient of each watch request.

    Attributes:
        seeds: The controllers in the settings.
        controllers: The controllers in the last reply.
        leader: The controller that last replied as the leader without a relay; empty if there was none.
        leader_replied_us: Time of that reply.
        term: The highest term of a leader's reply; leaders' replies of earlier terms are discarded.
        failures: Number of consecutive requests without a reply from the leader or a controller.
    """

    def __init__(self, random: Random, partial_view: PartialView, seeds: list[str]) -> None:
        """Create a target that starts with the controllers in the settings, `seeds`."""
        self._random = random
        self._partial_view = partial_view
        self.seeds = seeds
        self.controllers: list[str] = []
        self.leader = ""
        self.leader_replied_us = 0
        self.term = 0
        self.failures = 0
        self._address = ""  # address of the last request; empty if another one must be chosen
        self._tried_hint = ""  # the leader in a neighbour's hint that was tried last
        self._relayed_since_us: int | None = None  # when the relay through another proxy started

    def next(self, now_us: int) -> str:
        """Return the address for the next request."""
        if not self._address:
            neighbours = self._partial_view.neighbours() if self.failures % 2 else []
            self._relayed_since_us = now_us if neighbours else None
            self._address = self._random.choice(neighbours) if neighbours else self._choose_controller()
        return self._address

    def _choose_controller(self) -> str:
        hint = self._partial_view.control_hint
        if hint.leader and hint.leader != self._tried_hint:
            self._tried_hint = hint.leader  # tried only once unless it replies
            return hint.leader
        return self._random.choice(sorted({*self.seeds, *self.controllers, *hint.controllers}))

    def on_reply(self, now_us: int, reply: rpc_messages.WatchReply | None) -> bool:
        """Update the target from the reply to the last request.

        Args:
            now_us: The current time, in us.
            reply: The reply; None if the request failed.

        Returns:
            Whether it is the leader's reply.
        """
        if reply is not None and reply.is_leader and _term(reply) < self.term:
            reply = None  # a partitioned former leader that has not stepped down yet
        if reply is not None and reply.is_leader:
            self._on_leader_reply(now_us, reply)
            return True
        self._on_failure(reply)
        return False

    def _on_leader_reply(self, now_us: int, reply: rpc_messages.WatchReply) -> None:
        self.failures, self.term = 0, _term(reply)
        self._remember_controllers(reply)
        if self._relayed_since_us is None:
            self.leader, self.leader_replied_us, self._tried_hint = self._address, now_us, ""
            self._partial_view.on_control_hint(ControlHint(self.term, self._address, self.controllers))
        elif now_us - self._relayed_since_us > RELAY_PERIOD_US:
            self._address = ""  # tries a controller next, which may be reachable again

    def _on_failure(self, reply: rpc_messages.WatchReply | None) -> None:
        """Choose another address after a failed request or a reply that is not the leader's."""
        failed_address, self._address = self._address, ""
        self.failures += 1
        self._partial_view.discard_leader(failed_address)
        if reply is None:
            return
        self._remember_controllers(reply)
        if self._relayed_since_us is None:
            # The controller is reachable; if it knows no leader, other proxies do not know one either.
            self.failures = 0
            self._address = (
                reply.leader_address
                if reply.leader_address != failed_address and is_address(reply.leader_address)
                else ""
            )

    def _remember_controllers(self, reply: rpc_messages.WatchReply) -> None:
        addresses = [address for address in reply.controllers[:MAX_CONTROLLERS] if is_address(address)]
        self.controllers = addresses or self.controllers


def _term(reply: rpc_messages.WatchReply) -> int:
    """Return the leader's term, which is part of its registry's incarnation."""
    term = reply.registry_incarnation.rstrip("+")
    return int(term) if term.isdecimal() else 0
