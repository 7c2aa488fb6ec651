"""Attempts of one request: queueing, hedging, retries and failures."""

from dataclasses import dataclass
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from lapisgrade.gateway import SECOND, configuration, registry
from lapisgrade.gateway.routing.quota_grant import QuotaGrant
from lapisgrade.gateway.routing.request import RoutedRequest
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import (
    AttemptFinished,
    AttemptOutcome,
    AttemptResult,
    Clock,
    RejectReason,
    Send,
    Sleep,
    WakeReason,
)

MS = 1_000
USUAL_US, TARGET_US = 380 * MS, 1204 * MS  # mean latency and target time of a live script pull's route


@dataclass
class ServedRequest:
    """A request that is being served, driven by the test in place of the engine."""

    router: Router
    generator: Any
    sent: list[str]  # ids of the servers of its attempts, in order
    yielded: Any = None  # the sleep or response that it yielded last
    attempt: Any = None  # the latest attempt

    def resume(self, event: Any) -> None:
        """Resume the request until it sleeps, responds or finishes."""
        self.yielded = self.generator.send(event)
        while isinstance(self.yielded, Send):
            self.attempt = self.yielded.attempt
            self.sent.append(self.attempt.server.address)
            self.yielded = self.generator.send(None)

    def finish(self, outcome: AttemptOutcome) -> None:
        """Finish the latest attempt with this outcome and resume the request."""
        result = AttemptResult(outcome, 2 * MS)
        self.router.on_attempt_finished(self.attempt, result)
        self.resume(AttemptFinished(self.attempt, result))

    def sleep(self) -> int:
        """Advance the clock to the end of the sleep, resume the request, and return the time in us."""
        self.router.clock.now_us = self.yielded.until_us
        self.resume(WakeReason.TIMER)
        return self.router.clock.now_us


class RouterScenario:
    """A router with three servers and a retry budget, on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = Clock(100 * SECOND)
        self.router = Router(self.clock, 1, Slo(), "z", "c")
        self.router.started_us = 0
        for name in ("s1", "s2", "s3"):
            self.router.update_servers(
                [registry.Server(name, "a", f"10.0.0.1:{name[1]}", "z", 4, "up", 1)], False
            )
        for _ in range(60):
            self.router.cluster("a").latency(self.clock.now_us, "r").add(self.clock.now_us, USUAL_US, 1.0)
            self.router.cluster("a").overall_latency.add(self.clock.now_us, USUAL_US, 1.0)
            self.router.retry_budget("a").on_request(self.clock.now_us)

    def request(
        self,
        mode: str = "idem",
        arrived_ago_us: int = 0,
        target_us: int = TARGET_US,
        time_left_us: int = 3 * SECOND,
        grant: Any = None,
    ) -> ServedRequest:
        """Start to serve a request that arrived `arrived_ago_us` ago on a route of this mode."""
        action = {"Svc": "a", "Timeout": "3s", "Tries": 3}
        rule_fields = {"Name": "r", "Match": {"Pfx": "/"}, "Action": action, "Mode": mode,
                       "Target_time": f"{target_us // MS}ms"}  # fmt: skip
        conf = {"Ver": 1, "Ports": [{"Vhost": "h", "Policy": [rule_fields]}], "Pools": [{"Name": "a"}]}
        table = RouteTable(configuration.read(msgspec.json.decode(msgspec.json.encode(conf))))
        rule = table.match("h", "/x", "")[0]
        now_us = self.clock.now_us
        request = RoutedRequest(
            customer="", arrived_us=now_us - arrived_ago_us,
            deadline_us=now_us + time_left_us, rule=rule, tenant=None, service="a", handle=None,
        )  # fmt: skip
        served_request = ServedRequest(self.router, self.router.serve(request, grant), [])
        served_request.resume(None)
        return served_request


@pytest.fixture
def scenario() -> RouterScenario:
    return RouterScenario()


@pytest.mark.parametrize("target_us", [200 * MS, TARGET_US, 8 * SECOND])
@pytest.mark.parametrize("arrived_ago_us", [0, 800 * MS])
def test_a_hedge_starts_when_nearly_all_attempts_have_ended_whatever_the_target_time(
    scenario: RouterScenario, target_us: int, arrived_ago_us: int
) -> None:
    started_us = scenario.clock.now_us
    usual_us = scenario.router.cluster("a").latency(started_us, "r").mean(started_us)
    served_request = scenario.request(target_us=target_us, arrived_ago_us=arrived_ago_us)
    hedge_after_us = served_request.sleep() - started_us
    assert len(set(served_request.sent)) == 2
    # The mean and two deviations; a deviation is at least half of the mean, and hardly more here.
    assert 2 * usual_us - 1 <= hedge_after_us < 2.2 * usual_us


def test_a_route_without_responses_is_hedged_after_half_of_the_callers_time(
    scenario: RouterScenario,
) -> None:
    scenario.clock.now_us += 600 * SECOND  # all earlier responses are forgotten
    started_us, served_request = scenario.clock.now_us, scenario.request()
    assert served_request.sleep() - started_us == 3 * SECOND // 2
    assert len(served_request.sent) == 2


def test_a_hedge_that_cannot_answer_in_the_callers_time_is_not_sent(scenario: RouterScenario) -> None:
    served_request = scenario.request(time_left_us=int(2.5 * USUAL_US))
    while isinstance(served_request.yielded, Sleep):
        served_request.sleep()
    assert (len(served_request.sent), served_request.yielded.status) == (1, 504)


def test_a_non_idempotent_request_is_never_hedged(scenario: RouterScenario) -> None:
    served_request = scenario.request(mode="mutate")
    assert isinstance(served_request.yielded, Sleep)
    assert served_request.yielded.until_us >= scenario.clock.now_us + 2 * SECOND
    assert len(served_request.sent) == 1


def test_an_early_hedge_leaves_half_of_the_budget_to_retries(scenario: RouterScenario) -> None:
    budget = scenario.router.retry_budget("a")
    while budget.try_spend(scenario.clock.now_us, is_early_hedge=True):
        pass
    assert budget.available(scenario.clock.now_us) > 4
    served_request = scenario.request()
    served_request.sleep()
    assert len(served_request.sent) == 1
    served_request.sleep()  # overdue, so the hedge may use the whole budget
    assert len(served_request.sent) == 2


def test_an_early_hedge_does_not_queue_at_a_server_whose_slots_are_taken(scenario: RouterScenario) -> None:
    # As many requests as the three servers have slots.
    earlier_requests = [scenario.request(mode="mutate") for _ in range(12)]
    assert sum(len(each.sent) for each in earlier_requests) == 12
    served_request = scenario.request()
    served_request.sleep()
    assert len(served_request.sent) == 1


def test_the_first_response_ends_the_request(scenario: RouterScenario) -> None:
    served_request = scenario.request()
    served_request.sleep()
    server = scenario.router.cluster("a").servers[served_request.sent[1]]
    attempt = next(iter(server.in_flight))
    result = AttemptResult(AttemptOutcome.OK, USUAL_US)
    result.is_final = True
    scenario.router.on_attempt_finished(attempt, result)
    with pytest.raises(StopIteration):
        served_request.resume(AttemptFinished(attempt, result))


def test_a_request_without_a_server_is_queued_and_then_answered_503_with_retry_after(
    scenario: RouterScenario,
) -> None:
    scenario.router.update_servers([], True)
    started_us, served_request = scenario.clock.now_us, scenario.request()
    while isinstance(served_request.yielded, Sleep):
        served_request.sleep()
    assert served_request.sent == []
    # The caller has 3 s; a run must still fit.
    assert 3 * SECOND - 1.1 * USUAL_US < scenario.clock.now_us - started_us < 3 * SECOND - USUAL_US
    assert served_request.yielded.status == 503
    assert 0.5 * USUAL_US <= served_request.yielded.retry_after_us <= 1.5 * USUAL_US  # a run's time, spread


def test_a_queued_request_is_sent_to_a_server_that_comes_up(scenario: RouterScenario) -> None:
    scenario.router.update_servers([], True)
    served_request = scenario.request()
    scenario.router.update_servers([registry.Server("s9", "a", "10.0.0.1:9", "z", 4, "up", 1)], False)
    served_request.sleep()
    assert served_request.sent == ["s9"]


@pytest.mark.parametrize(
    ("outcome", "is_put_back"), [(AttemptOutcome.ERROR, False), (AttemptOutcome.OVERLOADED, True)]
)
def test_the_unit_of_an_attempt_that_may_have_run_is_not_put_back(
    scenario: RouterScenario, outcome: AttemptOutcome, is_put_back: bool
) -> None:
    grant = Mock(spec=QuotaGrant)
    served_request = scenario.request(grant=grant)
    while scenario.router.cluster("a").has_free_server(scenario.clock.now_us):
        scenario.request(mode="mutate")
    served_request.finish(outcome)  # the retry waits, as the other servers have no capacity
    assert isinstance(served_request.yielded, Sleep)
    assert grant.put_back.called == is_put_back


def test_a_non_idempotent_request_is_retried_only_if_it_has_not_run(scenario: RouterScenario) -> None:
    served_request = scenario.request(mode="mutate")
    served_request.finish(AttemptOutcome.OVERLOADED)
    assert len(set(served_request.sent)) == 2
    served_request.finish(AttemptOutcome.CONNECTION_LOST)
    assert (len(served_request.sent), served_request.yielded.status) == (2, 502)


def test_an_idempotent_request_is_retried_up_to_its_routes_attempts(scenario: RouterScenario) -> None:
    served_request = scenario.request()
    for _ in range(3):
        assert isinstance(served_request.yielded, Sleep)
        served_request.finish(AttemptOutcome.ERROR)
    assert (len(set(served_request.sent)), served_request.yielded.status) == (3, 502)


def test_a_failed_request_that_has_not_run_is_answered_503_retry_later(scenario: RouterScenario) -> None:
    served_request = scenario.request(mode="mutate")
    for _ in range(3):
        served_request.finish(AttemptOutcome.OVERLOADED)
    assert (served_request.yielded.status, served_request.yielded.reason) == (503, RejectReason.RETRY_LATER)


def test_a_request_is_answered_504_at_its_deadline(scenario: RouterScenario) -> None:
    started_us, served_request = scenario.clock.now_us, scenario.request(mode="mutate")
    served_request.sleep()
    assert (scenario.clock.now_us - started_us, served_request.yielded.status) == (3 * SECOND, 504)
