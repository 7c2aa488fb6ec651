"""The clients of a run: a process (`python -m lapisgrade.lab.fleet.load`) controlled by commands.

Open loop: each operation is sent when it is due, whether or not earlier ones have ended. A customer's
operations go only to the limiters of its set (`spread` limiters from number `first` on), chosen uniformly. A
share `retry_share` of the rejected operations is retried once, after the delay that the limiter advised. An
operation whose limiter was unreachable or died is retried at another limiter of the set, if its category
allows it. Every attempt is recorded in the history.
"""

import asyncio
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from lapisgrade.interface import Category, RepeatSafety
from lapisgrade.lab.emulator import scenario as scenarios
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet.process import serve_commands
from lapisgrade.lab.load import client
from lapisgrade.lab.load.schedule import PlannedOperation

MAX_ATTEMPTS = 4  # per operation
# Time for which an unreachable limiter is avoided, if another of the set isn't.
AVOIDANCE_S = 0.5
DEFAULT_RETRY_DELAY_S = 0.1  # minimum delay of the retry after a rejection, also without advice
OUTCOMES = {200: "finished", 429: "turned back", 503: "turned back", 0: "broken", -1: "none"}


@dataclass(frozen=True, slots=True)
class ScheduledOperation:
    """An operation of the schedule, with the first limiter of its customer's set."""

    planned: PlannedOperation
    category: Category
    first: int


def schedule(scenario: scenarios.Scenario) -> list[ScheduledOperation]:
    """Return the operations of the run, drawn by the scenario's seed from its rate, surges and shares."""
    random = Random(scenario.seed)
    customers = scenario.customer_table(random.getrandbits(64))
    surges = [each for each in scenario.faults if each.kind == "surge"]
    made, at = [], 0.0
    while True:
        rate = scenario.rate
        for each in surges:
            end_us = each.at_us + (each.duration_us or scenario.seconds_us)
            rate *= each.factor if each.at_us <= at < end_us else 1.0
        at += random.expovariate(rate) * h.SECOND
        if at >= scenario.seconds_us:
            return made
        customer = customers.pick(random)
        category = random.choices(scenario.categories, scenario.category_shares)[0]
        planned = PlannedOperation(
            round(at),
            int(customer.name, 16),
            customer.plan.name,
            category.name,
            random.randint(1, scenario.max_units),
            category.timeout_us,
        )
        made.append(ScheduledOperation(planned, category, customer.first))


class Clients(client.Client):
    """The load tool, extended by limiter sets of customers and a history of all attempts."""

    def __init__(
        self, targets: list[tuple[str, int]], scenario: scenarios.Scenario, writer: h.Writer
    ) -> None:
        super().__init__(targets, scenario.seed)
        self.scenario, self.writer = scenario, writer
        self.spread = min(scenario.spread, scenario.limiters)
        self._avoided_until = [0.0] * len(targets)

    async def play(self, operations: list[ScheduledOperation], start_us: int) -> None:
        """Send all operations, each at its time after `start_us` (monotonic us), and wait for their ends."""
        loop = asyncio.get_running_loop()
        start_s = start_us / h.SECOND
        for due in operations:
            if (wait := start_s + due.planned.due_us / h.SECOND - loop.time()) > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self._run_attempts(due, start_us + due.planned.due_us))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def choose_limiter(self, first: int) -> int:
        """Choose a limiter of the set, preferably one that isn't avoided."""
        members = [(first + k) % len(self.targets) for k in range(self.spread)]
        now = asyncio.get_running_loop().time()
        return self.random.choice([each for each in members if self._avoided_until[each] <= now] or members)

    async def _run_attempts(self, due: ScheduledOperation, due_us: int) -> None:
        loop, category = asyncio.get_running_loop(), due.category
        origin = f"{self.random.getrandbits(64):016x}"
        key = (
            f"{self.random.getrandbits(128):032x}"
            if category.repeat_safety is RepeatSafety.DEDUPLICATED
            else ""
        )
        number, may_retry = origin, self.random.random() < self.scenario.retry_share
        for _ in range(MAX_ATTEMPTS):
            limiter, planned = self.choose_limiter(due.first), due.planned
            ends_us = due_us + planned.timeout_us
            sent = h.AttemptSent(
                at=h.now_us(),
                op=number,
                origin=origin,
                due=due_us,
                customer=f"{planned.customer:016x}",
                plan=planned.plan,
                category=category.name,
                units=planned.units,
                limiter=limiter,
                ends=ends_us,
            )
            self.writer.put(sent)
            left = replace(planned, timeout_us=max(1000, ends_us - sent.at))
            request, body = client.make_request(
                left, number, key, category.repeat_safety is RepeatSafety.IDEMPOTENT, self.spread, due.first
            )
            status, headers = await self.exchange(
                limiter, request, body, (ends_us + client.GRACE_US) / h.SECOND
            )
            how = OUTCOMES.get(status, "given up")
            advice = float(headers.get("retry-after", 0.0))
            self.writer.put(
                h.AttemptAnswered(at=h.now_us(), op=number, how=how, advice_ms=round(advice * 1000))
            )
            if how == "broken":
                self._avoided_until[limiter] = loop.time() + AVOIDANCE_S
                if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
                    return  # it may have run
                if category.repeat_safety is RepeatSafety.DEDUPLICATED and h.now_us() + planned.timeout_us > (
                    due_us + category.deduplication_window_us
                ):
                    return  # its key may be forgotten before the next try ends
            elif how == "turned back" and may_retry:
                may_retry = False
                await asyncio.sleep(max(advice, DEFAULT_RETRY_DELAY_S))
            else:
                return
            number, due_us = f"{self.random.getrandbits(64):016x}", h.now_us()


class Load:
    """The commands: `open` creates the schedule, `play` sends it and replies when it has ended."""

    def __init__(self) -> None:
        self.writer: h.Writer | None = None

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        return await getattr(self, f"do_{command.pop('do')}")(**command)

    async def do_open(
        self, history: str, scenario: str, path: str, changes: dict[str, Any], targets: list[str]
    ) -> dict[str, Any]:
        self.scenario = scenarios.override(scenarios.parse(scenario, path), changes)
        self.writer = h.Writer(history)
        addresses = [(host, int(port)) for host, _, port in (each.rpartition(":") for each in targets)]
        self.clients, self.operations = (
            Clients(addresses, self.scenario, self.writer),
            schedule(self.scenario),
        )
        return {"operations": len(self.operations)}

    async def do_play(self, start_us: int) -> dict[str, Any]:
        await self.clients.play(self.operations, start_us)
        self.writer.close()
        return {"resent": self.clients.tally.resent}


if __name__ == "__main__":
    serve_commands(Load().handle)
