"""Runs one role of the gateway with links that can be cut.

    python -m lapisgrade.lab.partitions.cuts CUTS ROLE --settings=PATH

The program is unchanged; only its event loop is replaced. CUTS is a file with a JSON list of address pairs
`[from, to]`; traffic from the first address to the second is held back. The file is polled every
`FILE_POLL_INTERVAL_S`. The dialling process enforces the cuts for both directions of its connections, so both
ends see them:

- A new connection attempt hangs until the cut is removed or the caller gives up.
- On an open connection, data in a cut direction is held back and delivered late and in order when the cut is
  removed, as by TCP retransmission. If data to the peer is held back for `SEND_TIMEOUT_S`, the dialling side
  loses the connection, as with TCP_USER_TIMEOUT; the peer loses it when the cut is removed. The held data is
  dropped.
- Datagrams are lost.

Unlike in a real partition, the accepting end never times out a connection by itself during the cut.
"""

from lapisgrade.gateway import startup  # noqa: F401  # first: it records signals received during startup

import asyncio  # isort: skip
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lapisgrade.gateway.rpc_connection import ACKNOWLEDGEMENT_TIMEOUT_MS
from lapisgrade.net import event_loop

SEND_TIMEOUT_S = ACKNOWLEDGEMENT_TIMEOUT_MS / 1000  # the TCP_USER_TIMEOUT of the gateway's own sockets
FILE_POLL_INTERVAL_S = 0.01  # also the precision of the times that the fault scenarios measure


class LinkCuts:
    """The cut links from and to this machine, as read from a file.

    Attributes:
        connections: Dialled connections that are open or still hold data back.
    """

    def __init__(self, path: Path, own_address: str) -> None:
        self._path, self._own_address, self._mtime_ns = path, own_address, 0
        self._pairs: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
        self.connections: set[CuttableConnection] = set()
        self.reload()

    def reload(self) -> None:
        """Read the file if it has changed, and apply the new cuts to all connections."""
        mtime_ns = os.stat(self._path).st_mtime_ns
        if mtime_ns == self._mtime_ns:
            return
        self._mtime_ns = mtime_ns
        self._pairs = {(each[0], each[1]) for each in json.loads(self._path.read_text())}
        self._changed.set()
        self._changed = asyncio.Event()
        for connection in list(self.connections):
            connection.on_cuts_changed()

    def poll(self, loop: asyncio.AbstractEventLoop) -> None:
        """Reload the file now and every `FILE_POLL_INTERVAL_S`."""
        self.reload()
        loop.call_later(FILE_POLL_INTERVAL_S, self.poll, loop)

    def is_outbound_cut(self, peer: str) -> bool:
        """Return whether traffic to that address is cut."""
        return (self._own_address, peer) in self._pairs

    def is_inbound_cut(self, peer: str) -> bool:
        """Return whether traffic from that address is cut."""
        return (peer, self._own_address) in self._pairs

    async def wait_until_connectable(self, peer: str) -> None:
        """Wait until neither direction is cut; a TCP handshake needs both."""
        while self.is_outbound_cut(peer) or self.is_inbound_cut(peer):
            await self._changed.wait()


class CuttableConnection(asyncio.Protocol):
    """A dialled connection: a protocol to the event loop, and a transport to the program's protocol."""

    def __init__(self, cuts: LinkCuts, peer: str, protocol: asyncio.Protocol) -> None:
        self._cuts, self._peer, self.protocol = cuts, peer, protocol
        self._transport: asyncio.Transport | None = None
        self._held_inbound: list[Callable[[], None]] = []  # the peer's events, in order of arrival
        self._held_outbound: list[Callable[[], None]] = []  # the program's calls, in order
        self._send_timer: asyncio.TimerHandle | None = None
        self._is_closed = False  # for the program: it closed the connection or was notified of its loss

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    # ---- as a protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._cuts.connections.add(self)
        self.protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        self._receive(lambda: self.protocol.data_received(data))

    def eof_received(self) -> bool:
        self._receive(self._deliver_eof)
        return True  # keeps the transport open; `_deliver_eof` closes it

    def connection_lost(self, error: Exception | None) -> None:
        self._receive(lambda: self._deliver_loss(error))
        if self._is_closed:
            self._cuts.connections.discard(self)

    def pause_writing(self) -> None:
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        self.protocol.resume_writing()

    def _receive(self, deliver: Callable[[], None]) -> None:
        """Deliver an event of the peer to the program, or hold it back."""
        if self._is_closed:
            return
        if self._held_inbound or self._cuts.is_inbound_cut(self._peer):
            self._held_inbound.append(deliver)
        else:
            deliver()

    def _deliver_eof(self) -> None:
        if not self.protocol.eof_received():
            self.close()

    # ---- as a transport

    def write(self, data: bytes) -> None:
        if not self._is_closed:
            self._send(lambda: self._transport.write(data))

    def writelines(self, parts: list[bytes]) -> None:
        self.write(b"".join(parts))

    def close(self) -> None:
        """Close the connection for the program at once, and for the peer when the link to it is not cut."""
        if not self._is_closed:
            self._send(self._transport.close)
            asyncio.get_running_loop().call_soon(self._deliver_loss, None)

    def abort(self) -> None:
        if not self._is_closed:
            self._held_outbound.clear()
            self._send(self._transport.abort)
            asyncio.get_running_loop().call_soon(self._deliver_loss, None)

    def is_closing(self) -> bool:
        return self._is_closed or self._transport.is_closing()

    def _send(self, transmit: Callable[[], None]) -> None:
        """Pass a call of the program on to the socket, or hold it back."""
        if not self._held_outbound and not self._cuts.is_outbound_cut(self._peer):
            return transmit()
        self._held_outbound.append(transmit)
        if self._send_timer is None:
            self._send_timer = asyncio.get_running_loop().call_later(SEND_TIMEOUT_S, self._on_send_timeout)

    def _on_send_timeout(self) -> None:
        self._held_outbound = [self._transport.abort]
        self._deliver_loss(TimeoutError())

    def _deliver_loss(self, error: Exception | None) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._held_inbound.clear()
            self.protocol.connection_lost(error)

    def on_cuts_changed(self) -> None:
        """Release what is held back in each direction that is no longer cut."""
        if not self._cuts.is_outbound_cut(self._peer):
            if self._send_timer is not None:
                self._send_timer.cancel()
                self._send_timer = None
            released, self._held_outbound = self._held_outbound, []
            for step in released:
                step()
        if not self._cuts.is_inbound_cut(self._peer):
            released, self._held_inbound = self._held_inbound, []
            for step in released:
                self._receive(step)
        if self._is_closed and not self._held_outbound:
            self._cuts.connections.discard(self)


class CuttableDatagramTransport:
    """A datagram socket that drops what it would send over a cut link; each sender applies its own cuts."""

    def __init__(self, cuts: LinkCuts, transport: asyncio.DatagramTransport) -> None:
        self._cuts, self._transport = cuts, transport

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def sendto(self, data: bytes, address: tuple | None = None) -> None:
        if address is None or not self._cuts.is_outbound_cut(address[0]):
            self._transport.sendto(data, address)


class CuttableEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose dialled connections and datagram sockets obey `cuts`."""

    cuts: LinkCuts

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        if host is None:
            return await super().create_connection(protocol_factory, host, port, **options)
        await self.cuts.wait_until_connectable(host)
        connection = CuttableConnection(self.cuts, host, protocol_factory())
        await super().create_connection(lambda: connection, host, port, **options)
        return connection, connection.protocol

    async def create_datagram_endpoint(self, protocol_factory, **options):
        transport, protocol = await super().create_datagram_endpoint(protocol_factory, **options)
        return CuttableDatagramTransport(self.cuts, transport), protocol


def main() -> int:
    """Run the gateway's command line on a `CuttableEventLoop`."""
    from lapisgrade.gateway import __main__ as gateway_main
    from lapisgrade.gateway import settings

    cuts_path, settings_path = Path(sys.argv.pop(1)), sys.argv[-1].partition("=")[2]
    own_address = settings.read(settings_path).ip

    def new_event_loop() -> CuttableEventLoop:
        loop = CuttableEventLoop(event_loop.BatchingSelector())
        loop.cuts = LinkCuts(cuts_path, own_address)
        loop.cuts.poll(loop)
        return loop

    event_loop.new_event_loop = new_event_loop
    return gateway_main.main()


if __name__ == "__main__":
    sys.exit(main())
