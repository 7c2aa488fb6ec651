"""What every fake does as a listener on loopback: listen, say where, break its connections, end."""

import asyncio
import contextlib
from typing import Self


class Listener:
    """A TCP listener whose connections `_serve(reader, writer)` serves, and can all be broken at once."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host, self.port = host, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._closed = False

    async def open(self) -> Self:
        """Listen; OSError where the port is taken. Returns the fake itself."""
        self._server = await asyncio.start_server(self._on_connection, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        """Where it listens, as `host:port`."""
        return f"{self.host}:{self.port}"

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._writers)

    def reset_connections(self) -> None:
        """Break every open connection, as a network or a process that fails."""
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def stop_listening(self) -> None:
        """Refuse new connections; those open go on."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Refuse new connections and break the open ones."""
        self._closed = True
        self.stop_listening()
        self.reset_connections()
        if self._server is not None:
            with contextlib.suppress(Exception):
                await self._server.wait_closed()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a new connection.

        One that was accepted just as this closed is aborted unseen (guards what its subclass writes to, which
        may be closed by now).
        """
        if self._closed:
            writer.transport.abort()
            return
        await self._accept(reader, writer)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError
