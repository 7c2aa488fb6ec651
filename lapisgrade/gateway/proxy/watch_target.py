"""Whom a proxy sends its next watch request: the leading controller, another one, or another proxy. Pure.

::

    unknown --next()--> a controller --reply of the leader--> the same controller, until it fails
       |                     |
       |                     +--no reply, or no leader-------> unknown, or the leader that it names
       +--every second time--> a neighbour that may reach a controller
                                 +--reply of the leader, relayed--> the same neighbour, for a while

Guards a proxy that is cut off from the controllers alone.
"""

from random import Random

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import ControlHint, PartialView, is_address

RELAYED_US = 4 * SECOND  # that updates come through another proxy before the controllers are tried again
MAX_CONTROLLERS = 64  # addresses of controllers that are remembered


class WatchTarget:
    """`next` names the address to ask, and `on_reply` takes in what came of it."""

    def __init__(self, random: Random, partial_view: PartialView, seeds: list[str]) -> None:
        """`seeds` are the controllers that the settings name."""
        self._random = random
        self._partial_view = partial_view
        self.seeds = seeds
        self.controllers: list[str] = []  # that the last reply named
        self.leader = ""  # the controller that replied last as the leader, without a relay
        self.leader_replied_us = 0
        self.term = 0  # the newest that a leader replied in: nothing of an earlier one is taken
        self.failures = 0  # requests in a row that nobody replied to who leads or knows who does
        self._address = ""  # of the last request; "": another one is to be chosen
        self._tried_hint = ""  # the hinted leader that was tried last
        self._relayed_since_us: int | None = None  # since when another proxy is asked

    def next(self, now_us: int) -> str:
        """The address of the next request."""
        if not self._address:
            neighbours = self._partial_view.neighbours() if self.failures % 2 else []
            self._relayed_since_us = now_us if neighbours else None
            self._address = self._random.choice(neighbours) if neighbours else self._choose_controller()
        return self._address

    def _choose_controller(self) -> str:
        hint = self._partial_view.control_hint
        if hint.leader and hint.leader != self._tried_hint:
            self._tried_hint = hint.leader  # tried once, until it has replied
            return hint.leader
        return self._random.choice(sorted({*self.seeds, *self.controllers, *hint.controllers}))

    def on_reply(self, now_us: int, reply: rpc_messages.WatchReply | None) -> bool:
        """Take in what came of the last request, None for nothing; whether it is the leader's reply."""
        if reply is not None and reply.is_leader and _term(reply) < self.term:
            reply = None  # a leader that was cut off, and does not know that it is none any more
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
        elif now_us - self._relayed_since_us > RELAYED_US:
            self._address = ""  # the controllers may be there again

    def _on_failure(self, reply: rpc_messages.WatchReply | None) -> None:
        """Nobody replied, or one who does not lead: another address is asked next."""
        asked, self._address = self._address, ""
        self.failures += 1
        self._partial_view.discard_leader(asked)
        if reply is None:
            return
        self._remember_controllers(reply)
        if self._relayed_since_us is None:
            # A controller that lives and knows no leader: another proxy knows none either.
            self.failures = 0
            self._address = (
                reply.leader_address
                if reply.leader_address != asked and is_address(reply.leader_address)
                else ""
            )

    def _remember_controllers(self, reply: rpc_messages.WatchReply) -> None:
        named = [address for address in reply.controllers[:MAX_CONTROLLERS] if is_address(address)]
        self.controllers = named or self.controllers


def _term(reply: rpc_messages.WatchReply) -> int:
    """The leader's term, which names its registry's incarnation."""
    term = reply.registry_incarnation.rstrip("+")
    return int(term) if term.isdecimal() else 0
