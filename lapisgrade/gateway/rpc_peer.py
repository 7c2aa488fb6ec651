"""The calling side of RPC: one address and its connection, which is opened on demand."""

import asyncio
from typing import Any

from returns.result import Failure, Result, Success

from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.rpc_connection import Codec, Connection, UnreadableMessage

CONNECT_TIMEOUT_S = 0.35  # several round trips between zones; after it, the next message starts a new attempt
MAX_UNSENT_MESSAGES = 512  # maximum number of messages queued for a connection


class Peer:
    """Another process, identified by its address.

    Attributes:
        is_refusing: Whether the last connection attempt was refused: no process listens at the address.
    """

    def __init__(self, codec: Codec, address: tuple[str, int]) -> None:
        """Create the peer without connecting to it."""
        self._codec = codec
        self._address = address
        self._connection: Connection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[Result[Any, CallFailure]]] = {}  # unanswered calls by number
        self._unsent: list[tuple[int, Any]] = []  # numbers and messages queued for a connection
        self._last_number = 0
        self.is_refusing = False
        self._is_closed = False

    def post(self, message: Any) -> None:
        """Send a message that gets no reply; it may be lost."""
        self._send(0, message)

    async def call(self, message: Any, timeout_s: float) -> Result[Any, CallFailure]:
        """Send a call and return its reply, or the kind of failure."""
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[Result[Any, CallFailure]] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._send(number, message)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return Failure(self._on_timeout(number))
        finally:
            self._waiting.pop(number, None)

    def _on_timeout(self, number: int) -> CallFailure:
        unsent = [queued for queued in self._unsent if queued[0] != number]
        was_sent = len(unsent) == len(self._unsent)
        self._unsent = unsent
        if was_sent:
            # The peer may be unreachable: a new connection saves the next call from waiting for TCP
            # retransmissions.
            self._disconnect()
        return CallFailure.MAY_HAVE_RUN if was_sent else CallFailure.NOT_RUN

    def close(self) -> None:
        """Close the connection; unanswered calls fail, and no new connection is opened."""
        self._is_closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
        self._connection = None

    def _send(self, number: int, message: Any) -> None:
        if self._connection is not None and self._connection.send(number, message):
            return
        if len(self._unsent) < MAX_UNSENT_MESSAGES:
            self._unsent.append((number, message))
        if self._connecting is None and not self._is_closed:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        """Open a connection and send the queued messages."""
        connection = await self._open_connection()
        self._connecting = None
        unsent = self._unsent
        self._unsent = []
        if connection is None:
            self._fail([number for number, _ in unsent if number], CallFailure.NOT_RUN)
            return
        self._connection = connection
        for number, message in unsent:
            connection.send(number, message)

    async def _open_connection(self) -> Connection | None:
        """Return a new connection; None if connecting fails or times out."""
        loop = asyncio.get_running_loop()
        self.is_refusing = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(self._make_connection, *self._address)
                return connection
        except ConnectionRefusedError:
            self.is_refusing = True
        except (OSError, TimeoutError, ValueError):  # ValueError: the address can't be looked up
            pass
        return None

    def _make_connection(self) -> Connection:
        return Connection(self._codec, self._on_frame, self._on_close)

    def _on_frame(self, connection: Connection, number: int, message: Any) -> None:
        if isinstance(message, UnreadableMessage):
            self._fail([number], CallFailure.NOT_RUN if message.is_refusal else CallFailure.MAY_HAVE_RUN)
            return
        future = self._waiting.pop(number, None)
        if future is not None and not future.done():
            future.set_result(Success(message))

    def _on_close(self, connection: Connection) -> None:
        if self._connection is connection or self._connection is None:
            self._connection = None
            unsent = {number for number, _ in self._unsent}
            sent = [number for number in self._waiting if number not in unsent]
            self._fail(sent, CallFailure.MAY_HAVE_RUN)

    def _fail(self, numbers: list[int], failure: CallFailure) -> None:
        for number in numbers:
            future = self._waiting.pop(number, None)
            if future is not None and not future.done():
                future.set_result(Failure(failure))
