"""Carries out the calls of keyed requests: claims (`claim_client`), and outcomes between proxies."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from lapisgrade.engine import Task
from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.operations.attempts import OperationAttempts
from lapisgrade.gateway.operations.outcomes import UNKNOWN, Outcome, OutcomeState
from lapisgrade.gateway.operations.table import ClaimResult
from lapisgrade.gateway.proxy.claim_client import ClaimClient
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.routing.keyed_request import ClaimKey, FetchOutcome
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address
from lapisgrade.interface import Call
from lapisgrade.net.events import CallFinished

MIN_REPLY_S = 0.06  # that the way to an attempt's proxy and back is given, as a part of the time that is left
REPLY_RATIO = 0.15  # of the time that is left, the same: machines may be busy
FETCH_ATTEMPTS = 3  # of a call for an outcome whose connection fails
FETCH_RETRY_DELAY_S = 0.1  # before its next attempt
MAX_CALLS = 256  # of one kind at once; both kinds are within `rpc.MAX_OPEN_CALLS` of one connection
MAX_WAITING_REPLIES = 1024  # other proxies' calls that wait for the end of an attempt
MAX_WAIT_S = 30.0  # that one of them may wait

NOT_CLAIMED = ClaimResult()  # of a claim that was not sent

MakeCall = Callable[[], Coroutine[Any, Any, Any]]


class OperationTransport:
    """`call` is called by the host's engine; `answer_outcome` answers other proxies."""

    def __init__(
        self,
        context: ProxyContext,
        host: ProxyHost,
        rpc: RpcEndpoint,
        claims: ClaimClient,
        attempts: OperationAttempts,
    ) -> None:
        self._context = context
        self._host = host
        self._rpc = rpc
        self._claims = claims
        self._attempts = attempts
        self._claim_tasks: set[asyncio.Task[None]] = set()
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}  # for the end of an attempt of this proxy
        self.waiting_replies = 0  # other proxies' calls that wait for the end of an attempt
        attempts.outcomes.on_finished = self._on_attempt_finished

    # ---- this proxy's own calls

    def call(self, task: Task, call: Call) -> None:
        """Carry out a call of a keyed request, and tell the host its result."""
        if isinstance(call, ClaimKey):
            make_claim = partial(self._claims.claim, call.claim, call.until_us)
            self._start(self._claim_tasks, task, make_claim, NOT_CLAIMED)
        elif isinstance(call, FetchOutcome):
            self._start(self._fetch_tasks, task, partial(self._fetch_outcome, call), None)
        else:
            raise TypeError(f"{call!r} is no call of a keyed request")

    def _start(
        self, running: set[asyncio.Task[None]], task: Task, make_call: MakeCall, result_if_too_many: Any
    ) -> None:
        """Run a call beside the others; too many at once are not begun (guards memory and the leader)."""
        if len(running) >= MAX_CALLS:
            self._context.metrics.operation_calls_refused += 1
            self._host.enqueue(CallFinished(task, result_if_too_many))
            return
        begun = asyncio.get_running_loop().create_task(self._finish(task, make_call))
        running.add(begun)
        begun.add_done_callback(running.discard)

    async def _finish(self, task: Task, make_call: MakeCall) -> None:
        result = None
        try:
            result = await make_call()
        finally:
            self._host.enqueue(CallFinished(task, result))

    def _seconds_until(self, when_us: int) -> float:
        return (when_us - self._context.now_us()) / SECOND

    # ---- outcomes of others

    async def _fetch_outcome(self, call: FetchOutcome) -> Outcome:
        """What came of an attempt, by the proxy that made it."""
        if call.owner == self._attempts.address:
            outcome = await self._wait_for_outcome(call.attempt, self._seconds_until(call.until_us))
        else:
            outcome = await self._fetch_from_owner(call)
        self._context.metrics.repeats[outcome.state.name] += 1
        return outcome

    async def _fetch_from_owner(self, call: FetchOutcome) -> Outcome:
        """Ask another proxy, again where a connection fails; one that was restarted says UNKNOWN."""
        if not is_address(call.owner):
            return UNKNOWN
        for _ in range(FETCH_ATTEMPTS):
            left_s = self._seconds_until(call.until_us)
            if left_s <= 0:
                break
            wait_s = max(0.0, left_s - max(MIN_REPLY_S, REPLY_RATIO * left_s))
            request = rpc_messages.OutcomeRequest(call.attempt, int(wait_s * SECOND))
            result = await self._rpc.call(parse_address(call.owner), request, left_s)
            reply = result.value_or(None)
            if isinstance(reply, rpc_messages.OutcomeReply):
                return reply.outcome
            await asyncio.sleep(FETCH_RETRY_DELAY_S)
        return UNKNOWN

    # ---- what other proxies ask

    async def answer_outcome(self, request: rpc_messages.OutcomeRequest) -> rpc_messages.OutcomeReply:
        """Say what came of an attempt of this proxy, once it has ended or the caller waits no longer."""
        if self.waiting_replies >= MAX_WAITING_REPLIES:
            return rpc_messages.OutcomeReply(self._attempts.outcomes.find(request.attempt))
        self.waiting_replies += 1
        try:
            outcome = await self._wait_for_outcome(request.attempt, request.wait_us / SECOND)
        finally:
            self.waiting_replies -= 1
        return rpc_messages.OutcomeReply(outcome)

    async def _wait_for_outcome(self, attempt: str, wait_s: float) -> Outcome:
        """What came of an attempt of this proxy; RUNNING only where it runs for longer than that."""
        outcomes = self._attempts.outcomes
        if outcomes.find(attempt).state is OutcomeState.RUNNING and wait_s > 0:
            ended = asyncio.get_running_loop().create_future()
            self._waiting.setdefault(attempt, []).append(ended)
            await asyncio.wait({ended}, timeout=min(wait_s, MAX_WAIT_S))
            self._stop_waiting(attempt, ended)
        return outcomes.find(attempt)

    def _stop_waiting(self, attempt: str, ended: "asyncio.Future[None]") -> None:
        waiting = self._waiting.get(attempt, [])
        if ended in waiting:
            waiting.remove(ended)
        if not waiting:
            self._waiting.pop(attempt, None)

    def _on_attempt_finished(self, attempt: str) -> None:
        for ended in self._waiting.pop(attempt, []):
            if not ended.done():
                ended.set_result(None)

    def close(self) -> None:
        """Cancel the calls in progress."""
        for task in (*self._claim_tasks, *self._fetch_tasks):
            task.cancel()
