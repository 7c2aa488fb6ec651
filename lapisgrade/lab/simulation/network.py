"""The network between simulated processes: delay, loss, duplicates, one-way partitions, slow links.

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

MIN_DELAY_US = 300  # one way
MAX_DELAY_US = 5_000
LOSS_RATE = 0.01
DUPLICATE_RATE = 0.01
RETRANSMIT_RATE = 0.5  # of the messages on a blocked link that arrive when it is unblocked soon
MAX_RETRANSMIT_US = 1_500_000  # that a connection transmits again
MAX_LATE_COPY_US = 30_000_000  # that another copy of a message may come after it

Address = tuple[str, int]
OnCall = Callable[[Any], Awaitable[Any]]
OnMessage = Callable[[Any], None]


class Network:
    """Links between hosts.

    Attributes:
        blocked_links: pairs of hosts whose first can't reach the second.
        bytes_per_second: the bandwidth out of a host, where it is limited.
        extra_delay_us: the delay from a host to another beyond the usual.
        listening: the endpoints by address.
        late_copy_rate: messages of which another copy arrives long after.
    """

    def __init__(self, loop: VirtualLoop, union: Any) -> None:
        self.loop = loop
        self.random = loop.random
        self.blocked_links: set[tuple[str, str]] = set()
        self.bytes_per_second: dict[str, float] = {}
        self.extra_delay_us: dict[tuple[str, str], int] = {}
        self.late_copy_rate = 0.0
        self.bytes_sent = 0
        self._link_free_us: dict[str, int] = {}  # when a host's slow link is free
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)
        self.listening: dict[Address, Endpoint] = {}
        self._delayed: list[tuple[int, Callable[[], None]]] = []  # since when, and what

    def transmit(self, source: str, to: str, message: Any, deliver: Callable[[Any], None]) -> None:
        """Transmit a message from one host to another, or lose it."""
        data = self._encoder.encode(message)
        self.bytes_sent += len(data)

        def arrive() -> None:
            deliver(self._decoder.decode(data))

        if (source, to) in self.blocked_links:
            if self.random.random() < RETRANSMIT_RATE:
                self._delayed.append((self.loop.now_us, arrive))
            return
        if source != to and self.random.random() < LOSS_RATE:
            return
        for _ in range(1 + (self.random.random() < DUPLICATE_RATE)):
            transfer_us = self._transfer_us(source, len(data))
            delay_us = transfer_us + self.extra_delay_us.get((source, to), 0)
            self.loop.schedule(delay_us, None, arrive)
        if self.late_copy_rate and self.random.random() < self.late_copy_rate:
            self.loop.schedule(self.random.randrange(MAX_LATE_COPY_US), None, arrive)

    def _transfer_us(self, source: str, size: int) -> int:
        delay = self.random.randrange(MIN_DELAY_US, MAX_DELAY_US)
        rate = self.bytes_per_second.get(source)
        if rate is None:
            return delay
        begins = max(self.loop.now_us, self._link_free_us.get(source, 0))
        self._link_free_us[source] = begins + round(size / rate * SECOND)
        return self._link_free_us[source] - self.loop.now_us + delay

    def heal(self) -> None:
        """Unblock all links; messages that TCP would transmit again arrive now."""
        self.blocked_links = set()
        delayed, self._delayed = self._delayed, []
        for since_us, arrive in delayed:
            if self.loop.now_us - since_us < MAX_RETRANSMIT_US:
                self.loop.schedule(self.random.randrange(MIN_DELAY_US, MAX_DELAY_US), None, arrive)


class Endpoint:
    """One process's network endpoint, with the interface of `gateway.rpc.RpcEndpoint`."""

    def __init__(
        self, network: Network, process: Process, host: str, on_call: OnCall, on_message: OnMessage
    ) -> None:
        self._network = network
        self.process = process
        self.host = host
        self.on_call = on_call
        self.on_message = on_message
        self._address: Address | None = None
        self._last_number = 0
        self._pending_calls: dict[int, asyncio.Future] = {}

    async def listen(self, address: Address) -> None:
        """Take messages and calls at that address."""
        self._address = (address[0], address[1])
        self._network.listening[self._address] = self

    def close(self) -> None:
        """Release the address."""
        if self._address is not None and self._network.listening.get(self._address) is self:
            del self._network.listening[self._address]

    def post(self, address: Address, message: Any) -> None:
        """Send a message that has no reply."""
        self._network.transmit(
            self.host, address[0], message, lambda got: self._deliver_message(address, got)
        )

    def _deliver_message(self, address: Address, message: Any) -> None:
        other = self._network.listening.get((address[0], address[1]))
        if other is not None and other.process.is_alive:
            self._network.loop.schedule(0, other.process, other.on_message, message)

    async def call(self, address: Address, message: Any, timeout_s: float) -> Result[Any, CallFailure]:
        """As `gateway.rpc.RpcEndpoint.call`."""
        self._last_number += 1
        number = self._last_number
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        self._network.transmit(
            self.host, address[0], message, lambda got: self._deliver_call(address, number, got)
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return Failure(CallFailure.MAY_HAVE_RUN)
        finally:
            self._pending_calls.pop(number, None)

    def _deliver_call(self, address: Address, number: int, message: Any) -> None:
        other = self._network.listening.get((address[0], address[1]))
        if other is None or not other.process.is_alive:
            return self._refuse_call(address[0], number, Failure(CallFailure.NOT_RUN))
        loop = self._network.loop
        loop.schedule(0, other.process, lambda: loop.create_task(other.handle_call(self, number, message)))

    async def handle_call(self, caller: "Endpoint", number: int, message: Any) -> None:
        """Handle a call, and send its reply to the caller."""
        reply = await self.on_call(message)
        if reply is not None:
            self._network.transmit(
                self.host, caller.host, reply, lambda got: caller.deliver_reply(number, Success(got))
            )

    def _refuse_call(self, source: str, number: int, result: Result) -> None:
        """Refuse a connection, as fast as the network allows."""
        if (source, self.host) not in self._network.blocked_links:
            self._network.loop.schedule(MIN_DELAY_US, None, self.deliver_reply, number, result)

    def deliver_reply(self, number: int, result: Result) -> None:
        """Resolve the call of that number in the caller's process."""
        if self.process.is_alive:
            self._network.loop.schedule(0, self.process, self._resolve, number, result)

    def _resolve(self, number: int, result: Result) -> None:
        future = self._pending_calls.pop(number, None)
        if future is not None and not future.done():
            future.set_result(result)
