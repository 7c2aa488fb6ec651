"""Which controller a proxy sends its next claim. Pure.

::

    unknown --next()--> the leader of the watch, else any controller
       |                     |
       |                     +--it knows who holds the key--> the same controller, until it fails
       |                     +--it names another leader-----> that one
       +<--no reply, or it knows no leader-------------------+
"""

from random import Random

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.proxy.watch_target import WatchTarget


class ClaimTarget:
    """`next` names the controller to ask, and `on_reply` takes in what came of it; for all claims at once."""

    def __init__(self, random: Random, watch_target: WatchTarget) -> None:
        """`watch_target` knows the controllers, and which of them led last."""
        self._random = random
        self._watch_target = watch_target
        self._leader = ""  # where the next claim goes; empty where that isn't known
        self._failed = ""  # who was asked last and does not lead, or is silent

    def next(self) -> str:
        """The address of the next claim."""
        watched = self._watch_target.leader
        if self._leader:
            return self._leader
        if watched and watched != self._failed:
            return watched
        controllers = {*self._watch_target.seeds, *self._watch_target.controllers}
        others = sorted(controllers - {self._failed})
        return self._random.choice(others) if others else self._failed or watched

    def on_reply(self, asked: str, reply: rpc_messages.ClaimReply | None) -> None:
        """Take in what came of a claim, None for nothing."""
        if reply is not None and reply.is_known:
            self._leader, self._failed = asked, ""
            return
        if self._leader == asked:
            self._leader = ""
        if reply is not None and reply.leader_address != asked and is_address(reply.leader_address):
            self._leader = reply.leader_address
        else:
            self._failed = asked
