"""What every connection of ours shares: opening it, sizing its reads, and finding out that it has ended."""

import asyncio
import select
from collections.abc import Callable

READ_BYTES = 16_384  # bytes asked for in one read; most messages are far smaller


class CountingStreamReader(asyncio.StreamReader):
    """A stream reader that knows how many received bytes were not read yet."""

    unread_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Take in what the transport received."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes, as `asyncio.StreamReader.read` does."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


async def connect(host: str, port: int) -> tuple[CountingStreamReader, asyncio.StreamWriter]:
    """Open a connection as `asyncio.open_connection` does, with a reader that `is_stale` can ask.

    Raises:
        OSError: The connection was refused, or the address can't be reached.
    """
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def limit_read_size(writer: asyncio.StreamWriter) -> None:
    """Have asyncio read at most `READ_BYTES` at a time from this connection.

    Its default is a new buffer of 256 KiB for each read, which costs more than the read itself.
    """
    writer.transport.max_size = READ_BYTES


def is_stale(reader: CountingStreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether an idle connection has ended, or has received something, as far as this machine knows.

    A request written to a connection that has ended may have been executed, for all that we know (guards
    operations that must not repeat, and counts that must not be added twice); and what an idle connection
    has received would be taken for the next response.
    """
    if writer.is_closing() or reader.at_eof() or reader.unread_bytes:
        return True
    return bool(select.select([writer.get_extra_info("socket")], [], [], 0)[0])


def call_after_pending_io(callback: Callable[[], None]) -> None:
    """Carry out a time-out, but after all that has been received by now.

    After a stall of this process, responses that came in time are handled first (guards peers against being
    blamed for our own sleep).
    """
    asyncio.get_running_loop().call_soon(callback)
