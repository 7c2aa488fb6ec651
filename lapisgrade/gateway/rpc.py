"""Remote procedure calls between the processes of the gateway, over persistent TCP connections.

`RpcEndpoint` is the endpoint of one process: it listens for calls and messages of other processes, and sends
its own through one `rpc_peer.Peer` per address. Both sides limit the number of unanswered calls, which
bounds memory.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns.result import Result

from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.rpc_connection import Codec, Connection, UnreadableMessage
from lapisgrade.gateway.rpc_peer import Peer

MAX_PEERS = 512  # maximum number of peers that a process keeps connections to
MAX_OPEN_CALLS = 512  # maximum number of unanswered calls per connection
LISTEN_BACKLOG = 256


class RpcMetrics(msgspec.Struct):
    """Counters of one endpoint since its start."""

    calls_sent: int = 0
    calls_received: int = 0


def _ignore(message: Any) -> None:
    """Ignore a message without a reply, in a process that handles none."""


class RpcEndpoint:
    """The RPC server and client of one process.

    Attributes:
        metrics: Counters since the start.
    """

    def __init__(
        self,
        union: Any,
        on_call: Callable[[Any], Awaitable[Any]],
        on_message: Callable[[Any], None] = _ignore,
    ) -> None:
        """Create an endpoint that does not listen yet; it can already send.

        Args:
            union: The message types that it sends and receives.
            on_call: Called with each call; returns the reply, or None for no reply.
            on_message: Called with each message that needs no reply.
        """
        self._codec = Codec(union)
        self._on_call = on_call
        self._on_message = on_message
        self._peers: dict[tuple[str, int], Peer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._is_closed = False
        self.metrics = RpcMetrics()

    async def listen(self, address: tuple[str, int]) -> None:
        """Accept connections at the address.

        Raises:
            OSError: Listening at the address fails.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, *address, backlog=LISTEN_BACKLOG)

    def _accept(self) -> Connection:
        connection = Connection(self._codec, self._on_frame, self._connections.discard)
        self._connections.add(connection)
        return connection

    def peer(self, address: tuple[str, int]) -> Peer:
        """Return the peer at the address, without connecting to it, and mark it as the last used one."""
        peer = self._peers.pop(address, None)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:  # bounds descriptors: closes the least recently used peer
                self._peers.pop(next(iter(self._peers))).close()
            peer = Peer(self._codec, address)
            if self._is_closed:
                peer.close()
        self._peers[address] = peer
        return peer

    async def call(
        self, address: tuple[str, int], message: Any, timeout_s: float
    ) -> Result[Any, CallFailure]:
        """Send a call and return its reply, or the kind of failure."""
        self.metrics.calls_sent += 1
        return await self.peer(address).call(message, timeout_s)

    def post(self, address: tuple[str, int], message: Any) -> None:
        """Send a message that gets no reply; it may be lost."""
        self.peer(address).post(message)

    def close(self) -> None:
        """Stop listening, close all connections, and open no new ones."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()
        for peer in self._peers.values():
            peer.close()
        for connection in list(self._connections):
            connection.abort()
        for task in self._tasks:
            task.cancel()

    def _on_frame(self, connection: Connection, number: int, message: Any) -> None:
        if isinstance(message, UnreadableMessage):
            if number:
                connection.refuse(number)
            return
        if not number:
            self._on_message(message)
            return
        self.metrics.calls_received += 1
        if connection.open_calls >= MAX_OPEN_CALLS:
            connection.abort()  # bounds the memory that a flooding peer can occupy
            return
        connection.open_calls += 1
        task = asyncio.get_running_loop().create_task(self._reply(connection, number, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply(self, connection: Connection, number: int, message: Any) -> None:
        try:
            reply = await self._on_call(message)
        finally:
            connection.open_calls -= 1
        if reply is not None:
            connection.send(number, reply)
