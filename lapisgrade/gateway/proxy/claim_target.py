"""Chooses the controller that receives a proxy's next claim. Does no I/O.

::

    unknown --next()--> the leader known from the watch, else any controller
       |                     |
       |                     +--it returns the key's holder---> the same controller, until it fails
       |                     +--it names another leader-------> that leader
       +<--no reply, or it knows no leader---------------------+
"""

from random import Random

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.proxy.watch_target import WatchTarget


class ClaimTarget:
    """Tracks the probable leader; all claims of a proxy share one instance."""

    def __init__(self, random: Random, watch_target: WatchTarget) -> None:
        """Create a target that takes the controllers and the last known leader from `watch_target`."""
        self._random = random
        self._watch_target = watch_target
        self._leader = ""  # address of the probable leader; empty if unknown
        # Address of the last controller that did not reply, or named neither the holder nor another leader.
        self._failed = ""

    def next(self) -> str:
        """Return the controller's address for the next claim."""
        watched = self._watch_target.leader
        if self._leader:
            return self._leader
        if watched and watched != self._failed:
            return watched
        controllers = {*self._watch_target.seeds, *self._watch_target.controllers}
        others = sorted(controllers - {self._failed})
        return self._random.choice(others) if others else self._failed or watched

    def on_reply(self, address: str, reply: rpc_messages.ClaimReply | None) -> None:
        """Update the target from the reply of the controller at `address`; None if it did not reply."""
        if reply is not None and reply.is_known:
            self._leader, self._failed = address, ""
            return
        if self._leader == address:
            self._leader = ""
        if reply is not None and reply.leader_address != address and is_address(reply.leader_address):
            self._leader = reply.leader_address
        else:
            self._failed = address
