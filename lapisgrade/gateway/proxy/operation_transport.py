"""RPC calls of keyed requests: claims (`claim_client`) and outcome queries between proxies."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from lapisgrade.engine import Task
from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import is_address
from lapisgrade.gateway.operations.attempts import OperationAttempts
from lapisgrade.gateway.operations.outcomes import RUNNING, UNKNOWN, Outcome, OutcomeState
from lapisgrade.gateway.operations.table import ClaimResult
from lapisgrade.gateway.proxy.claim_client import ClaimClient
from lapisgrade.gateway.proxy.context import ProxyContext
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.routing.keyed_request import ClaimKey, FetchOutcome
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import parse_address
from lapisgrade.interface import Call
from lapisgrade.net.events import CallFinished

REPLY_MARGIN_S = 0.06  # time reserved for the round trip of an outcome query, as machines may be busy
FETCH_ATTEMPTS = 3  # maximum number of calls per outcome query; a call without a reply is retried
FETCH_RETRY_DELAY_S = 0.1  # delay before an outcome query is retried
# Maximum number of pending calls of each kind. Both kinds together fit into `rpc.MAX_OPEN_CALLS` of a
# connection.
MAX_CALLS = 256
MAX_WAITING_REPLIES = 1024  # maximum number of other proxies' queries that wait for an attempt to finish
MAX_OUTCOME_WAIT_S = 30.0  # maximum time that a query waits

NOT_CLAIMED = ClaimResult()  # result of a claim that was not sent

MakeCall = Callable[[], Coroutine[Any, Any, Any]]


class OperationTransport:
    """Sends the calls of the host's engine (`call`) and answers other proxies (`answer_outcome`)."""

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
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}  # by attempt: queries that wait for its end
        self.waiting_replies = 0  # other proxies' queries that wait for an attempt to finish
        attempts.outcomes.on_finished = self._on_attempt_finished

    # ---- this proxy's own calls

    def call(self, task: Task, call: Call) -> None:
        """Start a call of a keyed request; its result is enqueued at the host."""
        if isinstance(call, ClaimKey):
            make_claim = partial(self._claims.claim, call.claim, call.until_us)
            self._start(self._claim_tasks, task, make_claim, NOT_CLAIMED)
        elif isinstance(call, FetchOutcome):
            self._start(self._fetch_tasks, task, partial(self._fetch_outcome, call), None)
        else:
            raise TypeError(f"{call!r} is neither a ClaimKey nor a FetchOutcome call")

    def _start(
        self, pending_tasks: set[asyncio.Task[None]], task: Task, make_call: MakeCall, rejected_result: Any
    ) -> None:
        """Start a call, or reject it if too many are pending, to bound memory and the leader's load."""
        if len(pending_tasks) >= MAX_CALLS:
            self._context.metrics.operation_calls_refused += 1
            self._host.enqueue(CallFinished(task, rejected_result))
            return
        call_task = asyncio.get_running_loop().create_task(self._finish(task, make_call))
        pending_tasks.add(call_task)
        call_task.add_done_callback(pending_tasks.discard)

    async def _finish(self, task: Task, make_call: MakeCall) -> None:
        result = None
        try:
            result = await make_call()
        finally:
            self._host.enqueue(CallFinished(task, result))

    def _seconds_until(self, time_us: int) -> float:
        return (time_us - self._context.now_us()) / SECOND

    # ---- outcome queries to other proxies

    async def _fetch_outcome(self, call: FetchOutcome) -> Outcome:
        """Return the outcome of an attempt as known by its proxy, which may be this one."""
        if call.owner == self._attempts.address:
            outcome = await self._wait_for_outcome(call.attempt, self._seconds_until(call.until_us))
        else:
            outcome = await self._fetch_from_owner(call)
        self._context.metrics.repeats[outcome.state.name] += 1
        return outcome

    async def _fetch_from_owner(self, call: FetchOutcome) -> Outcome:
        """Query another proxy, with retries; a proxy that was restarted replies UNKNOWN.

        It is first asked for the present state. So the result is still RUNNING if the attempt was at work and
        the reply at the end of the wait is late.
        """
        if not is_address(call.owner):
            return UNKNOWN
        present = await self._query_owner(call, is_waiting=False)
        if present is None or present.state is not OutcomeState.RUNNING:
            return present or UNKNOWN
        return await self._query_owner(call, is_waiting=True) or RUNNING

    async def _query_owner(self, call: FetchOutcome, is_waiting: bool) -> Outcome | None:
        """Return the reply of an attempt's proxy; None without a reply.

        Args:
            call: The query.
            is_waiting: Whether the other proxy replies only when the attempt has ended, or when just the time
                for its reply is left.
        """
        for _ in range(FETCH_ATTEMPTS):
            remaining_s = self._seconds_until(call.until_us)
            if remaining_s <= 0:
                break
            wait_s = max(0.0, remaining_s - REPLY_MARGIN_S) if is_waiting else 0.0
            request = rpc_messages.OutcomeRequest(call.attempt, int(wait_s * SECOND))
            result = await self._rpc.call(parse_address(call.owner), request, remaining_s)
            reply = result.value_or(None)
            if isinstance(reply, rpc_messages.OutcomeReply):
                return reply.outcome
            await asyncio.sleep(FETCH_RETRY_DELAY_S)
        return None

    # ---- queries of other proxies

    async def answer_outcome(self, request: rpc_messages.OutcomeRequest) -> rpc_messages.OutcomeReply:
        """Reply with the outcome of this proxy's attempt when it finishes or the caller's wait is over.

        If `MAX_WAITING_REPLIES` queries are already waiting, the reply is sent immediately.
        """
        if self.waiting_replies >= MAX_WAITING_REPLIES:
            return rpc_messages.OutcomeReply(self._attempts.outcomes.find(request.attempt))
        self.waiting_replies += 1
        try:
            outcome = await self._wait_for_outcome(request.attempt, request.wait_us / SECOND)
        finally:
            self.waiting_replies -= 1
        return rpc_messages.OutcomeReply(outcome)

    async def _wait_for_outcome(self, attempt: str, wait_s: float) -> Outcome:
        """Return the outcome of this proxy's attempt; RUNNING only if it does not finish within the wait."""
        outcomes = self._attempts.outcomes
        if outcomes.find(attempt).state is OutcomeState.RUNNING and wait_s > 0:
            finished = asyncio.get_running_loop().create_future()
            self._waiters.setdefault(attempt, []).append(finished)
            await asyncio.wait({finished}, timeout=min(wait_s, MAX_OUTCOME_WAIT_S))
            self._stop_waiting(attempt, finished)
        return outcomes.find(attempt)

    def _stop_waiting(self, attempt: str, finished: "asyncio.Future[None]") -> None:
        waiters = self._waiters.get(attempt, [])
        if finished in waiters:
            waiters.remove(finished)
        if not waiters:
            self._waiters.pop(attempt, None)

    def _on_attempt_finished(self, attempt: str) -> None:
        for finished in self._waiters.pop(attempt, []):
            if not finished.done():
                finished.set_result(None)

    def close(self) -> None:
        """Cancel all pending calls."""
        for task in (*self._claim_tasks, *self._fetch_tasks):
            task.cancel()
