"""One call over HTTP, for operators' tools and stand-ins: a connection each, and the whole answer."""

import asyncio

import h11

from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

ALIVE = 5.0  # s that a caller here waits for any answer


async def ask(
    address: tuple[str, int], method: str, target: str, body: bytes = b"", fields: dict | None = None
) -> Message:
    """Send one request on a connection of its own. Raises OSError, TimeoutError or MalformedMessageError."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    host = "" if "Host" in (fields or {}) else "Host: control\r\n"
    async with asyncio.timeout(ALIVE):
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\n{host}{lines}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            parser, message = MessageParser(h11.CLIENT, 1 << 24), None
            while message is None:
                message = parser.feed(await reader.read(65_536))
            return message
        finally:
            writer.close()


async def told(controllers: list[tuple[str, int]], target: str, body: bytes = b"") -> int:
    """The status of the first controller that answers, 5xx apart; 0 where none does."""
    for place in controllers:
        try:
            message = await ask(place, "POST", target, body, {"Content-Type": "application/json"})
        except (OSError, TimeoutError, MalformedMessageError):  # it may end in the midst of an answer
            continue
        if message.head.status_code < 500:
            return message.head.status_code
    return 0
