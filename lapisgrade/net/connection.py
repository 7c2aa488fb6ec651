"""Functions for all connections: opening them, limiting the read size, and detecting stale ones."""

import asyncio
import select
from collections.abc import Callable

READ_BYTES = 16_384  # maximum bytes per read; most messages are far smaller


class CountingStreamReader(asyncio.StreamReader):
    """A stream reader that counts the bytes that were received but not read yet."""

    unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Store the data that the transport received."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes, as `asyncio.StreamReader.read` does."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


async def connect(host: str, port: int) -> tuple[CountingStreamReader, asyncio.StreamWriter]:
    """Open a connection as `asyncio.open_connection` does, with a reader that supports `is_stale`.

    Raises:
        OSError: The connection was refused, or the address can't be reached.
    """
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def limit_read_size(writer: asyncio.StreamWriter) -> None:
    """Limit asyncio to `READ_BYTES` per read from this connection.

    By default it allocates a buffer of 256 KiB for each read, which costs more than the read itself.
    """
    writer.transport.max_size = READ_BYTES


def is_stale(reader: CountingStreamReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether an idle connection is known locally to be closed or to have received data.

    A request written to a closed connection may have been executed, so that a non-idempotent operation could
    not be retried, and a retried counter call could be added to the count twice. Data received while idle
    would be taken for the next response.
    """
    if writer.is_closing() or reader.at_eof() or reader.unread_bytes:
        return True
    return _is_readable(writer.get_extra_info("socket").fileno())


def _is_readable(descriptor: int) -> bool:
    """Return whether the kernel has data, or the end of the connection, that asyncio has not received yet.

    `poll` takes descriptors of any number; `select` fails from 1,024 on.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def call_after_pending_io(callback: Callable[[], None]) -> None:
    """Run the callback of a time-out after all data received so far is processed.

    After a stall of this process, responses that arrived in time are handled first, so that peers are not
    marked as timed out because of the stall.
    """
    asyncio.get_running_loop().call_soon(callback)
