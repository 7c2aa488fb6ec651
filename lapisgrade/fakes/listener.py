"""The TCP listener that all fakes share."""

import asyncio
import contextlib
from typing import Self


class Listener:
    """A TCP listener whose connections are served by `_serve` and can all be reset at once."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Prepare a listener on `host` and `port`; with port 0 `open` sets `port` to a free one."""
        self.host, self.port = host, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._closed = False

    async def open(self) -> Self:
        """Start listening and return the fake itself.

        Raises:
            OSError: The port is in use.
        """
        self._server = await asyncio.start_server(self._on_connection, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        """The address it listens on, as `host:port`."""
        return f"{self.host}:{self.port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    def reset_connections(self) -> None:
        """Abort every open connection, as a network failure or a crash would."""
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Refuse new connections and abort the open ones."""
        self._closed = True
        self.stop_listening()
        self.reset_connections()
        if self._server is not None:
            with contextlib.suppress(Exception):
                await self._server.wait_closed()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a new connection, unless the listener was closed after the connection was accepted.

        In that case it is aborted without reaching the subclass, whose resources may already be closed.
        """
        if self._closed:
            writer.transport.abort()
            return
        await self._accept(reader, writer)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Track the connection, so that it can be reset, while `_serve` serves it."""
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; it is aborted on return."""
        raise NotImplementedError
