"""The network between simulated processes: delay, loss, duplicates, one-way partitions, slow links.

Every message is encoded and decoded, so processes never share an object. Unlike with TCP, messages may be
reordered and duplicated, so that the checks cover more than TCP allows.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.lab.simulation.virtual_loop import SECOND, Process, VirtualLoop

MIN_DELAY_US = 300  # one-way delay between hosts
MAX_DELAY_US = 5_000
LOSS_RATE = 0.01
DUPLICATE_RATE = 0.01
RETRANSMIT_RATE = 0.5  # fraction of messages on a blocked link that are retransmitted if it is unblocked soon
MAX_RETRANSMIT_US = 1_500_000  # maximum age of a message at its retransmission
MAX_LATE_DUPLICATE_US = 30_000_000  # maximum delay of a late duplicate

Address = tuple[str, int]
OnCall = Callable[[Any], Awaitable[Any]]
OnMessage = Callable[[Any], None]


class Network:
    """Links between hosts.

    Attributes:
        blocked_links: Pairs of hosts of which the first can't reach the second.
        bytes_per_second: Outbound bandwidth by host, for hosts with a limit.
        extra_delay_us: Additional delay by source and destination.
        listening: Endpoints by address.
        loss_rate: Fraction of messages between hosts that are lost.
        late_duplicate_rate: Fraction of messages that are delivered again, up to 30 s later.
        bytes_sent: Size of all messages sent so far.
    """

    def __init__(self, loop: VirtualLoop, message_type: Any) -> None:
        """Create a network.

        Args:
            loop: The loop in whose time messages are delivered.
            message_type: Union of the types of all messages.
        """
        self.loop = loop
        self.random = loop.random
        self.blocked_links: set[tuple[str, str]] = set()
        self.bytes_per_second: dict[str, float] = {}
        self.extra_delay_us: dict[tuple[str, str], int] = {}
        self.loss_rate = LOSS_RATE
        self.late_duplicate_rate = 0.0
        self.bytes_sent = 0
        self._link_free_us: dict[str, int] = {}  # end of the last transfer out of each host with a limit
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self.listening: dict[Address, Endpoint] = {}
        self._delayed: list[tuple[int, Callable[[], None]]] = []  # time sent (us) and delivery

    def transmit(self, source: str, destination: str, message: Any, deliver: Callable[[Any], None]) -> None:
        """Transmit a message from one host to another, unless it is lost."""
        data = self._encoder.encode(message)
        self.bytes_sent += len(data)

        def arrive() -> None:
            deliver(self._decoder.decode(data))

        if (source, destination) in self.blocked_links:
            if self.random.random() < RETRANSMIT_RATE:
                self._delayed.append((self.loop.now_us, arrive))
            return
        if source != destination and self.random.random() < self.loss_rate:
            return
        for _ in range(1 + (self.random.random() < DUPLICATE_RATE)):
            transfer_us = self._transfer_us(source, len(data))
            delay_us = transfer_us + self.extra_delay_us.get((source, destination), 0)
            self.loop.schedule(delay_us, None, arrive)
        if self.late_duplicate_rate and self.random.random() < self.late_duplicate_rate:
            self.loop.schedule(self.random.randrange(MAX_LATE_DUPLICATE_US), None, arrive)

    def _transfer_us(self, source: str, size: int) -> int:
        """Return the time until a message of `size` bytes arrives, including its wait for a slow link."""
        delay_us = self.random.randrange(MIN_DELAY_US, MAX_DELAY_US)
        bytes_per_second = self.bytes_per_second.get(source)
        if bytes_per_second is None:
            return delay_us
        start_us = max(self.loop.now_us, self._link_free_us.get(source, 0))
        self._link_free_us[source] = start_us + round(size / bytes_per_second * SECOND)
        return self._link_free_us[source] - self.loop.now_us + delay_us

    def heal(self) -> None:
        """Unblock all links, and deliver the recent messages that TCP would retransmit."""
        self.blocked_links = set()
        delayed, self._delayed = self._delayed, []
        for sent_us, arrive in delayed:
            if self.loop.now_us - sent_us < MAX_RETRANSMIT_US:
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
        self._last_call_number = 0
        self._pending_calls: dict[int, asyncio.Future] = {}

    async def listen(self, address: Address) -> None:
        """Receive messages and calls at that address."""
        self._address = (address[0], address[1])
        self._network.listening[self._address] = self

    def close(self) -> None:
        """Release the address."""
        if self._address is not None and self._network.listening.get(self._address) is self:
            del self._network.listening[self._address]

    def post(self, address: Address, message: Any) -> None:
        """Send a message that has no reply."""
        self._network.transmit(
            self.host, address[0], message, lambda decoded: self._deliver_message(address, decoded)
        )

    def _deliver_message(self, address: Address, message: Any) -> None:
        receiver = self._network.listening.get((address[0], address[1]))
        if receiver is not None and receiver.process.is_alive:
            self._network.loop.schedule(0, receiver.process, receiver.on_message, message)

    async def call(self, address: Address, message: Any, timeout_s: float) -> Result[Any, CallFailure]:
        """Make a call as `gateway.rpc.RpcEndpoint.call` does."""
        self._last_call_number += 1
        call_number = self._last_call_number
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[call_number] = future
        self._network.transmit(
            self.host, address[0], message, lambda decoded: self._deliver_call(address, call_number, decoded)
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return Failure(CallFailure.MAY_HAVE_RUN)
        finally:
            self._pending_calls.pop(call_number, None)

    def _deliver_call(self, address: Address, call_number: int, message: Any) -> None:
        receiver = self._network.listening.get((address[0], address[1]))
        if receiver is None or not receiver.process.is_alive:
            return self._refuse_call(address[0], call_number, Failure(CallFailure.NOT_RUN))
        loop = self._network.loop
        loop.schedule(
            0, receiver.process, lambda: loop.create_task(receiver.handle_call(self, call_number, message))
        )

    async def handle_call(self, caller: "Endpoint", call_number: int, message: Any) -> None:
        """Handle a call, and send its reply to the caller."""
        reply = await self.on_call(message)
        if reply is not None:
            self._network.transmit(
                self.host,
                caller.host,
                reply,
                lambda decoded: caller.deliver_reply(call_number, Success(decoded)),
            )

    def _refuse_call(self, source: str, call_number: int, result: Result) -> None:
        """Resolve this caller's call as refused by the host `source`, after the minimum network delay."""
        if (source, self.host) not in self._network.blocked_links:
            self._network.loop.schedule(MIN_DELAY_US, None, self.deliver_reply, call_number, result)

    def deliver_reply(self, call_number: int, result: Result) -> None:
        """Resolve the pending call with that number in the caller's process."""
        if self.process.is_alive:
            self._network.loop.schedule(0, self.process, self._resolve, call_number, result)

    def _resolve(self, call_number: int, result: Result) -> None:
        future = self._pending_calls.pop(call_number, None)
        if future is not None and not future.done():
            future.set_result(result)
