"""The control API: the calls of servers and operators, and their encoding in requests.

A call is an HTTP POST to `PATH` with its name in the query parameter `call`. A call that concerns a server
has its id in the parameter `of`. `CALLS_BY_NAME` lists all calls.
"""

from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec
from attrs import define, field

from lapisgrade.gateway import configuration
from lapisgrade.gateway.configuration_values import check_integer
from lapisgrade.gateway.controller.draft_merging import MAX_DRAFT_BYTES
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.registry import Server, ServerState
from lapisgrade.gateway.settings import Span, parse_address, strict_converter, structure

PATH = "/-/rpc"
NO_WARM_UP = Span(0)  # default of `Heartbeat.warmup_time`: the server runs at full speed
MAX_SMALL_BODY_BYTES = 4096  # body limit of calls with neither a configuration nor a draft
MAX_SERVER_ID_LENGTH = 256  # characters


@define(frozen=True, slots=True)
class Heartbeat:
    """The body of a server's heartbeat; the field names are the wire names in lower case.

    Attributes:
        svc: The service that the server runs.
        addr: Address at which it accepts requests.
        seq: Sequence number of the heartbeat.
        az: Its failure domain.
        slots: Maximum number of requests that it runs concurrently.
        state: `drain` if it accepts no new requests; any other value means `up`.
        warmup_time: Remaining slow-start time, in us.
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
        name: The name in requests and metrics.
        has_subject: Whether it concerns a server, which the request names.
        max_body_bytes: Maximum size of its body; longer ones are rejected.
        description: Its content or purpose in words.
    """

    name: str
    has_subject: bool
    max_body_bytes: int
    description: str


class ParsedCall(NamedTuple):
    """A call and the id of the server that it concerns; empty for none."""

    call: Call
    subject: str


_CALLS = (
    Call("servers.heartbeat", True, MAX_SMALL_BODY_BYTES, "a server is up or draining"),
    Call("servers.deregister", True, MAX_SMALL_BODY_BYTES, "a server is about to terminate"),
    Call("conf.replace", False, configuration.MAX_BYTES, "a complete configuration"),
    Call("conf.update", False, configuration.MAX_BYTES, "a change of named items"),
    Call("conf.show", False, MAX_SMALL_BODY_BYTES, "the newest configuration"),
    Call("conf.draft", False, MAX_DRAFT_BYTES, "a change of named items, stored here until it can be merged"),
    Call("conf.drafts", False, MAX_SMALL_BODY_BYTES, "drafts, their outcomes, and unresolved conflicts"),
    Call("conf.settle", False, MAX_SMALL_BODY_BYTES, "apply the conflicting fields of a draft"),
    Call("conf.close", False, MAX_SMALL_BODY_BYTES, "discard the unresolved part of a draft"),
    Call("conf.status", False, MAX_SMALL_BODY_BYTES, "the configuration version of each proxy; servers"),
)
CALLS_BY_NAME = {call.name: call for call in _CALLS}

_CONVERTER = strict_converter()


def parse_call(method: str, target: str) -> ParsedCall | HTTPStatus:
    """Return the call that a request line names, or the HTTP status of the rejection."""
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


def _check_server_address(address: str) -> None:
    """Raise InvalidInputError if proxies could not connect to the address."""
    try:
        host, _port = parse_address(address)
        host.encode("idna")
    except ValueError as error:
        raise InvalidInputError(f"Addr: {error}") from None


def parse_heartbeat(server_id: str, body: bytes) -> Server:
    """Return the server that a heartbeat describes, for `Registry.on_heartbeat`.

    Raises:
        InvalidInputError: The body is not a valid heartbeat.
    """
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        raise InvalidInputError("the body is not JSON") from None
    heartbeat: Heartbeat = structure(_CONVERTER, raw, Heartbeat)
    check_integer("Seq", heartbeat.seq)
    check_integer("Slots", heartbeat.slots)
    _check_server_address(heartbeat.addr)
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
