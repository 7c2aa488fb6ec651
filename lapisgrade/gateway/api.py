"""The control API: the calls of servers and operators, and how a request names one.

A call is an HTTP POST to `PATH`, with its name in the query's `call` and, where it is about a server, that
server's identity in `of`. `CALLS_BY_NAME` lists all calls.
"""

from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec
from attrs import define, field

from lapisgrade.gateway import configuration
from lapisgrade.gateway.controller.draft_merging import MAX_DRAFT_BYTES
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.registry import Server, ServerState
from lapisgrade.gateway.settings import Span, strict_converter, structure

PATH = "/-/rpc"
NO_WARM_UP = Span(0)
MAX_SMALL_BODY_BYTES = 4096  # of calls that carry neither a configuration nor a draft
MAX_SERVER_ID_LENGTH = 256  # characters


@define(frozen=True, slots=True)
class Heartbeat:
    """The body of a server's heartbeat; its fields bear the names of the wire in lower case.

    Attributes:
        svc: The service that the server runs.
        addr: Where it takes requests.
        seq: Counts the server's heartbeats.
        az: The failure domain that it runs in.
        slots: How many requests it runs at once.
        state: `drain` where it takes no new requests; anything else is `up`.
        warmup_time: How much longer it is slower than usual.
    """

    svc: str
    addr: str
    seq: int
    az: str = ""
    slots: int = field(default=1, validator=configuration.check_positive)
    state: str = "up"
    warmup_time: Span = configuration.wire_field("Warmup_time", default=NO_WARM_UP)


@define(frozen=True, slots=True)
class Call:
    """One call of the control API.

    Attributes:
        name: As requests and metrics have it.
        has_subject: Whether it is about a server, which the request names.
        max_body_bytes: What its body may have at most.
        description: What it tells or asks, for people.
    """

    name: str
    has_subject: bool
    max_body_bytes: int
    description: str


class ParsedCall(NamedTuple):
    """A call and the server that it is about; empty for none."""

    call: Call
    subject: str


_CALLS = (
    Call("servers.heartbeat", True, MAX_SMALL_BODY_BYTES, "a server lives, or drains"),
    Call("servers.deregister", True, MAX_SMALL_BODY_BYTES, "a server is about to end"),
    Call("conf.replace", False, configuration.MAX_BYTES, "a whole configuration"),
    Call("conf.update", False, configuration.MAX_BYTES, "a change of named items"),
    Call("conf.show", False, MAX_SMALL_BODY_BYTES, "the newest configuration"),
    Call("conf.draft", False, MAX_DRAFT_BYTES, "a change of named items, stored here until it can be merged"),
    Call("conf.drafts", False, MAX_SMALL_BODY_BYTES, "drafts, what came of each, and what is open"),
    Call("conf.settle", False, MAX_SMALL_BODY_BYTES, "a draft's fields that were set aside come into force"),
    Call("conf.close", False, MAX_SMALL_BODY_BYTES, "what is open of a draft is not wanted any more"),
    Call("conf.status", False, MAX_SMALL_BODY_BYTES, "which proxies have which version; servers"),
)
CALLS_BY_NAME = {call.name: call for call in _CALLS}

_CONVERTER = strict_converter()


def parse_call(method: str, target: str) -> ParsedCall | HTTPStatus:
    """Return the call that a request line names, or the HTTP status that refuses it."""
    parts = urlsplit(target)
    if parts.path != PATH:
        return HTTPStatus.NOT_FOUND
    query = parse_qs(parts.query)
    call = CALLS_BY_NAME.get(query.get("call", [""])[0])
    subject = query.get("of", [""])[0]
    if call is None:
        return HTTPStatus.NOT_FOUND
    if method != "POST":
        return HTTPStatus.METHOD_NOT_ALLOWED
    if call.has_subject and not 0 < len(subject) <= MAX_SERVER_ID_LENGTH:
        return HTTPStatus.BAD_REQUEST
    return ParsedCall(call, subject)


def parse_heartbeat(server_id: str, body: bytes) -> Server:
    """Return the server that a heartbeat describes, as the registry takes it in.

    Raises:
        InvalidInputError: The body is no heartbeat.
    """
    try:
        raw = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        raise InvalidInputError("the body is not JSON") from None
    heartbeat: Heartbeat = structure(_CONVERTER, raw, Heartbeat)
    return Server(
        id=server_id,
        service=heartbeat.svc,
        address=heartbeat.addr,
        zone=heartbeat.az,
        slots=heartbeat.slots,
        state=ServerState.DRAIN if heartbeat.state == "drain" else ServerState.UP,
        sequence_number=heartbeat.seq,
        warm_up_us=int(heartbeat.warmup_time),
    )
