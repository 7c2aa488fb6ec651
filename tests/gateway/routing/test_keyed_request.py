"""Requests with one operation key at two proxies: one of them runs, the others get its answer or none."""

import msgspec
import pytest

from lapisgrade.gateway import SECOND, configuration, registry
from lapisgrade.gateway.operations.outcomes import Outcome, OutcomeState
from lapisgrade.gateway.operations.table import ClaimResult, OperationTable
from lapisgrade.gateway.routing.keyed_request import MAX_CLAIM_ROUNDS, ClaimKey, FetchOutcome
from lapisgrade.gateway.routing.request import ReplayResponse, RoutedRequest
from lapisgrade.gateway.routing.route_table import RouteTable
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

ACTION = {"Svc": "a", "Timeout": "3s", "Tries": 2}
RULE = {"Name": "r", "Match": {"Pfx": "/"}, "Action": ACTION, "Mode": "keyed", "Target_time": "600ms"}
CONF = {"Ver": 1, "Ports": [{"Vhost": "h", "Policy": [RULE]}], "Pools": [{"Name": "a"}]}
ANSWER = Outcome(OutcomeState.ANSWERED, 200, b"Server-Seal: s\r\n", b"done")
FAILURE = Outcome(OutcomeState.ANSWERED, 500, b"Server-Seal: s\r\n", b"no")


class Proxies:
    """Two routers on one clock, and the leader's table of claims."""

    def __init__(self) -> None:
        self.clock = Clock(100 * SECOND)
        self.table = OperationTable()
        self.sent = 0  # attempts at servers, by all
        self.routers = [Router(self.clock, 1, Slo(), "z", name, f"10.0.0.1:{name}", name) for name in "12"]
        for router in self.routers:
            router.update_servers([registry.Server("s", "a", "10.0.0.9:9", "z", 4, "up", 1)], False)

    def attempt(self, key: str = "k", proxy: int = 0, tenant: str = "t") -> "KeyedAttempt":
        """A request that bears the key, up to its first claim."""
        return KeyedAttempt(self, self.routers[proxy], key, tenant)

    def owner(self, address: str) -> Router:
        return next(each for each in self.routers if each.operation_attempts.address == address)


class KeyedAttempt:
    """One request, driven by hand as the engine drives it; `yielded` is what it waits for, or its answer."""

    def __init__(self, proxies: Proxies, router: Router, key: str, tenant: str) -> None:
        self.proxies, self.router = proxies, router
        rule = RouteTable(configuration.read(msgspec.json.decode(msgspec.json.encode(CONF)))).match(
            "h", "/", ""
        )
        now_us = proxies.clock.now_us
        self.request = RoutedRequest(
            customer=tenant, arrived_us=now_us, deadline_us=now_us + 3 * SECOND, rule=rule[0], tenant=None,
            service="a", operation_key=key, handle=None,
        )  # fmt: skip
        self.generator = router.serve(self.request)
        self.at_server = None
        self.resume(None)

    def resume(self, value) -> None:
        """Go on until it waits, answers or ends."""
        self.yielded = next(self.generator) if value is None else self._send(value)
        while isinstance(self.yielded, Send):
            self.at_server = self.yielded.attempt
            self.proxies.sent += 1
            self.yielded = self._send(None)
        if not isinstance(self.yielded, ClaimKey | FetchOutcome | Sleep | None):
            assert self._send(None) is None  # an answer is the end

    def _send(self, value):
        try:
            return self.generator.send(value)
        except StopIteration:
            return None

    def claim(self) -> "KeyedAttempt":
        """Have the leader record its claim, and tell it who holds the key."""
        assert isinstance(self.yielded, ClaimKey)
        self.resume(self.proxies.table.claim(self.yielded.claim))
        return self

    def lose_claim(self, is_recorded: bool) -> None:
        """No leader answers it; the claim may be recorded all the same."""
        if is_recorded:
            self.proxies.table.claim(self.yielded.claim)
        self.proxies.clock.now_us = self.yielded.until_us
        self._resume_with_nothing()

    def _resume_with_nothing(self) -> None:
        self.yielded = self._send(None)
        assert not isinstance(self.yielded, Send)
        self._send(None)

    def fetch(self) -> "KeyedAttempt":
        """Have the proxy that holds the key tell what came of it."""
        assert isinstance(self.yielded, FetchOutcome)
        outcomes = self.proxies.owner(self.yielded.owner).operation_attempts.outcomes
        self.resume(outcomes.find(self.yielded.attempt))
        return self

    def finish(self, outcome: AttemptOutcome, response: Outcome | None = None) -> None:
        """Its attempt at a server ends."""
        self.request.response = response
        is_final = response is not None or self.request.is_abandoned
        result = AttemptResult(outcome, 2_000, is_final)
        self.router.on_attempt_finished(self.at_server, result)
        self.resume(AttemptFinished(self.at_server, result))

    def leave(self) -> None:
        """Its client disconnects."""
        self.request.is_abandoned = True
        if isinstance(self.yielded, Sleep):
            self.resume(WakeReason.CLIENT_GONE)

    @property
    def status(self) -> int:
        """Of its answer."""
        return (
            self.yielded.outcome.status if isinstance(self.yielded, ReplayResponse) else self.yielded.status
        )


@pytest.fixture
def proxies() -> Proxies:
    return Proxies()


@pytest.mark.parametrize("response", [ANSWER, FAILURE])
def test_a_repeat_gets_the_first_response_wherever_it_comes(proxies: Proxies, response: Outcome) -> None:
    first = proxies.attempt().claim()
    first.finish(AttemptOutcome.OK, response)
    for proxy in (0, 1):
        repeat = proxies.attempt(proxy=proxy).claim().fetch()
        assert (repeat.status, repeat.yielded.outcome) == (response.status, response)
    assert proxies.sent == 1


def test_a_repeat_waits_for_the_first_until_its_own_time_is_over(proxies: Proxies) -> None:
    first, repeat = proxies.attempt().claim(), proxies.attempt(proxy=1).claim()
    assert proxies.clock.now_us < repeat.yielded.until_us < repeat.request.deadline_us
    repeat.fetch()
    assert repeat.status == 409
    first.finish(AttemptOutcome.OK, ANSWER)
    assert (proxies.attempt(proxy=1).claim().fetch().status, proxies.sent) == (200, 1)


@pytest.mark.parametrize(
    ("outcome", "status", "state"),
    [
        (AttemptOutcome.CONNECTION_LOST, 502, OutcomeState.UNKNOWN),
        (AttemptOutcome.ERROR, 502, OutcomeState.UNKNOWN),
        (AttemptOutcome.OVERLOADED, 503, OutcomeState.NOT_RUN),
        (AttemptOutcome.CONNECT_FAILED, 503, OutcomeState.NOT_RUN),
    ],
)
def test_what_may_have_run_is_never_run_again_and_what_has_not_is(
    proxies: Proxies, outcome: AttemptOutcome, status: int, state: OutcomeState
) -> None:
    first = proxies.attempt().claim()
    first.finish(outcome)
    if isinstance(first.yielded, Sleep):  # no other server is up: it is given up
        proxies.clock.now_us = first.yielded.until_us
        first.resume(WakeReason.TIMER)
    assert first.status == status
    repeat = proxies.attempt(proxy=1).claim().fetch()
    if state is OutcomeState.UNKNOWN:
        assert (repeat.status, proxies.sent) == (502, 1)
    else:
        repeat.claim()
        assert (isinstance(repeat.yielded, Sleep), proxies.sent) == (True, 2)


def test_a_request_at_its_deadline_is_unknown(proxies: Proxies) -> None:
    first = proxies.attempt().claim()
    proxies.clock.now_us = first.yielded.until_us
    first.resume(WakeReason.TIMER)
    assert (first.status, proxies.attempt(proxy=1).claim().fetch().status) == (504, 502)


def test_a_claim_that_got_no_answer_and_is_recorded_is_replaced_by_the_next(proxies: Proxies) -> None:
    first = proxies.attempt()
    first.lose_claim(is_recorded=True)
    assert (first.status, first.yielded.retry_after_us > 0) == (503, True)
    racing = [proxies.attempt(proxy=proxy).claim().fetch() for proxy in (0, 1)]
    for each in racing:
        each.claim()
    assert proxies.sent == 1
    assert [type(each.yielded) for each in racing] == [Sleep, FetchOutcome]
    racing[0].finish(AttemptOutcome.OK, ANSWER)
    assert racing[1].fetch().status == 200


def test_a_claim_is_waited_for_until_an_election_is_over_and_briefly_while_no_leader_answers(
    proxies: Proxies,
) -> None:
    def waits_ms(tried: KeyedAttempt) -> int:
        return (tried.yielded.until_us - tried.request.arrived_us) // 1000

    first = proxies.attempt("a")
    assert 800 < waits_ms(first) < 1500
    first.lose_claim(is_recorded=False)
    second = proxies.attempt("b")
    assert waits_ms(second) == 150  # a quarter of the target time
    second.claim()
    assert waits_ms(proxies.attempt("c")) > 800
    latency = proxies.routers[0].cluster("a").latency("r", 600_000)
    for _ in range(100):
        latency.add(proxies.clock.now_us, 2_500_000, 1.0)
    assert waits_ms(proxies.attempt("d")) == 150  # runs take long, and yet it is claimed


def test_a_claim_granted_too_late_does_not_run(proxies: Proxies) -> None:
    first = proxies.attempt()
    result = proxies.table.claim(first.yielded.claim)
    proxies.clock.now_us = first.request.deadline_us
    first.resume(result)
    assert (first.status, proxies.sent) == (503, 0)


def test_a_claim_that_the_table_has_no_room_for_is_refused(proxies: Proxies) -> None:
    first = proxies.attempt()
    first.resume(ClaimResult())
    assert (first.status, proxies.sent) == (503, 0)


def test_taking_the_place_of_attempts_that_never_ran_is_bounded(proxies: Proxies) -> None:
    first = proxies.attempt()
    rounds = 0
    while isinstance(first.yielded, ClaimKey):
        rounds += 1
        other = proxies.attempt(proxy=1)  # another that takes the place first, and gives up too
        other.yielded.claim = msgspec.structs.replace(
            other.yielded.claim, replaces=first.yielded.claim.replaces
        )
        other.lose_claim(is_recorded=True)
        proxies.clock.now_us = first.request.arrived_us
        first.claim().fetch()
    assert (rounds, first.status, proxies.sent) == (MAX_CLAIM_ROUNDS, 503, 0)


def test_an_attempt_of_a_process_that_was_restarted_is_unknown(proxies: Proxies) -> None:
    proxies.attempt().claim().finish(AttemptOutcome.OK, ANSWER)
    proxies.routers[0] = Router(proxies.clock, 1, Slo(), "z", "1", "10.0.0.1:1", "another process")
    assert (proxies.attempt(proxy=1).claim().fetch().status, proxies.sent) == (502, 1)


def test_one_key_of_two_tenants_is_two_operations(proxies: Proxies) -> None:
    for tenant in ("t", "other"):
        proxies.attempt(tenant=tenant).claim().finish(AttemptOutcome.OK, ANSWER)
    assert proxies.sent == 2


def test_a_run_goes_on_without_its_client_for_its_repeats(proxies: Proxies) -> None:
    first = proxies.attempt().claim()
    first.leave()
    assert isinstance(first.yielded, Sleep)
    first.finish(AttemptOutcome.OK, ANSWER)
    assert proxies.attempt(proxy=1).claim().fetch().status == 200


def test_a_client_that_leaves_before_its_run_gives_the_key_up(proxies: Proxies) -> None:
    claiming, refused = proxies.attempt("a"), proxies.attempt("b").claim()
    for each in (claiming, refused):
        each.leave()
    claiming.claim()
    refused.finish(AttemptOutcome.OVERLOADED)
    for key, sent in (("a", 2), ("b", 3)):
        repeat = proxies.attempt(key, proxy=1).claim().fetch().claim()
        assert (isinstance(repeat.yielded, Sleep), proxies.sent) == (True, sent)
