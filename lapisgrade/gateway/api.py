"""The calls of servers and operators: one table says each one's name, what it is of, and what its body is."""

from urllib.parse import parse_qs, urlsplit

import msgspec
from attrs import define, field

from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway import configuration
from lapisgrade.gateway.settings import Span, checker, take
from lapisgrade.gateway.controller.draft_merging import MAX_DRAFT_BYTES
from lapisgrade.gateway.registry import Server

PATH = "/-/rpc"
WARM = Span(0)
MOST_BEAT = 4096  # bytes of a server's call, and of what answers it


@define(frozen=True, slots=True)
class Beat:
    """What a server says of itself."""

    svc: str
    addr: str
    seq: int
    az: str = ""
    slots: int = field(default=1, validator=configuration.positive)
    state: str = "up"
    warmup_time: Span = configuration.wired("Warmup_time", default=WARM)


@define(frozen=True, slots=True)
class Call:
    name: str
    of: bool  # whether it names a server
    most: int  # bytes of its body
    what: str  # for people


TABLE = {
    each.name: each
    for each in (
        Call("servers.heartbeat", True, MOST_BEAT, "a server lives, or drains"),
        Call("servers.deregister", True, MOST_BEAT, "a server is about to end"),
        Call("conf.replace", False, configuration.MOST_BYTES, "a whole configuration"),
        Call("conf.update", False, configuration.MOST_BYTES, "a change of named items"),
        Call("conf.show", False, MOST_BEAT, "the newest configuration"),
        Call(
            "conf.draft", False, MAX_DRAFT_BYTES, "a change of named items, kept here until it can be merged"
        ),
        Call("conf.drafts", False, MOST_BEAT, "drafts, what came of each, and what is open"),
        Call("conf.settle", False, MOST_BEAT, "a draft's fields that were set aside come into force"),
        Call("conf.close", False, MOST_BEAT, "what is open of a draft is not wanted any more"),
        Call("conf.status", False, MOST_BEAT, "which proxies hold and act by which version; servers"),
    )
}

_CHECKER = checker()


def called(method: str, target: str) -> tuple[Call, str] | int:
    """The call that a request line stands for and what it is of, or the status that refuses it."""
    parts = urlsplit(target)
    if parts.path != PATH:
        return 404
    query = parse_qs(parts.query)
    call = TABLE.get(query.get("call", [""])[0])
    of = query.get("of", [""])[0]
    if call is None:
        return 404
    if method != "POST":
        return 405
    if call.of and not 0 < len(of) <= 256:
        return 400
    return call, of


def beat(of: str, body: bytes) -> tuple[Server, str]:
    """A server's beat as the register takes it, and its state; InvalidInputError for what is none."""
    try:
        raw = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        raise InvalidInputError("the body is not JSON") from None
    told: Beat = take(_CHECKER, raw, Beat)
    state = "drain" if told.state == "drain" else "up"
    return Server(of, told.svc, told.addr, told.az, told.slots, state, told.seq, int(told.warmup_time)), state
