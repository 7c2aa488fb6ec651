"""After a burst of users, requests get no answer at all: more than 1,024 descriptors were in use.

Users send requests to one machine at a steady rate, each on a new connection. Each request takes three
seconds at its server. For 3.5 s there are 1.8 times as many users. The machine has 4,100 descriptors, the
servers have slots for all, and no process and no link is in trouble.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stand_ins
from stand_ins import Fleet, Record

RATE_PER_S = 105
BURST_X = 1.8
BURST_AT_S = 5.0
BURST_S = 3.5
LENGTH_S = 16.0
SERVERS = 10
SLOTS = 120
WORK_S = 3.0
TIMEOUT_S = 5.0  # of the route
DEADLINE_S = 7.0  # of the clients
ANSWER_DUE_S = 0.5  # after the route's time-out, by the rule
MIN_UNANSWERED = 8  # by the rule
FRONT = "edge-4"


class Case:
    """One run of the case."""

    def __init__(self, record: Record, has_trouble: bool) -> None:
        self.record = record
        self.has_trouble = has_trouble
        self.fleet = Fleet(record, 5, descriptors=4100)
        self.answers: Counter[int] = Counter()
        self.open_at_timeout = 0  # requests without an answer at the route's time-out
        self.open_later = 0  # those of them without an answer ANSWER_DUE_S later

    async def run(self) -> int:
        """Run and judge."""
        fleet = self.fleet
        for _ in range(SERVERS):
            fleet.add_server("reports", WORK_S, SLOTS)
        route = stand_ins.route("report", "/report/", "reports", timeout_ms=int(TIMEOUT_S * 1000))
        route["Target_time"] = "4000ms"
        try:
            await fleet.start_all(stand_ins.configuration([route], ["reports"]))
            await self._load()
        finally:
            fleet.close()
        self.record.write(
            f"result: answers by status, 0 for none: {dict(self.answers)}; open at the route's time-out:"
            f" {self.open_at_timeout}; of these still open {ANSWER_DUE_S} s later: {self.open_later}"
        )
        if self.answers[200] < RATE_PER_S:
            return stand_ins.NOT_RUN
        is_broken = self.open_later >= MIN_UNANSWERED and 2 * self.open_later > self.open_at_timeout
        return stand_ins.BROKEN if is_broken else stand_ins.HELD

    async def _load(self) -> None:
        loop = asyncio.get_running_loop()
        start, number = loop.time(), 0
        due_s = 0.0
        async with asyncio.TaskGroup() as tasks:
            while due_s < LENGTH_S:
                tasks.create_task(self._ask(number))
                number += 1
                in_burst = self.has_trouble and BURST_AT_S <= due_s < BURST_AT_S + BURST_S
                due_s += 1 / (RATE_PER_S * (BURST_X if in_burst else 1.0))
                await asyncio.sleep(max(0.0, start + due_s - loop.time()))

    async def _ask(self, number: int) -> None:
        try_id = f"try-{number}"
        headers = {"Host": "a.example", "Try-Id": try_id, "Deadline-Ms": str(int(DEADLINE_S * 1000))}
        sent = self.record.now()
        reply = await self.fleet.request(FRONT, "GET", "/report/x", headers, timeout_s=DEADLINE_S)
        took_s = self.record.now() - sent
        self.answers[reply.status] += 1
        self.open_at_timeout += took_s > TIMEOUT_S
        self.open_later += took_s > TIMEOUT_S + ANSWER_DUE_S
        answer = f"{reply.status} after {took_s:.2f} s" if reply.status else f"no answer in {took_s:.2f} s"
        self.record.write(f"client: {try_id} sent at {sent:.3f}: {answer}")


async def run(record: Record, has_trouble: bool) -> int:
    """Run the case."""
    return await Case(record, has_trouble).run()


if __name__ == "__main__":
    stand_ins.run_case(Path(__file__).resolve().parent, run)
