"""The leader's part in keyed operations: records which attempt holds an operation key.

Claims that arrive within `BATCH_WINDOW_S` share one log entry, and one batch is in flight at a time. So a
claim costs some bytes of the log, not its own sync and round of messages. A claim is answered once its entry
is applied, and therefore on a majority of the disks. If the applied table already has a holder of the key,
the claim is answered immediately, under the leader's lease. The rules are in `operations.claim_batches` and
`operations.table`.
"""

import asyncio
from collections.abc import Callable

import msgspec

from lapisgrade.gateway.controller.commands import ClaimOperations, encode_command
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.leader_discovery import LeaderDiscovery
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.operations.claim_batches import (
    MAX_BATCH_CLAIMS,
    MAX_WAITING_CLAIMS,
    LeadershipClock,
    is_valid,
    known_holder,
)
from lapisgrade.gateway.operations.table import (
    RETENTION_MARGIN_US,
    Claim,
    ClaimResult,
    OperationRecord,
)
from lapisgrade.gateway.rpc_messages import ClaimReply, ClaimRequest
from lapisgrade.gateway.settings import Settings

BATCH_WINDOW_S = 0.02  # time that a claim waits for others to share its sync; far below latency targets


class PendingClaim(msgspec.Struct, frozen=True):
    """A claim that waits for its batch.

    Attributes:
        claim: The claim.
        result: Completed with the claim's result, or with None if the outcome is unknown.
    """

    claim: Claim
    result: asyncio.Future[ClaimResult | None]


class OperationClaims:
    """Handles the claims of proxies on the leader; redirects them on other controllers."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        state_machine: StateMachine,
        discovery: LeaderDiscovery,
        settings: Callable[[], Settings],
        clock: Callable[[], int],
        metrics: ControllerMetrics,
    ) -> None:
        """`settings` returns the current settings; `clock` returns the monotonic time in us."""
        self._consensus = consensus
        self._state_machine = state_machine
        self._discovery = discovery
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._leadership_clock = LeadershipClock()
        self._waiting: list[PendingClaim] = []
        self._batch_task: asyncio.Task[None] | None = None  # runs while claims are waiting

    def close(self) -> None:
        """Stop recording claims."""
        if self._batch_task is not None:
            self._batch_task.cancel()

    async def handle_claim(self, request: ClaimRequest) -> ClaimReply:
        """Return the holder of the claim's key, once its record is on a majority of the disks.

        Returns:
            The holder; no holder if the claim is malformed or the table has no room; or that the outcome is
            unknown here, and where the leader may be.
        """
        claim = request.claim
        if not self._consensus.is_leader():
            return self._unknown_reply()
        if not is_valid(claim):
            self._metrics.claims_invalid += 1
            return ClaimReply(True)
        holder = self._known_holder(claim)
        if holder is not None:
            return self._known_reply(claim, ClaimResult(holder.attempt, holder.owner))
        if len(self._waiting) >= MAX_WAITING_CLAIMS:
            return self._unknown_reply()
        result = await self._record(claim)
        return self._known_reply(claim, result) if result is not None else self._unknown_reply()

    def _known_holder(self, claim: Claim) -> OperationRecord | None:
        """Return the holder of a claim's key in the applied table, if any."""
        table = self._state_machine.state.operations
        elapsed_us = self._leadership_clock.elapsed_us(self._clock(), self._consensus.started_node.term)
        return known_holder(table, claim, table.clock_us + elapsed_us - self._retention_us())

    def _retention_us(self) -> int:
        """Return the time for which a record is kept, in us."""
        return int(self._settings().slo.key_win) + RETENTION_MARGIN_US

    # ---- replies

    def _unknown_reply(self) -> ClaimReply:
        """Return that the outcome is unknown here, with the leader's address if it is known."""
        self._metrics.claims_unknown += 1
        return ClaimReply(False, leader_address=self._discovery.remote_leader_address())

    def _known_reply(self, claim: Claim, result: ClaimResult) -> ClaimReply:
        """Return the result of a claim, and count it by kind."""
        if not result.attempt:
            self._metrics.claims_without_room += 1
        elif result.attempt == claim.attempt:
            self._metrics.claims_granted += 1
        else:
            self._metrics.claims_held_by_another += 1
        return ClaimReply(True, result.attempt, result.owner)

    # ---- batches

    async def _record(self, claim: Claim) -> ClaimResult | None:
        """Record a claim with the next batch; return None if its outcome is unknown."""
        loop = asyncio.get_running_loop()
        pending = PendingClaim(claim, loop.create_future())
        self._waiting.append(pending)
        if self._batch_task is None:
            self._batch_task = loop.create_task(self._run_batches())
        return await pending.result

    async def _run_batches(self) -> None:
        """Record one batch after another until no claim is waiting."""
        try:
            while self._waiting:
                await asyncio.sleep(BATCH_WINDOW_S)
                batch = self._waiting[:MAX_BATCH_CLAIMS]
                del self._waiting[:MAX_BATCH_CLAIMS]
                await self._run_batch(batch)
        finally:
            self._batch_task = None

    async def _run_batch(self, batch: list[PendingClaim]) -> None:
        """Record a batch, and set the result of each claim."""
        results: list[ClaimResult] | None = None
        try:
            results = await self._propose([pending.claim for pending in batch])
        finally:
            for position, pending in enumerate(batch):
                if not pending.result.done():
                    pending.result.set_result(results[position] if results is not None else None)

    async def _propose(self, claims: list[Claim]) -> list[ClaimResult] | None:
        """Append claims to the log, and return their results once applied; None if these are unknown."""
        if not self._consensus.is_leader():
            return None
        elapsed_us = self._leadership_clock.start_batch(self._clock(), self._consensus.started_node.term)
        command = ClaimOperations(elapsed_us, self._retention_us(), claims)
        self._metrics.claim_batches += 1
        # No one reads a follower's table, so followers learn of the commit with the next batch or heartbeat.
        applied = await self._consensus.propose(encode_command(command), announces_commit=False)
        return applied.claim_results if applied is not None else None
