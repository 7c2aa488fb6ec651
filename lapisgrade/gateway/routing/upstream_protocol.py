"""What servers and clients of the system say over HTTP: which fields pass, and what an answer means."""

import re
from dataclasses import dataclass

from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import ClientRequest
from lapisgrade.net.http import Message
from lapisgrade.net.server_protocol import ServerProtocol

TRY_ID, SEAL, NOT_RUN, LOAD = b"try-id", b"server-seal", b"not-run", b"server-load"
DEADLINE, TENANT, WANT = b"deadline-ms", b"tenant", b"want-instance"
KEY = b"authorization"
# Of one connection alone, or told anew on the next.
HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
OURS = HOP | {b"host", TRY_ID, DEADLINE, TENANT, WANT, KEY}
IDLE_MOST = 60  # s of a server's own word on idle connections that we follow
_IDLE = re.compile(rb"timeout=(\d{1,6})")
_LOAD = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})")


@dataclass(slots=True, eq=False)
class Passing(ClientRequest):
    """What a client sent, as it passes on; `lines` are the fields that pass unchanged."""

    lines: bytes = b""
    tenant: bytes = b""
    failure: Message | None = None  # a server's whole answer that it failed


def passed(message: Message, without: frozenset) -> bytes:
    """The field lines that pass on, but for those, and those that Connection names."""
    fields = [(name.lower(), name, value) for name, value in message.head.headers.raw_items()]
    named = {
        each.strip().lower() for low, _, value in fields if low == b"connection" for each in value.split(b",")
    }
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for low, name, value in fields
        if low not in without and low not in named
    )


class UpstreamProtocol(ServerProtocol):
    """To servers, and from them."""

    max_body_bytes = 64 * 1024 * 1024

    def encode_head(self, attempt, seconds_left: float) -> bytes:
        asked: Passing = attempt.operation.handle
        size = sum(len(each) for each in asked.body)
        return (
            b"%b %b HTTP/1.1\r\nHost: %b\r\nTry-Id: %b\r\nDeadline-Ms: %d\r\nWant-Instance: %b\r\n%b%b%b\r\n"
            % (
                asked.method,
                asked.target,
                asked.host,
                asked.request_id,
                max(1, int(seconds_left * 1000)),
                attempt.server.address.encode(),
                b"Tenant: %b\r\n" % asked.tenant if asked.tenant else b"",
                asked.lines,
                b"Content-Length: %d\r\n" % size if size or asked.method not in (b"GET", b"HEAD") else b"",
            )
        )

    def is_stray(self, attempt, message: Message) -> bool:
        name = message.headers().get(TRY_ID)
        return name is not None and name != attempt.operation.handle.request_id

    def classify(self, attempt, message: Message) -> CloseReason:
        status, fields = message.head.status_code, message.headers()
        if fields.get(TRY_ID) != attempt.operation.handle.request_id or b"content-encoding" in fields:
            return CloseReason.MALFORMED
        if status == 421 or (NOT_RUN in fields and status >= 400):
            return CloseReason.REJECTED
        framed = b"content-length" in fields or b"transfer-encoding" in fields
        if 200 <= status < 300:
            # Without a length its end can't be told from its being cut.
            return CloseReason.ANSWERED if SEAL in fields and framed else CloseReason.MALFORMED
        if status < 200 or not framed:
            return CloseReason.MALFORMED
        # A server's failure is final where the request may run once; else another may do better.
        return (
            CloseReason.ERROR_RESPONSE
            if status >= 500 and attempt.operation.rule.mode == "idem"
            else CloseReason.CLIENT_ERROR
        )

    def keep_alive_us(self, message: Message) -> int:
        found = _IDLE.search(message.headers().get(b"keep-alive", b""))
        return 1_000_000 * min(int(found[1]), IDLE_MOST) if found else 0


def load(message: Message) -> dict[str, float] | None:
    """A server's word on its load, if it can be read."""
    found = _LOAD.fullmatch(message.headers().get(LOAD, b"").strip())
    return (
        {"running": float(found[1]), "waiting": float(found[2]), "slots": float(found[3])} if found else None
    )
