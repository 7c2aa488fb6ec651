"""Clients of keyed operations, which repeat keys after failures, successes, and near the window's end."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING, Any

from lapisgrade.lab.simulation.operations.exchange import REQUEST_DEADLINE_MS, Exchange
from lapisgrade.lab.simulation.operations.history import OK, Answer, OperationId, Try
from lapisgrade.lab.simulation.operations.proxy import KeyedProxyMachine
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, SECOND, Process

if TYPE_CHECKING:
    from lapisgrade.lab.simulation.operations.simulation import KeyedSimulation

TENANTS = ("ana", "ben")
ANSWER_TIMEOUT_S = REQUEST_DEADLINE_MS / 1000 + 0.2  # a client waits a little beyond its request's deadline
MAX_TRIES = 5  # maximum number of consecutive tries of an operation
MAX_PAUSE_S = 0.8  # maximum pause before a repeated try
REPEAT_AFTER_SUCCESS_RATE = 0.4  # fraction of successes after which the operation is tried again
SAME_PROXY_RATE = 0.3  # fraction of repeated tries that go to the same proxy
CONCURRENT_TRIES_RATE = 0.1  # fraction of operations whose first two tries are sent concurrently
DISCONNECT_RATE = 0.08  # fraction of tries whose client disconnects before the response
MAX_TIME_TO_DISCONNECT_S = 0.3  # maximum time from the send of such a try to the disconnect
OTHER_BODY_RATE = 0.05  # fraction of tries whose body differs from the others with their key
SHARED_KEY_RATE = 0.15  # fraction of keys that both tenants use
# Times of late repeats since the first try, as fractions of the window.
LATE_REPEAT_TIMES = (0.5, 0.9, 0.97, 0.998, 1.02, 1.3)


def api_key_of(tenant: str) -> str:
    """Return the API key of a tenant's clients."""
    return f"key-of-{tenant}"


class KeyedClients:
    """All clients, on hosts that no fault affects.

    Attributes:
        keys_per_second: Rate of new operations.
        late_repeat_rate: Fraction of operations that are repeated near the end of the window.
        is_open: Whether new operations start, and late repeats are sent.
    """

    def __init__(self, simulation: "KeyedSimulation", random: Random) -> None:
        self.simulation = simulation
        self.loop = simulation.loop
        self.random = random
        self.process: Process = simulation.client_process
        self.keys_per_second = 6.0
        self.late_repeat_rate = 0.0
        self.is_open = True
        self._exchanges: dict[str, Exchange] = {}  # by try
        self._key_count = 0
        self._try_count = 0

    def start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task in the clients' process."""
        token = CURRENT_PROCESS.set(self.process)
        try:
            return self.loop.create_task(work)
        finally:
            CURRENT_PROCESS.reset(token)

    async def run(self) -> None:
        """Start operations at random intervals."""
        while self.is_open:
            await asyncio.sleep(self.random.expovariate(self.keys_per_second))
            key = self.new_key()
            is_shared = self.random.random() < SHARED_KEY_RATE
            for tenant in TENANTS if is_shared else [self.random.choice(TENANTS)]:
                self.start_task(self._operate((tenant, key)))

    def new_key(self) -> str:
        """Return an unused key."""
        self._key_count += 1
        return f"k-{self._key_count}"

    def repeat_recent(self, count: int) -> None:
        """Repeat the `count` most recent operations, each after a random delay."""
        recent = list(
            dict.fromkeys(each.operation for each in self.simulation.operation_history.tries.values())
        )
        for operation in recent[-count:]:
            self.start_task(self._repeat_soon(operation))

    async def _repeat_soon(self, operation: OperationId) -> None:
        await asyncio.sleep(2 * MAX_PAUSE_S * self.random.random())
        await self.send(operation, self.random.choice(self.simulation.proxy_machines))

    async def send_concurrently(self, operation: OperationId, count: int) -> None:
        """Send `count` concurrent tries of one operation to random proxies."""
        tries = [
            self.send(operation, self.random.choice(self.simulation.proxy_machines)) for _ in range(count)
        ]
        await asyncio.gather(*tries)

    async def _operate(self, operation: OperationId) -> None:
        """Send at most `MAX_TRIES` tries of an operation, until one succeeds and sometimes beyond."""
        first_sent_us = self.loop.now_us
        machine = self.random.choice(self.simulation.proxy_machines)
        if self.random.random() < CONCURRENT_TRIES_RATE:
            self.start_task(self.send(operation, self.random.choice(self.simulation.proxy_machines)))
        for _ in range(MAX_TRIES):
            answer = await self.send(operation, machine)
            is_served = answer is not None and answer.status == OK
            if is_served and self.random.random() > REPEAT_AFTER_SUCCESS_RATE:
                break
            await asyncio.sleep(MAX_PAUSE_S * self.random.random() ** 2)
            if self.random.random() > SAME_PROXY_RATE:
                machine = self.random.choice(self.simulation.proxy_machines)
        if self.random.random() < self.late_repeat_rate:
            await self._repeat_late(operation, first_sent_us)

    async def _repeat_late(self, operation: OperationId, first_sent_us: int) -> None:
        """Send a try at one of `LATE_REPEAT_TIMES` after the first one."""
        window_fraction = self.random.choice(LATE_REPEAT_TIMES)
        due_us = first_sent_us + round(window_fraction * self.simulation.operation_history.window_us)
        await asyncio.sleep(max(0, due_us - self.loop.now_us) / SECOND)
        if self.is_open:
            await self.send(operation, self.random.choice(self.simulation.proxy_machines))

    def is_alive(self, try_id: str) -> bool:
        """Whether the proxy process that received a try is still running."""
        process = self._exchanges[try_id].process
        return process is not None and process.is_alive

    async def send(
        self, operation: OperationId, machine: KeyedProxyMachine, may_disconnect: bool = True
    ) -> Answer | None:
        """Send one try; return its response, or None on a time-out, disconnect or broken connection."""
        self._try_count += 1
        is_changed = self.random.random() < OTHER_BODY_RATE
        body = f"order {operation[1]}{' in blue' if is_changed else ''}".encode()
        sent = Try(operation, f"try-{self._try_count}", self.loop.now_us, body)
        history = self.simulation.operation_history
        history.on_sent(sent)
        exchange = Exchange(self.loop, machine, sent, api_key_of(operation[0]))
        self._exchanges[sent.try_id] = exchange
        disconnects = may_disconnect and self.random.random() < DISCONNECT_RATE
        timeout_s = MAX_TIME_TO_DISCONNECT_S * self.random.random() if disconnects else ANSWER_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                answer = await asyncio.shield(exchange.answer)
        except TimeoutError:
            exchange.disconnect()
            return None
        if answer is not None:
            history.on_answer(sent, answer)
        return answer
