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
        """Read the cuts from the file `path`; `own_address` is the IP address of this machine."""
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
    """A dialled connection: a protocol to the event loop, and a transport to the program's protocol.

    Attributes of a transport that are not defined here are those of the real transport.

    Attributes:
        protocol: The program's protocol.
    """

    def __init__(self, cuts: LinkCuts, peer: str, protocol: asyncio.Protocol) -> None:
        """Wrap the program's protocol of a connection to the address `peer`."""
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
        """Register the connection, and pass itself to the program's protocol as the transport."""
        self._transport = transport
        self._cuts.connections.add(self)
        self.protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        """Deliver data from the peer, or hold it back while the inbound direction is cut."""
        self._receive(lambda: self.protocol.data_received(data))

    def eof_received(self) -> bool:
        """Deliver the peer's end of data, or hold it back; the transport stays open until it is delivered."""
        self._receive(self._deliver_eof)
        return True  # keeps the transport open; `_deliver_eof` closes it

    def connection_lost(self, error: Exception | None) -> None:
        """Deliver the loss of the connection, or hold it back while the inbound direction is cut."""
        self._receive(lambda: self._deliver_loss(error))
        if self._is_closed:
            self._cuts.connections.discard(self)

    def pause_writing(self) -> None:
        """Tell the program that the socket's write buffer is full."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Tell the program that the socket's write buffer has room again."""
        self.protocol.resume_writing()

    def _receive(self, deliver: Callable[[], None]) -> None:
        """Deliver an event of the peer to the program, or hold it back after earlier held events."""
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
        """Send data to the peer, or hold it back while the outbound direction is cut."""
        if not self._is_closed:
            self._send(lambda: self._transport.write(data))

    def writelines(self, parts: list[bytes]) -> None:
        """Send the parts as one `write`."""
        self.write(b"".join(parts))

    def close(self) -> None:
        """Close the connection for the program at once, and for the peer when the link to it is not cut."""
        if not self._is_closed:
            self._send(self._transport.close)
            asyncio.get_running_loop().call_soon(self._deliver_loss, None)

    def abort(self) -> None:
        """As `close`, but drop the data that is held back for the peer."""
        if not self._is_closed:
            self._held_outbound.clear()
            self._send(self._transport.abort)
            asyncio.get_running_loop().call_soon(self._deliver_loss, None)

    def is_closing(self) -> bool:
        """Return whether the connection is closed, or being closed, for the program."""
        return self._is_closed or self._transport.is_closing()

    def _send(self, transmit: Callable[[], None]) -> None:
        """Pass a call of the program on to the socket, or hold it back for at most `SEND_TIMEOUT_S`."""
        if not self._held_outbound and not self._cuts.is_outbound_cut(self._peer):
            return transmit()
        self._held_outbound.append(transmit)
        if self._send_timer is None:
            self._send_timer = asyncio.get_running_loop().call_later(SEND_TIMEOUT_S, self._on_send_timeout)

    def _on_send_timeout(self) -> None:
        self._held_outbound = [self._transport.abort]  # the peer loses the connection when the cut is removed
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
            for transmit in released:
                transmit()
        if not self._cuts.is_inbound_cut(self._peer):
            released, self._held_inbound = self._held_inbound, []
            for deliver in released:
                self._receive(deliver)
        if self._is_closed and not self._held_outbound:
            self._cuts.connections.discard(self)


class CuttableDatagramTransport:
    """A datagram socket that drops what it would send over a cut link; each sender applies its own cuts."""

    def __init__(self, cuts: LinkCuts, transport: asyncio.DatagramTransport) -> None:
        """Wrap a datagram transport; attributes that are not defined here are the transport's."""
        self._cuts, self._transport = cuts, transport

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def sendto(self, data: bytes, address: tuple | None = None) -> None:
        """Send a datagram unless the link to `address` is cut; without an address no cut applies."""
        if address is None or not self._cuts.is_outbound_cut(address[0]):
            self._transport.sendto(data, address)


class CuttableEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose dialled connections and datagram sockets obey `cuts`.

    Attributes:
        cuts: Cuts of this machine's links; set it before the first connection.
    """

    cuts: LinkCuts

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        """Connect once no direction of the link is cut; without a `host`, no cut applies."""
        if host is None:
            return await super().create_connection(protocol_factory, host, port, **options)
        await self.cuts.wait_until_connectable(host)
        connection = CuttableConnection(self.cuts, host, protocol_factory())
        await super().create_connection(lambda: connection, host, port, **options)
        return connection, connection.protocol

    async def create_datagram_endpoint(self, protocol_factory, **options):
        """Create a datagram endpoint whose transport obeys the cuts."""
        transport, protocol = await super().create_datagram_endpoint(protocol_factory, **options)
        return CuttableDatagramTransport(self.cuts, transport), protocol


def main() -> int:
    """Run the gateway's command line on a `CuttableEventLoop`; return its exit code."""
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
