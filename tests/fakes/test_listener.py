"""The listener that all fakes share."""

import asyncio

from lapisgrade.fakes.listener import Listener


def run(work, seconds=60):
    return asyncio.run(asyncio.wait_for(work, seconds))


class _Seen(Listener):
    """Counts the connections that it accepts."""

    accepted = 0

    async def _accept(self, reader, writer) -> None:
        self.accepted += 1
        writer.transport.abort()


def test_a_connection_accepted_while_the_listener_closes_is_aborted_unseen():
    async def met() -> tuple[int, bool]:
        one = await _Seen().open()
        await asyncio.open_connection(one.host, one.port)
        await asyncio.sleep(0.05)
        await one.close()
        # What the loop does where it accepted the connection, and ran this only after the end.
        reader, writer = await asyncio.open_connection(one.host, (await _Seen().open()).port)
        await one._on_connection(reader, writer)
        return one.accepted, writer.transport.is_closing()

    assert asyncio.run(met()) == (1, True)
