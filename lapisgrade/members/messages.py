"""Messages between members, encoded as msgspec arrays (SWIM: Das, Gupta, Motivala 2002, section 3.1).

Every message carries updates on members, piggybacked on the failure detector's messages (section 4.1).
"""

from enum import IntEnum

import msgspec


class MemberState(IntEnum):
    """State of a member. Within one incarnation a higher value overrides a lower one (SWIM, section 4.2).

    A higher incarnation overrides every state of a lower one.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The state of a member as another one, or the member itself, reports it."""

    name: str
    address: str
    incarnation: int  # raised only by the member itself, when it restarts or refutes an update
    state: int  # a MemberState; receivers reject other values
    reporter: str = ""  # member that suspects it or that first reported its death; empty if none is known


class Ping(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """A probe.

    `name` is the intended receiver; a process that has taken over the address under another name ignores it.
    """

    number: int  # identifies the probe; the Ack repeats it
    name: str
    updates: list[Update] = []


class PingRequest(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """A request to probe a member on the sender's behalf and to forward its ack (SWIM's ping-req)."""

    number: int  # number of the sender's own probe; the forwarded Ack repeats it
    name: str  # of the member to probe
    address: str  # of the member to probe
    updates: list[Update] = []


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """The reply to a Ping or a PingRequest."""

    number: int  # of the Ping or PingRequest
    missed: bool = False  # True: the indirect probe timed out (Lifeguard's nack)
    updates: list[Update] = []


class Sync(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """A sample of the sender's table. The receiver replies with a sample of its own unless `is_reply`."""

    is_reply: bool
    updates: list[Update] = []


Message = Ping | PingRequest | Ack | Sync
