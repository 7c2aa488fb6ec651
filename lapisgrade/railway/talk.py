"""What the system's processes say to each other, beside the log's own messages."""

import msgspec

from lapisgrade.railway.marshal.waybills import Draft
from lapisgrade.railway.configuration_delta import EncodedVersion
from lapisgrade.railway.consensus.messages import Message as ConsensusMessage
from lapisgrade.railway.yard import Server


class Relay(msgspec.Struct, array_like=True, tag="R", frozen=True):
    """A call of a server or operator, passed on to the leader."""

    call: str
    of: str
    body: bytes


class Relayed(msgspec.Struct, array_like=True, tag="r", frozen=True):
    status: int
    body: bytes = b""
    leader: str = ""  # where the leader takes such calls itself


class Ask(msgspec.Struct, array_like=True, tag="N", frozen=True):
    """A carrier asks for news, with what it has."""

    name: str
    address: str  # where it hears other carriers
    own: str  # its process's life
    zone: str
    ver: int
    life: str  # whose register it has
    turn: int
    fence: int  # of the cast it has
    known: list[Server] = []  # all that it was told, for a leader that is new
    refused: list[str] = []  # carriers whose machine says that nobody listens there
    held: int = 0  # the newest version that it holds ready, in force or not
    core: bool = False  # whether a box stands beside it
    whole: bool = False  # whether a delta on what it holds could not be read


class News(msgspec.Struct, array_like=True, tag="n", frozen=True):
    leads: bool
    leader: str = ""  # where else to ask
    boxes: list[str] = []  # all that answer such questions
    ver: int = 0  # in force
    conf: EncodedVersion | None = None  # that, where the carrier lacks it
    life: str = ""
    turn: int = 0
    settled: bool = False  # whether a whole register is all there is
    whole: bool = False
    servers: list[Server] = []
    fence: int = 0
    cast: dict[str, tuple[str, str, str]] | None = None  # who lives: address, life and zone of each
    wants_known: bool = False
    staged: dict[
        int, EncodedVersion
    ] = {}  # newer ones that the carrier lacks, to be held ready until the order comes
    merged: list[int] = []  # those of them that drafts made: a fence for what may run once
    core: list[str] = []  # those of the cast beside whom a box stands
    prior: int = 0  # the fence of the cast before


class Take(msgspec.Struct, array_like=True, tag="T", frozen=True):
    """An add to a tenant's count, at its holder, under a fence."""

    tenant: str
    units: float
    by: str
    fence: int
    rate: float
    burst: float
    back: float = 0.0  # units of an earlier take that were not spent
    turn: int = 0  # the asker's calls are numbered
    of: int = 0  # the one that `back` was granted by


class Taken(msgspec.Struct, array_like=True, tag="t", frozen=True):
    held: bool  # False: not held here, or not under this fence; nothing was added
    total: float = 0.0
    limiters: int = 1
    fence: int = 0


class Loads(msgspec.Struct, array_like=True, tag="L", frozen=True):
    """What a carrier has out at each server, where it has any, and which answer it badly: for those who share
    servers."""

    by: str
    out: dict[str, int]
    ill: list[str] = []


class Hand(msgspec.Struct, array_like=True, tag="H", frozen=True):
    """A draft, to be kept on another disk too."""

    draft: Draft


class Handed(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Whether it is on that disk."""

    kept: bool


Message = ConsensusMessage | Relay | Relayed | Ask | News | Take | Taken | Loads | Hand | Handed
