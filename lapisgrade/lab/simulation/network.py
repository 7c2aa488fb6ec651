"""The network between simulated processes: delay, loss, repeats, cuts of either direction, links that are
slow or hold bytes back, and addresses that a process takes and gives back.

Every message is encoded and decoded, so no two processes share an object. Messages may overtake each other
and come twice, which TCP's don't: what holds here holds there.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.lab.simulation.virtual_loop import SECOND, Process, VirtualLoop

FASTEST, SLOWEST = 300, 5_000  # us one way
LOST, TWICE = 0.01, 0.01  # parts of messages
HELD_BACK = 0.5  # of the messages across a cut that come when it ends, where it ends soon
MOST_HELD = 1_500_000  # us that a connection keeps bytes back

Address = tuple[str, int]
Answer = Callable[[Any], Awaitable[Any]]
Hear = Callable[[Any], None]


class Network:
    """`cuts` holds pairs of hosts whose first can't reach the second; `rates` bytes a second out of a host;
    `delays` us more from a host to another."""

    def __init__(self, loop: VirtualLoop, union: Any) -> None:
        self.loop, self.random = loop, loop.random
        self.cuts: set[tuple[str, str]] = set()
        self.rates: dict[str, float] = {}
        self.delays: dict[tuple[str, str], int] = {}
        self.bytes_sent = 0
        self._free: dict[str, int] = {}  # when a host's slow link is free
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)
        self.listening: dict[Address, Endpoint] = {}
        self._held: list[tuple[int, tuple[str, str], Callable[[], None]]] = []

    def carry(self, source: str, to: str, message: Any, deliver: Callable[[Any], None]) -> None:
        """Bring a message from one host to another, or lose it."""
        data = self._encoder.encode(message)
        self.bytes_sent += len(data)

        def arrive() -> None:
            deliver(self._decoder.decode(data))

        if (source, to) in self.cuts:
            if self.random.random() < HELD_BACK:
                self._held.append((self.loop.now_us, (source, to), arrive))
            return
        if source != to and self.random.random() < LOST:
            return
        for _ in range(1 + (self.random.random() < TWICE)):
            takes = self._takes(source, len(data)) + self.delays.get((source, to), 0)
            self.loop.after(takes, None, arrive)

    def _takes(self, source: str, size: int) -> int:
        delay = self.random.randrange(FASTEST, SLOWEST)
        rate = self.rates.get(source)
        if rate is None:
            return delay
        begins = max(self.loop.now_us, self._free.get(source, 0))
        self._free[source] = begins + round(size / rate * SECOND)
        return self._free[source] - self.loop.now_us + delay

    def heal(self) -> None:
        """End all cuts; what connections held back comes now."""
        self.cuts = set()
        held, self._held = self._held, []
        for since, _, arrive in held:
            if self.loop.now_us - since < MOST_HELD:
                self.loop.after(self.random.randrange(FASTEST, SLOWEST), None, arrive)


class Endpoint:
    """One process's place on the network, with the calls of `gateway.rpc.RpcEndpoint`."""

    def __init__(self, network: Network, process: Process, host: str, answer: Answer, hear: Hear) -> None:
        self._network, self.process, self.host = network, process, host
        self._answer, self._hear = answer, hear
        self._address: Address | None = None
        self._numbers = 0
        self._waiting: dict[int, asyncio.Future] = {}

    async def listen(self, address: Address) -> None:
        self._address = (address[0], address[1])
        self._network.listening[self._address] = self

    def close(self) -> None:
        if self._address is not None and self._network.listening.get(self._address) is self:
            del self._network.listening[self._address]

    def post(self, address: Address, message: Any) -> None:
        self._network.carry(self.host, address[0], message, lambda got: self._give(address, got))

    def _give(self, address: Address, message: Any) -> None:
        other = self._network.listening.get((address[0], address[1]))
        if other is not None and other.process.alive:
            self._network.loop.after(0, other.process, other._hear, message)

    async def call(self, address: Address, message: Any, within: float) -> Result[Any, CallFailure]:
        """As `gateway.rpc.RpcEndpoint.call`."""
        self._numbers += 1
        number, future = self._numbers, asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        self._network.carry(self.host, address[0], message, lambda got: self._ask(address, number, got))
        try:
            async with asyncio.timeout(within):
                return await future
        except TimeoutError:
            return Failure(CallFailure.MAY_HAVE_RUN)
        finally:
            self._waiting.pop(number, None)

    def _ask(self, address: Address, number: int, message: Any) -> None:
        other = self._network.listening.get((address[0], address[1]))
        if other is None or not other.process.alive:
            return self._back(address[0], number, Failure(CallFailure.NOT_RUN))
        loop = self._network.loop
        loop.after(0, other.process, lambda: loop.create_task(other._reply(self, number, message)))

    async def _reply(self, caller: "Endpoint", number: int, message: Any) -> None:
        answer = await self._answer(message)
        if answer is not None:
            self._network.carry(
                self.host, caller.host, answer, lambda got: caller._answered(number, Success(got))
            )

    def _back(self, source: str, number: int, result: Result) -> None:
        """A refused connection: it comes as fast as the network lets it."""
        if (source, self.host) not in self._network.cuts:
            self._network.loop.after(FASTEST, None, self._answered, number, result)

    def _answered(self, number: int, result: Result) -> None:
        if self.process.alive:
            self._network.loop.after(0, self.process, self._resolve, number, result)

    def _resolve(self, number: int, result: Result) -> None:
        future = self._waiting.pop(number, None)
        if future is not None and not future.done():
            future.set_result(result)
