"""What members send each other, as msgspec arrays: SWIM's messages (Das, Gupta, Motivala 2002, section 3.1).

Every message carries updates on members: gossip rides on the failure detector's own messages (section 4.1).
"""

from enum import IntEnum

import msgspec


class MemberState(IntEnum):
    """Of one incarnation, the later overrides the earlier (SWIM, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What one member reports of another."""

    name: str
    address: str
    incarnation: int
    state: int  # a MemberState; another number is refused by the receiver
    reporter: str = ""  # who suspects it; an update of a death names who first reported it


class Ping(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """Answer this; `name` is who is meant, as a process may have taken over another's address."""

    number: int
    name: str
    updates: list[Update] = []


class PingRequest(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Probe that member for me, and pass its answer on (SWIM's ping-req)."""

    number: int
    name: str
    address: str
    updates: list[Update] = []


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """I live, or the one that you asked about does."""

    number: int
    missed: bool = False  # an indirect probe got no answer in time (Lifeguard's nack)
    updates: list[Update] = []


class Sync(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """A part of the sender's table; the receiver replies with a part of its own, unless this is the reply."""

    is_reply: bool
    updates: list[Update] = []


Message = Ping | PingRequest | Ack | Sync
