"""When a request goes to a second server beside the first: inside its aim where that is of use, within the
retry budget, and never where it may run once."""

import unittest
from dataclasses import dataclass
from typing import Any

import msgspec

from lapisgrade.gateway import SECOND, configuration, registry
from lapisgrade.gateway.configuration import Table
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import (
    AttemptFinished,
    AttemptOutcome,
    AttemptResult,
    Clock,
    Send,
    Sleep,
    WakeReason,
)

MS = 1_000
USUAL, AIM = 380 * MS, 1204 * MS  # a live script pull's


@dataclass
class Request:
    """One that is being served, played by hand."""

    router: Router
    generator: Any
    sent: list[str]
    yielded: Any = None

    def go_on(self, word: Any) -> None:
        """Up to its next wait or its end."""
        self.yielded = self.generator.send(word)
        while isinstance(self.yielded, Send):
            self.sent.append(self.yielded.attempt.server.address)
            self.yielded = self.generator.send(None)

    def sleep(self) -> int:
        """Until the time that it waits for, in us."""
        self.router.clock.now_us = self.yielded.until_us
        self.go_on(WakeReason.TIMER)
        return self.router.clock.now_us


class Hedging(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock(100 * SECOND)
        self.router = Router(self.clock, 1, Slo(), "z", "c")
        self.router.started_us = 0
        for name in ("s1", "s2", "s3"):
            self.router.update_servers(
                [registry.Server(name, "a", f"10.0.0.1:{name[1]}", "z", 4, "up", 1)], False
            )
        for _ in range(60):
            self.router.cluster("a").latency("r", AIM).add(self.clock.now_us, USUAL, 1.0)
            self.router.cluster("a").overall_latency.add(self.clock.now_us, USUAL, 1.0)
            self.router.retry_budget("a").on_request(self.clock.now_us)

    def request(self, mode: str = "idem", arrived_ago_us: int = 0, aim_us: int = AIM) -> Request:
        action = {"Svc": "a", "Timeout": "3s", "Tries": 3}
        rule = {"Name": "r", "Match": {"Pfx": "/"}, "Action": action, "Mode": mode,
                "Target_time": f"{aim_us // MS}ms"}  # fmt: skip
        conf = {"Ver": 1, "Ports": [{"Vhost": "h", "Policy": [rule]}], "Pools": [{"Name": "a"}]}
        table = Table(configuration.read(msgspec.json.decode(msgspec.json.encode(conf))))
        found = table.entry("h", "/x", "")[0]
        now = self.clock.now_us
        operation = RoutedRequest(
            customer="", arrived_us=now - arrived_ago_us,
            deadline_us=now + 3 * SECOND, rule=found, tenant=None, service="a", handle=None,
        )  # fmt: skip
        made = Request(self.router, self.router.serve(operation), [])
        made.go_on(None)
        return made

    def test_the_second_answer_can_come_inside_the_aim(self) -> None:
        began, one = self.clock.now_us, self.request()
        at = one.sleep() - began
        self.assertEqual(len(set(one.sent)), 2)
        self.assertGreater(at, 1.5 * USUAL)  # most requests end before
        self.assertLess(at + 1.2 * USUAL, AIM)

    def test_one_that_can_t_be_inside_its_aim_any_more_waits_until_it_is_overdue(self) -> None:
        began, one = self.clock.now_us, self.request(arrived_ago_us=800 * MS)
        self.assertGreaterEqual(one.sleep() - began, 2.5 * USUAL)
        self.assertEqual(len(one.sent), 2)

    def test_what_may_run_once_is_never_at_two_servers(self) -> None:
        one = self.request(mode="mutate")
        self.assertIsInstance(one.yielded, Sleep)
        self.assertGreaterEqual(one.yielded.until_us, self.clock.now_us + 2 * SECOND)
        self.assertEqual(len(one.sent), 1)

    def test_an_early_one_leaves_half_of_the_budget_to_retries(self) -> None:
        budget = self.router.retry_budget("a")
        while budget.try_spend(self.clock.now_us, is_early_hedge=True):
            pass
        self.assertGreater(budget.available(self.clock.now_us), 4)
        one = self.request()
        one.sleep()
        self.assertEqual(len(one.sent), 1)
        one.sleep()  # overdue: now it is what the budget is for
        self.assertEqual(len(one.sent), 2)

    def test_an_early_one_does_not_queue_at_a_server_whose_slots_are_taken(self) -> None:
        fillers = [self.request(mode="mutate") for _ in range(12)]
        self.assertEqual(sum(len(each.sent) for each in fillers), 12)
        one = self.request()
        one.sleep()
        self.assertEqual(len(one.sent), 1)

    def test_the_first_answer_ends_it(self) -> None:
        one = self.request()
        one.sleep()
        server = self.router.cluster("a").servers[one.sent[1]]
        hop = next(iter(server.out))
        with self.assertRaises(StopIteration):
            report = AttemptResult(AttemptOutcome.OK, USUAL)
            report.is_final = True
            self.router.landed(hop, report)
            one.go_on(AttemptFinished(hop, report))


if __name__ == "__main__":
    unittest.main()
