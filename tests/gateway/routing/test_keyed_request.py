"""Requests with the same operation key at two proxies: one runs, the others get its response or an error."""

import msgspec
import pytest

from lapisgrade.gateway import SECOND, configuration, registry
from lapisgrade.gateway.operations.outcomes import Outcome, OutcomeState
from lapisgrade.gateway.operations.table import ClaimResult, OperationTable
from lapisgrade.gateway.routing.keyed_request import (
    CLAIM_REPLY_US,
    ELECTION_US,
    MAX_CLAIM_ROUNDS,
    ClaimKey,
    FetchOutcome,
)
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
    """Two routers on one clock, and the leader's operation table."""

    def __init__(self) -> None:
        self.clock = Clock(100 * SECOND)
        self.table = OperationTable()
        self.sent = 0  # attempts at servers by all proxies
        self.routers = [Router(self.clock, 1, Slo(), "z", name, f"10.0.0.1:{name}", name) for name in "12"]
        for router in self.routers:
            router.update_servers([registry.Server("s", "a", "10.0.0.9:9", "z", 4, "up", 1)], False)

    def attempt(
        self, key: str = "k", proxy: int = 0, tenant: str = "t", target_time: str = "600ms"
    ) -> "KeyedAttempt":
        """Start a request with the key; it yields its first claim."""
        return KeyedAttempt(self, self.routers[proxy], key, tenant, target_time)

    def owner(self, address: str) -> Router:
        """Return the router of the proxy with this RPC address."""
        return next(each for each in self.routers if each.operation_attempts.address == address)


class KeyedAttempt:
    """A request driven by the test in place of the engine; `yielded` is a call, a sleep or its response."""

    def __init__(
        self, proxies: Proxies, router: Router, key: str, tenant: str, target_time: str = "600ms"
    ) -> None:
        self.proxies, self.router = proxies, router
        conf = {**CONF, "Ports": [{"Vhost": "h", "Policy": [{**RULE, "Target_time": target_time}]}]}
        rule = RouteTable(configuration.read(msgspec.json.decode(msgspec.json.encode(conf)))).match(
            "h", "/", ""
        )
        now_us = proxies.clock.now_us
        self.request = RoutedRequest(
            customer=tenant, arrived_us=now_us, deadline_us=now_us + 3 * SECOND, rule=rule[0], tenant=None,
            service="a", operation_key=key, handle=None,
        )  # fmt: skip
        self.generator = router.serve(self.request)
        self.server_attempt = None
        self.resume(None)

    def resume(self, value) -> None:
        """Resume the request until it waits, responds or finishes."""
        self.yielded = next(self.generator) if value is None else self._send(value)
        while isinstance(self.yielded, Send):
            self.server_attempt = self.yielded.attempt
            self.proxies.sent += 1
            self.yielded = self._send(None)
        if not isinstance(self.yielded, ClaimKey | FetchOutcome | Sleep | None):
            assert self._send(None) is None  # the request finishes with its response

    def _send(self, value):
        try:
            return self.generator.send(value)
        except StopIteration:
            return None

    def claim(self) -> "KeyedAttempt":
        """Record the claim in the leader's table and resume the request with the result."""
        assert isinstance(self.yielded, ClaimKey)
        self.resume(self.proxies.table.claim(self.yielded.claim))
        return self

    def time_out_claim(self, is_recorded: bool) -> None:
        """Let the claim time out without a reply; `is_recorded` if the leader has recorded it."""
        if is_recorded:
            self.proxies.table.claim(self.yielded.claim)
        self.proxies.clock.now_us = self.yielded.until_us
        self._resume_after_time_out()

    def _resume_after_time_out(self) -> None:
        self.yielded = self._send(None)
        assert not isinstance(self.yielded, Send)
        self._send(None)

    def fetch(self) -> "KeyedAttempt":
        """Query the outcome from the proxy whose attempt holds the key and resume with it."""
        assert isinstance(self.yielded, FetchOutcome)
        outcomes = self.proxies.owner(self.yielded.owner).operation_attempts.outcomes
        self.resume(outcomes.find(self.yielded.attempt))
        return self

    def finish(self, outcome: AttemptOutcome, response: Outcome | None = None) -> None:
        """Finish the attempt at the server with this outcome."""
        self.request.response = response
        is_final = response is not None or self.request.is_abandoned
        result = AttemptResult(outcome, 2_000, is_final)
        self.router.on_attempt_finished(self.server_attempt, result)
        self.resume(AttemptFinished(self.server_attempt, result))

    def disconnect(self) -> None:
        """Disconnect the client."""
        self.request.is_abandoned = True
        if isinstance(self.yielded, Sleep):
            self.resume(WakeReason.CLIENT_DISCONNECTED)

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return (
            self.yielded.outcome.status if isinstance(self.yielded, ReplayResponse) else self.yielded.status
        )


@pytest.fixture
def proxies() -> Proxies:
    return Proxies()


@pytest.mark.parametrize("response", [ANSWER, FAILURE])
def test_a_repeat_at_any_proxy_gets_the_first_response(proxies: Proxies, response: Outcome) -> None:
    first = proxies.attempt().claim()
    first.finish(AttemptOutcome.OK, response)
    for proxy in (0, 1):
        repeat = proxies.attempt(proxy=proxy).claim().fetch()
        assert (repeat.status, repeat.yielded.outcome) == (response.status, response)
    assert proxies.sent == 1


def test_a_repeat_waits_for_the_first_attempt_until_its_own_deadline(proxies: Proxies) -> None:
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
def test_a_repeat_runs_only_if_the_first_attempt_has_certainly_not_run(
    proxies: Proxies, outcome: AttemptOutcome, status: int, state: OutcomeState
) -> None:
    first = proxies.attempt().claim()
    first.finish(outcome)
    while isinstance(first.yielded, Sleep):  # no other server is up, and there is no retry budget
        proxies.clock.now_us = first.yielded.until_us
        first.resume(WakeReason.TIMER)
    assert first.status == status
    repeat = proxies.attempt(proxy=1).claim().fetch()
    if state is OutcomeState.UNKNOWN:
        assert (repeat.status, proxies.sent) == (502, 1)
    else:
        repeat.claim()
        assert (isinstance(repeat.yielded, Sleep), proxies.sent) == (True, 2)


def test_a_run_that_reaches_its_deadline_has_an_unknown_outcome(proxies: Proxies) -> None:
    first = proxies.attempt().claim()
    proxies.clock.now_us = first.yielded.until_us
    first.resume(WakeReason.TIMER)
    assert (first.status, proxies.attempt(proxy=1).claim().fetch().status) == (504, 502)


def test_a_recorded_claim_whose_reply_was_lost_is_replaced_by_the_next_repeat(proxies: Proxies) -> None:
    first = proxies.attempt()
    first.time_out_claim(is_recorded=True)
    assert (first.status, first.yielded.retry_after_us > 0) == (503, True)
    repeats = [proxies.attempt(proxy=proxy).claim().fetch() for proxy in (0, 1)]
    for repeat in repeats:
        repeat.claim()
    assert proxies.sent == 1
    assert [type(repeat.yielded) for repeat in repeats] == [Sleep, FetchOutcome]
    repeats[0].finish(AttemptOutcome.OK, ANSWER)
    assert repeats[1].fetch().status == 200


def test_every_claim_waits_as_long_as_a_run_still_fits_into_the_callers_time(proxies: Proxies) -> None:
    def wait_ms(attempt: KeyedAttempt) -> int:
        return (attempt.yielded.until_us - attempt.request.arrived_us) // 1000

    latency = proxies.routers[0].cluster("a").latency(proxies.clock.now_us, "r")
    for _ in range(1000):
        latency.add(proxies.clock.now_us, 400_000, 1.0)
    first = proxies.attempt("a")
    assert 2_550 < wait_ms(first) < 2_600  # the caller has 3 s, a run takes 0.4 s
    first_wait_ms = wait_ms(first)
    first.time_out_claim(is_recorded=False)
    proxies.clock.now_us = first.request.arrived_us  # so that the latency estimate is the same
    repeats = [proxies.attempt("a"), proxies.attempt("b")]  # a first attempt of another key waits as long
    assert {wait_ms(repeat) for repeat in repeats} == {first_wait_ms}
    for _ in range(10_000):
        latency.add(proxies.clock.now_us, 3_500_000, 1.0)
    # A run no longer fits: only a leader that replies at once grants the claim in time.
    assert wait_ms(proxies.attempt("d")) == CLAIM_REPLY_US // 1000


@pytest.mark.parametrize("target", ["200ms", "600ms", "1600ms"])
def test_the_wait_for_a_claim_and_its_retry_after_do_not_depend_on_the_target_time(
    proxies: Proxies, target: str
) -> None:
    latency = proxies.routers[0].cluster("a").latency(proxies.clock.now_us, "r")
    for _ in range(1000):
        latency.add(proxies.clock.now_us, 400_000, 1.0)
    attempt = proxies.attempt("a", target_time=target)
    assert 2_550_000 < attempt.yielded.until_us - attempt.request.arrived_us < 2_600_000
    attempt.time_out_claim(is_recorded=False)
    assert attempt.status == 503
    assert 0.5 * ELECTION_US <= attempt.yielded.retry_after_us <= 1.5 * ELECTION_US  # a leader is there again


def test_a_claim_granted_too_late_does_not_run(proxies: Proxies) -> None:
    first = proxies.attempt()
    result = proxies.table.claim(first.yielded.claim)
    proxies.clock.now_us = first.request.deadline_us
    first.resume(result)
    assert (first.status, proxies.sent) == (503, 0)


def test_a_request_is_rejected_if_the_table_has_no_room_for_its_claim(proxies: Proxies) -> None:
    first = proxies.attempt()
    first.resume(ClaimResult())
    assert (first.status, proxies.sent) == (503, 0)


def test_the_number_of_claim_rounds_is_bounded(proxies: Proxies) -> None:
    first = proxies.attempt()
    rounds = 0
    while isinstance(first.yielded, ClaimKey):
        rounds += 1
        # Another attempt replaces the same holder first, and does not run either.
        other = proxies.attempt(proxy=1)
        other.yielded.claim = msgspec.structs.replace(
            other.yielded.claim, replaces=first.yielded.claim.replaces
        )
        other.time_out_claim(is_recorded=True)
        proxies.clock.now_us = first.request.arrived_us
        first.claim().fetch()
    assert (rounds, first.status, proxies.sent) == (MAX_CLAIM_ROUNDS, 503, 0)


def test_the_outcome_of_an_attempt_is_unknown_after_its_proxy_restarts(proxies: Proxies) -> None:
    proxies.attempt().claim().finish(AttemptOutcome.OK, ANSWER)
    proxies.routers[0] = Router(proxies.clock, 1, Slo(), "z", "1", "10.0.0.1:1", "another process")
    assert (proxies.attempt(proxy=1).claim().fetch().status, proxies.sent) == (502, 1)


def test_the_same_key_of_two_tenants_names_two_operations(proxies: Proxies) -> None:
    for tenant in ("t", "other"):
        proxies.attempt(tenant=tenant).claim().finish(AttemptOutcome.OK, ANSWER)
    assert proxies.sent == 2


def test_a_run_continues_for_repeats_after_its_client_disconnects(proxies: Proxies) -> None:
    first = proxies.attempt().claim()
    first.disconnect()
    assert isinstance(first.yielded, Sleep)
    first.finish(AttemptOutcome.OK, ANSWER)
    assert proxies.attempt(proxy=1).claim().fetch().status == 200


def test_an_attempt_that_never_runs_after_its_client_disconnects_releases_the_key(proxies: Proxies) -> None:
    claiming, running = proxies.attempt("a"), proxies.attempt("b").claim()
    for each in (claiming, running):
        each.disconnect()
    claiming.claim()
    running.finish(AttemptOutcome.OVERLOADED)  # the server rejects it, so it has not run
    for key, sent in (("a", 2), ("b", 3)):
        repeat = proxies.attempt(key, proxy=1).claim().fetch().claim()
        assert (isinstance(repeat.yielded, Sleep), proxies.sent) == (True, sent)
