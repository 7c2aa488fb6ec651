"""A role of the system under links that can be cut: `python -m lapisgrade.lab.partitions.cuts CUTS ROLE ...`.

The program is the real one; only its event loop is another. CUTS names a file with a JSON list of pairs of
addresses, `[from, to]`: what goes from the one to the other is held up, as behind a cut. The file is looked
at every `LOOK`. Whoever dials stands for both directions of its connection, so each cut is felt by both ends:

- a new connection hangs until the cut is healed, or its caller gives it up;
- on an open one, what is written and what has come is held, and goes on when the cut is healed, as the kernel
  sends it again: late, and in order. A connection with bytes held for `SILENT` is lost to its dialler, as by
  TCP_USER_TIMEOUT, and to the other end at the heal; what it held is gone;
- a datagram is lost.

Differs from a real cut: the end that was dialled never loses a connection by itself while the cut lasts.
"""

from lapisgrade.gateway import startup  # noqa: F401  # first, as it keeps signals that come meanwhile

import asyncio  # isort: skip
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lapisgrade.gateway.rpc_connection import ACKNOWLEDGEMENT_TIMEOUT_MS
from lapisgrade.net import event_loop

SILENT = ACKNOWLEDGEMENT_TIMEOUT_MS / 1000  # s; as the program's own sockets
LOOK = 0.01  # s between looks at the file; a play's figures are good to that


class Cuts:
    """Which words from this machine and to it are held up."""

    def __init__(self, path: Path, own: str) -> None:
        self._path, self._own, self._stamp = path, own, 0
        self._pairs: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
        self.ends: set[End] = set()
        self.read()

    def read(self) -> None:
        """See whether the file says something else now."""
        stamp = os.stat(self._path).st_mtime_ns
        if stamp == self._stamp:
            return
        self._stamp = stamp
        self._pairs = {(each[0], each[1]) for each in json.loads(self._path.read_text())}
        self._changed.set()
        self._changed = asyncio.Event()
        for end in list(self.ends):
            end.moved()

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        self.read()
        loop.call_later(LOOK, self.watch, loop)

    def out(self, other: str) -> bool:
        return (self._own, other) in self._pairs

    def back(self, other: str) -> bool:
        return (other, self._own) in self._pairs

    async def open(self, other: str) -> None:
        """Until a connection there can come up, which takes both directions."""
        while self.out(other) or self.back(other):
            await self._changed.wait()


class End(asyncio.Protocol):
    """The dialler's end of a connection: a protocol to the loop, a transport to the program's protocol."""

    def __init__(self, cuts: Cuts, other: str, protocol: asyncio.Protocol) -> None:
        self._cuts, self._other, self.protocol = cuts, other, protocol
        self._transport: asyncio.Transport | None = None
        self._come: list[Callable[[], None]] = []  # what the other end has said meanwhile, in order
        self._unsent: list[Callable[[], None]] = []
        self._silent: asyncio.TimerHandle | None = None
        self._over = False  # the program was told that it is lost, or has closed it

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    # ---- as a protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._cuts.ends.add(self)
        self.protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        self._in(lambda: self.protocol.data_received(data))

    def eof_received(self) -> bool:
        self._in(self._eof)
        return True  # closed by `_eof`, once the program hears of it

    def connection_lost(self, wrong: Exception | None) -> None:
        self._in(lambda: self._lost(wrong))
        if self._over:
            self._cuts.ends.discard(self)

    def pause_writing(self) -> None:
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        self.protocol.resume_writing()

    def _in(self, step: Callable[[], None]) -> None:
        if self._over:
            return
        if self._come or self._cuts.back(self._other):
            self._come.append(step)
        else:
            step()

    def _eof(self) -> None:
        if not self.protocol.eof_received():
            self.close()

    # ---- as a transport

    def write(self, data: bytes) -> None:
        if not self._over:
            self._out(lambda: self._transport.write(data))

    def writelines(self, parts: list[bytes]) -> None:
        self.write(b"".join(parts))

    def close(self) -> None:
        """The program is rid of it at once; the other end hears of it when words get there."""
        if not self._over:
            self._out(self._transport.close)
            asyncio.get_running_loop().call_soon(self._lost, None)

    def abort(self) -> None:
        if not self._over:
            self._unsent.clear()
            self._out(self._transport.abort)
            asyncio.get_running_loop().call_soon(self._lost, None)

    def is_closing(self) -> bool:
        return self._over or self._transport.is_closing()

    def _out(self, step: Callable[[], None]) -> None:
        if not self._unsent and not self._cuts.out(self._other):
            return step()
        self._unsent.append(step)
        if self._silent is None:
            self._silent = asyncio.get_running_loop().call_later(SILENT, self._given_up)

    def _given_up(self) -> None:
        self._unsent = [self._transport.abort]
        self._lost(TimeoutError())

    def _lost(self, wrong: Exception | None) -> None:
        if not self._over:
            self._over = True
            self._come.clear()
            self.protocol.connection_lost(wrong)

    def moved(self) -> None:
        """Cuts have come or gone."""
        if not self._cuts.out(self._other):
            if self._silent is not None:
                self._silent.cancel()
                self._silent = None
            steps, self._unsent = self._unsent, []
            for step in steps:
                step()
        if not self._cuts.back(self._other):
            steps, self._come = self._come, []
            for step in steps:
                self._in(step)
        if self._over and not self._unsent:
            self._cuts.ends.discard(self)


class Words:
    """A datagram socket that loses what would go through a cut; the sender's side does it for both."""

    def __init__(self, cuts: Cuts, transport: asyncio.DatagramTransport) -> None:
        self._cuts, self._transport = cuts, transport

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def sendto(self, data: bytes, address: tuple | None = None) -> None:
        if address is None or not self._cuts.out(address[0]):
            self._transport.sendto(data, address)


class Loop(asyncio.SelectorEventLoop):
    """The limiter's loop, behind cuts."""

    cuts: Cuts

    async def create_connection(self, protocol_factory, host=None, port=None, **more):
        if host is None:
            return await super().create_connection(protocol_factory, host, port, **more)
        await self.cuts.open(host)
        end = End(self.cuts, host, protocol_factory())
        await super().create_connection(lambda: end, host, port, **more)
        return end, end.protocol

    async def create_datagram_endpoint(self, protocol_factory, **more):
        transport, protocol = await super().create_datagram_endpoint(protocol_factory, **more)
        return Words(self.cuts, transport), protocol


def main() -> int:
    from lapisgrade.gateway import __main__ as gateway_main
    from lapisgrade.gateway import settings

    cuts, path = Path(sys.argv.pop(1)), sys.argv[-1].partition("=")[2]
    own = settings.read(path).ip

    def new() -> Loop:
        made = Loop(event_loop.BatchingSelector())
        made.cuts = Cuts(cuts, own)
        made.cuts.watch(made)
        return made

    event_loop.new_event_loop = new
    return gateway_main.main()


if __name__ == "__main__":
    sys.exit(main())
