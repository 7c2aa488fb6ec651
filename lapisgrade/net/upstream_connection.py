"""One connection to an upstream server, with at most one attempt in flight.

    CONNECTING ──> AWAITING_RESPONSE <── IDLE      an attempt is written when the connection is established,
        │            ^           │         ^       or when the pool assigns it to an idle connection
        │            │ drained   │ a complete response
        └──────> WRITING         └─────────┘
                     │                             WRITING: part of the request is still in the local buffer
    any state ──> CLOSED                           `close` reports to the pool why the attempt ended

The state determines whether an attempt that ended may have been executed. While CONNECTING or WRITING it was
not, because no server executes a partial request. From AWAITING_RESPONSE on it may have been.
"""

import asyncio
import traceback
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

import h11

from lapisgrade.net import SECOND
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.connection import (
    READ_BYTES,
    CountingStreamReader,
    call_after_pending_io,
    connect,
    is_stale,
    limit_read_size,
)
from lapisgrade.net.events import ClientRequest
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

if TYPE_CHECKING:
    from lapisgrade.net.connection_pool import ConnectionPool


class UpstreamState(Enum):
    """State of a connection to a server; see the diagram above."""

    CONNECTING = auto()
    WRITING = auto()
    AWAITING_RESPONSE = auto()
    IDLE = auto()
    CLOSED = auto()


class UpstreamConnection:
    """A connection to one server. The pool opens it for one attempt and may assign further ones later."""

    __slots__ = (
        "_address",
        "_parser",
        "_pool",
        "_reader",
        "_received_stray",
        "_task",
        "_timer",
        "_writer",
        "attempt",
        "idle_since_us",
        "max_idle_us",
        "server",
        "state",
    )

    def __init__(self, pool: "ConnectionPool", server: str, attempt: Any) -> None:
        """Start to connect to `server`, to send `attempt`."""
        self._pool = pool
        self.server = server
        self.attempt = attempt  # in flight; None while idle or closed
        self.state = UpstreamState.CONNECTING
        self.idle_since_us = 0
        self.max_idle_us = pool.settings.idle_timeout_us
        self._address = pool.addresses[server]
        self._parser: MessageParser | None = None
        self._reader: CountingStreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._received_stray = False  # whether a response to another request was received
        self._timer = pool.call_at(attempt.operation.deadline_us, self._on_deadline)
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(self._on_task_done)

    def is_usable(self) -> bool:
        """Return whether another attempt may be written to this idle connection."""
        return self._is_at_current_address() and not is_stale(self._reader, self._writer)

    def has_unread_data(self) -> bool:
        """Return whether asyncio has received data that was not read yet."""
        return bool(self._reader.unread_bytes)

    def assign(self, attempt: Any) -> None:
        """Write an attempt to this connection, which must be idle."""
        self.attempt = attempt
        self._timer = self._pool.call_at(attempt.operation.deadline_us, self._on_deadline)
        self._write()

    def close(self, reason: CloseReason) -> None:
        """Close immediately; if an attempt is in flight, report to the pool why it ended."""
        attempt, self.attempt = self.attempt, None
        was_connecting = self.state is UpstreamState.CONNECTING
        if self.state is not UpstreamState.CLOSED:
            self.state = UpstreamState.CLOSED
            self._pool.on_connection_closed(self)
        if attempt is not None:
            self._timer.cancel()
            if reason is CloseReason.CANCELLED and was_connecting:
                reason = CloseReason.NOT_SENT
            self._pool.on_attempt_finished(attempt, reason, None)
            if reason in (CloseReason.TIMED_OUT, CloseReason.CANCELLED):
                self._pool.on_server_unresponsive(attempt)
        if self._writer is not None:
            self._writer.transport.abort()
        elif self._task is not asyncio.current_task():
            self._task.cancel()

    async def _run(self) -> None:
        """Connect, write the first attempt, and read until the connection closes."""
        pool = self._pool
        try:
            async with asyncio.timeout(pool.settings.connect_timeout_us / SECOND):
                self._reader, self._writer = await connect(*self._address)
        except TimeoutError:
            return self.close(CloseReason.CONNECT_TIMEOUT)
        except (OSError, ValueError):  # ValueError: the address can't be looked up
            return self.close(CloseReason.CONNECTION_REFUSED)
        pool.metrics.upstream_connections_opened += 1
        limit_read_size(self._writer)
        self._writer.transport.set_write_buffer_limits(0)  # `drain` waits until the buffer is empty
        try:
            self._write()
            while chunk := await self._reader.read(READ_BYTES):
                self._receive(chunk)
            if self.state is UpstreamState.AWAITING_RESPONSE:
                self._receive(b"")  # closing the connection may end a response (RFC 9112, section 6.3)
        except OSError:
            pass  # reset by the server
        finally:
            is_writing = self.state is UpstreamState.WRITING
            self.close(CloseReason.INCOMPLETE_WRITE if is_writing else CloseReason.CONNECTION_LOST)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        """End the attempt if the connection's task has failed; otherwise it would end at its deadline."""
        if task.cancelled() or task.exception() is None:
            return
        trace = "".join(traceback.format_exception(task.exception()))
        self._pool.log_failure(f"a connection to server {self.server} failed: {trace}")
        is_connecting = self.state is UpstreamState.CONNECTING
        self.close(CloseReason.NOT_SENT if is_connecting else CloseReason.CONNECTION_LOST)

    def _is_at_current_address(self) -> bool:
        """Return whether the endpoint list still has this server at the connected address."""
        return self._pool.addresses.get(self.server) == self._address

    def _write(self) -> None:
        attempt, pool = self.attempt, self._pool
        request: ClientRequest = attempt.operation.handle
        # Upholds rules 1 and 3: the operation may have ended, or the server may have started draining, while
        # the connection was being established.
        if request.client is None or not self._is_at_current_address():
            return self.close(CloseReason.NOT_SENT)
        self._parser = MessageParser(h11.CLIENT, pool.protocol.max_body_bytes)
        seconds_left = max(1, attempt.operation.deadline_us - pool.now()) / SECOND
        self._writer.writelines([pool.protocol.encode_head(attempt, seconds_left), *request.body])
        self.state = UpstreamState.AWAITING_RESPONSE
        if self._writer.transport.get_write_buffer_size():
            self.state = UpstreamState.WRITING
            self._task.get_loop().create_task(self._wait_until_drained(attempt))

    async def _wait_until_drained(self, attempt: Any) -> None:
        try:
            await self._writer.drain()
        except OSError:
            return
        if self.attempt is attempt:
            self.state = UpstreamState.AWAITING_RESPONSE

    def _receive(self, chunk: bytes) -> None:
        """Process the data of one read; empty data marks the end of the stream."""
        if self.attempt is None:
            return self.close(CloseReason.IDLE)  # data without a request
        pool = self._pool
        if self._is_at_current_address():
            pool.last_received_us[self.server] = pool.now()
        try:
            message = self._parser.feed(chunk)
        except MalformedMessageError as error:
            if chunk:
                pool.log(f"malformed response from server {self.server}: {error}; connection closed")
            return self.close(CloseReason.MALFORMED if chunk else CloseReason.CONNECTION_LOST)
        if message is None:
            return None
        if pool.protocol.is_stray(self.attempt, message):
            return self._skip_stray(message)
        return self._finish_attempt(message)

    def _skip_stray(self, message: Message) -> None:
        """Discard a late response to another request.

        The response to the current attempt may follow. The connection is not reused after that.
        """
        self._pool.metrics.stray_responses += 1
        self._received_stray = True
        self._parser = MessageParser(h11.CLIENT, self._pool.protocol.max_body_bytes)
        if message.closes_connection:
            self.close(CloseReason.CONNECTION_LOST)
        elif message.trailing_data:
            self._receive(message.trailing_data)

    def _finish_attempt(self, message: Message) -> None:
        """Report a complete response, and keep the connection if it can be reused."""
        pool = self._pool
        reason = pool.protocol.classify(self.attempt, message)
        self.max_idle_us = pool.protocol.keep_alive_us(message) or pool.settings.idle_timeout_us
        attempt, self.attempt = self.attempt, None
        self._timer.cancel()
        pool.on_attempt_finished(attempt, reason, message)
        must_close = (
            message.closes_connection
            or message.trailing_data
            or self.state is UpstreamState.WRITING
            or not self._is_at_current_address()
            or self._received_stray
            or reason is CloseReason.MALFORMED
        )
        if must_close:
            self.close(CloseReason.IDLE)
        else:
            self.state = UpstreamState.IDLE
            pool.on_connection_idle(self)

    def _on_deadline(self) -> None:
        attempt = self.attempt
        call_after_pending_io(lambda: self.close(CloseReason.TIMED_OUT) if self.attempt is attempt else None)
