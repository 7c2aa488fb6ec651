"""The clients of a run, in a process of their own: `python -m lapisgrade.lab.fleet.load`, run by commands.

Open loop: each operation goes out when it is due, whatever became of those before. A customer's operations go
to the limiters of its set alone (`spread` from number `first` on), drawn evenly; one turned back comes again
once, as told (`retry_share` of them); one whose limiter could not be reached, or died over it, comes again at
another of the set, where its category allows that. Every try is written to the history.
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

MAX_ATTEMPTS = 4  # of one operation, whatever becomes of them
# a limiter that could not be reached is passed over for so long, while others of the set are not
AVOIDED_S = 0.5
DEFAULT_RETRY_DELAY_S = 0.1  # one turned back without advice comes again after this
OUTCOMES = {200: "finished", 429: "turned back", 503: "turned back", 0: "broken", -1: "none"}


@dataclass(frozen=True, slots=True)
class Due:
    """One operation of the schedule, with the customer's set."""

    planned: PlannedOperation
    category: Category
    first: int


def schedule(scenario: scenarios.Scenario) -> list[Due]:
    """Everything that clients will ask, from the scenario's seed alone: its rate, surges, customers and
    shares."""
    random = Random(scenario.seed)
    customers = scenario.customer_table(random.getrandbits(64))
    surges = [each for each in scenario.faults if each.kind == "surge"]
    made, at = [], 0.0
    while True:
        rate = scenario.rate
        for each in surges:
            over = each.at_us + (each.duration_us or scenario.seconds_us)
            rate *= each.factor if each.at_us <= at < over else 1.0
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
        made.append(Due(planned, category, customer.first))


class Clients(client.Client):
    """The load tool, with customers that keep to their sets and a history of every attempt."""

    def __init__(
        self, targets: list[tuple[str, int]], scenario: scenarios.Scenario, writer: h.Writer
    ) -> None:
        super().__init__(targets, scenario.seed)
        self.scenario, self.writer = scenario, writer
        self.spread = min(scenario.spread, scenario.limiters)
        self._avoided_until = [0.0] * len(targets)

    async def play(self, dues: list[Due], start_us: int) -> None:
        """Everything at its time after `start_us` (monotonic us); ends when every try has its end."""
        loop = asyncio.get_running_loop()
        zero = start_us / h.SECOND
        for due in dues:
            if (wait := zero + due.planned.due_us / h.SECOND - loop.time()) > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self._run_attempts(due, start_us + due.planned.due_us))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def which(self, first: int) -> int:
        """A limiter of the set, of those that could be reached of late where there are any."""
        members = [(first + k) % len(self.targets) for k in range(self.spread)]
        now = asyncio.get_running_loop().time()
        return self.chance.choice([each for each in members if self._avoided_until[each] <= now] or members)

    async def _run_attempts(self, due: Due, due_us: int) -> None:
        loop, category = asyncio.get_running_loop(), due.category
        origin = f"{self.chance.getrandbits(64):016x}"
        key = (
            f"{self.chance.getrandbits(128):032x}"
            if category.repeat_safety is RepeatSafety.DEDUPLICATED
            else ""
        )
        number, again = origin, self.chance.random() < self.scenario.retry_share
        for _ in range(MAX_ATTEMPTS):
            which, planned = self.which(due.first), due.planned
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
                limiter=which,
                ends=ends_us,
            )
            self.writer.put(sent)
            left = replace(planned, timeout_us=max(1000, ends_us - sent.at))
            request, body = client.make_request(
                left, number, key, category.repeat_safety is RepeatSafety.IDEMPOTENT, self.spread, due.first
            )
            status, headers = await self.exchange(
                which, request, body, (ends_us + client.GRACE_US) / h.SECOND
            )
            how = OUTCOMES.get(status, "given up")
            advice = float(headers.get("retry-after", 0.0))
            self.writer.put(
                h.AttemptAnswered(at=h.now_us(), op=number, how=how, advice_ms=round(advice * 1000))
            )
            if how == "broken":
                self._avoided_until[which] = loop.time() + AVOIDED_S
                if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
                    return  # it may have run
                if category.repeat_safety is RepeatSafety.DEDUPLICATED and h.now_us() + planned.timeout_us > (
                    due_us + category.deduplication_window_us
                ):
                    return  # its key may be forgotten before the next try ends
            elif how == "turned back" and again:
                again = False
                await asyncio.sleep(max(advice, DEFAULT_RETRY_DELAY_S))
            else:
                return
            number, due_us = f"{self.chance.getrandbits(64):016x}", h.now_us()


class Load:
    """The commands: `open` makes the schedule, `play` plays it and answers at its end."""

    def __init__(self) -> None:
        self.writer: h.Writer | None = None

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        return await getattr(self, f"do_{command.pop('do')}")(**command)

    async def do_open(
        self, history: str, scenario: str, path: str, changes: dict[str, Any], targets: list[str]
    ) -> dict[str, Any]:
        self.scenario = scenarios.override(scenarios.parse(scenario, path), changes)
        self.writer = h.Writer(history)
        where = [(host, int(port)) for host, _, port in (each.rpartition(":") for each in targets)]
        self.clients, self.dues = Clients(where, self.scenario, self.writer), schedule(self.scenario)
        return {"operations": len(self.dues)}

    async def do_play(self, start_us: int) -> dict[str, Any]:
        await self.clients.play(self.dues, start_us)
        self.writer.close()
        return {"resent": self.clients.tally.resent}


if __name__ == "__main__":
    serve_commands(Load().handle)
