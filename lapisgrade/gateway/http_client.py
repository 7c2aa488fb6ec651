"""HTTP client for operators' tools and fake servers; opens one connection per request."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus
from typing import cast

import h11

from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

REPLY_TIMEOUT_S = 5.0  # time-out of one request, from connecting to the complete reply
MAX_REPLY_BYTES = 1 << 24
READ_BYTES = 65_536


async def send_request(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
) -> Message:
    """Send one request with the header lines `fields` and return the reply.

    Raises:
        OSError: The connection fails.
        TimeoutError: The reply is not complete after `REPLY_TIMEOUT_S`.
        MalformedMessageError: The reply is not HTTP, or is truncated.
    """
    fields = fields or {}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    host = "" if "Host" in fields else "Host: control\r\n"
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\n{host}{lines}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            parser = MessageParser(h11.CLIENT, MAX_REPLY_BYTES)
            message = None
            while message is None:
                message = parser.feed(await reader.read(READ_BYTES))
            return message
        finally:
            writer.close()


async def post_to_any(controllers: Iterable[tuple[str, int]], target: str, body: bytes = b"") -> int:
    """Post to one controller after another; return the first status below 500, or 0 if there is none."""
    for address in controllers:
        try:
            message = await send_request(address, "POST", target, body, {"Content-Type": "application/json"})
        except (OSError, TimeoutError, MalformedMessageError):  # it may stop before it has replied
            continue
        response = cast(h11.Response, message.head)
        if response.status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
            return response.status_code
    return 0
