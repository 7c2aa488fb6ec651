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
# After a failed connection, the limiter is avoided for this time if its set has others that aren't.
AVOIDANCE_S = 0.5
DEFAULT_RETRY_DELAY_S = 0.1  # minimum delay of the retry after a rejection, also without advice
# Outcome of an attempt by status; 0 is a failed connection, -1 no answer, and all others are "given up".
OUTCOMES = {200: "finished", 429: "turned back", 503: "turned back", 0: "broken", -1: "none"}


@dataclass(frozen=True, slots=True)
class ScheduledOperation:
    """An operation of the schedule.

    Attributes:
        planned: The operation, with its due time in us from the start of the run.
        category: Category of the operation.
        first: Index of the first limiter of its customer's set.
    """

    planned: PlannedOperation
    category: Category
    first: int


def schedule(scenario: scenarios.Scenario) -> list[ScheduledOperation]:
    """Return the operations of the run in order of time.

    They are drawn with the scenario's seed alone, from its rate, surges, customers and shares.
    """
    random = Random(scenario.seed)
    customers = scenario.customer_table(random.getrandbits(64))
    surges = [each for each in scenario.faults if each.kind == "surge"]
    operations, due_us = [], 0.0
    while True:
        rate = scenario.rate
        for surge in surges:
            end_us = surge.at_us + (surge.duration_us or scenario.seconds_us)
            rate *= surge.factor if surge.at_us <= due_us < end_us else 1.0
        due_us += random.expovariate(rate) * h.SECOND
        if due_us >= scenario.seconds_us:
            return operations
        customer = customers.pick(random)
        category = random.choices(scenario.categories, scenario.category_shares)[0]
        planned = PlannedOperation(
            round(due_us),
            int(customer.name, 16),
            customer.plan.name,
            category.name,
            random.randint(1, scenario.max_units),
            category.timeout_us,
        )
        operations.append(ScheduledOperation(planned, category, customer.first))


class Clients(client.Client):
    """The load tool, extended by limiter sets of customers and a history of all attempts.

    Attributes:
        scenario: Scenario that is run.
        writer: Writer of the history.
        spread: Number of limiters in a customer's set.
    """

    def __init__(
        self, targets: list[tuple[str, int]], scenario: scenarios.Scenario, writer: h.Writer
    ) -> None:
        """Create the clients of the limiters at the addresses `targets`, by index."""
        super().__init__(targets, scenario.seed)
        self.scenario, self.writer = scenario, writer
        self.spread = min(scenario.spread, scenario.limiters)
        self._avoided_until_s = [0.0] * len(targets)  # by limiter, in the event loop's time

    async def play(self, operations: list[ScheduledOperation], start_us: int) -> None:
        """Send all operations, each at its time after `start_us` (monotonic us), and wait for their ends."""
        loop = asyncio.get_running_loop()
        start_s = start_us / h.SECOND
        for operation in operations:
            if (wait_s := start_s + operation.planned.due_us / h.SECOND - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._run_attempts(operation, start_us + operation.planned.due_us))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def choose_limiter(self, first: int) -> int:
        """Choose a limiter of the set that begins with number `first`, preferably one that isn't avoided."""
        members = [(first + k) % len(self.targets) for k in range(self.spread)]
        now_s = asyncio.get_running_loop().time()
        return self.random.choice(
            [each for each in members if self._avoided_until_s[each] <= now_s] or members
        )

    async def _run_attempts(self, operation: ScheduledOperation, due_us: int) -> None:
        """Send an operation that is due at `due_us` (monotonic us), and retry it as the module says."""
        loop, category = asyncio.get_running_loop(), operation.category
        origin = f"{self.random.getrandbits(64):016x}"
        key = (
            f"{self.random.getrandbits(128):032x}"
            if category.repeat_safety is RepeatSafety.DEDUPLICATED
            else ""
        )
        attempt_id, may_retry = origin, self.random.random() < self.scenario.retry_share
        for _ in range(MAX_ATTEMPTS):
            limiter, planned = self.choose_limiter(operation.first), operation.planned
            ends_us = due_us + planned.timeout_us
            sent = h.AttemptSent(
                at=h.now_us(),
                op=attempt_id,
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
            # The request states the time that is left, at least 1 ms.
            remaining = replace(planned, timeout_us=max(1000, ends_us - sent.at))
            request, body = client.make_request(
                remaining,
                attempt_id,
                key,
                category.repeat_safety is RepeatSafety.IDEMPOTENT,
                self.spread,
                operation.first,
            )
            status, headers = await self.exchange(
                limiter, request, body, (ends_us + client.GRACE_US) / h.SECOND
            )
            how = OUTCOMES.get(status, "given up")
            advice_s = float(headers.get("retry-after", 0.0))
            self.writer.put(
                h.AttemptAnswered(at=h.now_us(), op=attempt_id, how=how, advice_ms=round(advice_s * 1000))
            )
            if how == "broken":
                self._avoided_until_s[limiter] = loop.time() + AVOIDANCE_S
                if category.repeat_safety is RepeatSafety.NON_IDEMPOTENT:
                    return  # it may have run
                if category.repeat_safety is RepeatSafety.DEDUPLICATED and h.now_us() + planned.timeout_us > (
                    due_us + category.deduplication_window_us
                ):
                    return  # its key may expire before the next attempt ends, and the operation run again
            elif how == "turned back" and may_retry:
                may_retry = False
                await asyncio.sleep(max(advice_s, DEFAULT_RETRY_DELAY_S))
            else:
                return
            attempt_id, due_us = f"{self.random.getrandbits(64):016x}", h.now_us()


class Load:
    """The commands: `open` creates the schedule, `play` sends it and replies when it has ended.

    Each method `do_NAME` runs the command NAME with the command's fields, and returns the reply.

    Attributes:
        writer: Writer of the history; None before the command `open`.
    """

    def __init__(self) -> None:
        """Create no clients; the command `open` does."""
        self.writer: h.Writer | None = None

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Run the command whose name is in the field `do`; return its reply."""
        return await getattr(self, f"do_{command.pop('do')}")(**command)

    async def do_open(
        self, history: str, scenario: str, path: str, changes: dict[str, Any], targets: list[str]
    ) -> dict[str, Any]:
        """Create the clients and the schedule; reply with the number of operations.

        Args:
            history: File of the history.
            scenario: Text of the scenario's file.
            path: Path of that file, for messages.
            changes: Fields of the scenario that are set to other values; None to keep a field.
            targets: Addresses of the limiters, by index.

        Raises:
            ScenarioError: The scenario is invalid.
        """
        self.scenario = scenarios.override(scenarios.parse(scenario, path), changes)
        self.writer = h.Writer(history)
        addresses = [(host, int(port)) for host, _, port in (each.rpartition(":") for each in targets)]
        self.clients, self.operations = (
            Clients(addresses, self.scenario, self.writer),
            schedule(self.scenario),
        )
        return {"operations": len(self.operations)}

    async def do_play(self, start_us: int) -> dict[str, Any]:
        """Send the schedule from `start_us` on (monotonic us); reply, at its end, with the number of resends.

        A resend is a request that was sent again since an idle connection closed when it was sent.
        """
        await self.clients.play(self.operations, start_us)
        self.writer.close()
        return {"resent": self.clients.tally.resent}


if __name__ == "__main__":
    serve_commands(Load().handle)
