"""The listener that all fakes share."""

import asyncio

from lapisgrade.fakes.listener import Listener


class CountingListener(Listener):
    """Counts the connections that it accepts."""

    accepted = 0

    async def _accept(self, reader, writer) -> None:
        self.accepted += 1
        writer.transport.abort()


async def test_a_connection_accepted_while_the_listener_closes_is_aborted_without_being_served():
    listener = await CountingListener().open()
    await asyncio.open_connection(listener.host, listener.port)
    await asyncio.sleep(0.05)
    await listener.close()
    # The event loop may accept a connection and call the handler only after close().
    reader, writer = await asyncio.open_connection(listener.host, (await CountingListener().open()).port)
    await listener._on_connection(reader, writer)
    assert (listener.accepted, writer.transport.is_closing()) == (1, True)
