"""Known defects of keyed operations, each of which a fault schedule of `simulation.operations` must find."""

from copy import deepcopy

import msgspec

from lapisgrade.gateway.controller import operation_claims
from lapisgrade.gateway.controller.commands import ClaimOperations, encode_command
from lapisgrade.gateway.controller.operation_claims import OperationClaims
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.operations import table
from lapisgrade.gateway.operations.claim_batches import LeadershipClock
from lapisgrade.gateway.operations.outcomes import NOT_RUN, Outcome, OutcomeState
from lapisgrade.gateway.operations.table import Claim, ClaimResult, OperationRecord, OperationTable
from lapisgrade.gateway.proxy.operation_transport import OperationTransport
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.keyed_request import FetchOutcome, KeyedRequest
from lapisgrade.gateway.routing.request import Respond
from lapisgrade.gateway.routing.request_attempts import RequestAttempts
from lapisgrade.interface import RejectReason
from lapisgrade.lab.explore.defects import Defect, Defects
from lapisgrade.lab.simulation.defects import log, membership
from lapisgrade.net.http import Message

TIME_SINCE_BOOT_US = 3_600_000_000  # time that `_elapsed_since_boot` counts for a new leader
RETENTION_US = 75_000_000  # retention of the records in claims that bypass the leader's own code
NEGATIVE_MARGIN_US = -20_000_000  # makes the retention shorter than the idempotency window


# ---- the leader


async def _propose_without_waiting(self: OperationClaims, claims: list[Claim]) -> list[ClaimResult] | None:
    """A claim is granted when its entry is in the leader's log, before it is committed."""
    node = self._consensus.started_node
    command = ClaimOperations(0, RETENTION_US, claims)
    if not self._consensus.is_leader() or node.propose(encode_command(command)) is None:
        return None
    self._consensus.step()
    records = deepcopy(self._state_machine.state.operations)
    return [records.claim(claim) for claim in claims]


_propose = OperationClaims._propose


async def _propose_granting_unknown(self: OperationClaims, claims: list[Claim]) -> list[ClaimResult] | None:
    """An isolated leader, which learns of no commit, replies from its own table."""
    results = await _propose(self, claims)
    if results is not None:
        return results
    records = deepcopy(self._state_machine.state.operations)
    return [records.claim(claim) for claim in claims]


def _elapsed_since_boot(self: LeadershipClock, now_us: int, term: int) -> int:
    """A new leader counts the time since its machine's boot."""
    elapsed_us = now_us - self._batch_us if self._batch_us else TIME_SINCE_BOOT_US
    self._term, self._batch_us = term, now_us
    return elapsed_us


# ---- the table


def _claim_without_compare(self: OperationTable, claim: Claim) -> ClaimResult:
    """A claim that takes over a key is granted regardless of the current owner."""
    name = table.record_id(claim.tenant, claim.key)
    record = self.records.get(name)
    if record is not None and not claim.replaces:
        return ClaimResult(record.attempt, record.owner)
    self.records.pop(name, None)
    self.records[name] = OperationRecord(claim.attempt, claim.owner, self.clock_us)
    return ClaimResult(claim.attempt, claim.owner)


def _record_id_of_key(tenant: str, key: str) -> str:
    """Operations are identified by their key without the tenant."""
    return key


_load = StateMachine.load


def _load_without_records(self: StateMachine, data: bytes) -> None:
    """Loading a snapshot loses the records of operations."""
    _load(self, data)
    self.state.operations = OperationTable()


# ---- the proxy


def _outcome_not_run_without_response(self: KeyedRequest, sending: RequestAttempts) -> Outcome:
    """An attempt without a response counts as not run."""
    return self._request.response or NOT_RUN


_fetch_outcome = OperationTransport._fetch_outcome


async def _fetch_unknown_as_not_run(self: OperationTransport, call: FetchOutcome) -> Outcome:
    """An attempt with an unknown outcome, because its proxy has restarted, counts as not run."""
    outcome = await _fetch_outcome(self, call)
    return NOT_RUN if outcome.state is OutcomeState.UNKNOWN else outcome


def _kept_response_with_request_id(message: Message) -> Outcome:
    """The first try's id is among the header fields of the response to a repeated try."""
    lines = upstream_protocol.forwarded_headers(message, upstream_protocol.HOP_BY_HOP_HEADERS)
    return Outcome(OutcomeState.ANSWERED, message.head.status_code, lines, b"".join(message.body))


_kept_response = upstream_protocol.outcome_from_response


def _kept_response_cut_short(message: Message) -> Outcome:
    """The kept response lacks the last byte of its body."""
    outcome = _kept_response(message)
    return msgspec.structs.replace(outcome, body=outcome.body[:-1])


def _refuse_always(self: RequestAttempts) -> Respond:
    """The response is 503, which promises that nothing ran, even if a server may have run the request."""
    return Respond(RejectReason.RETRY_LATER, 0, 503)


DEFECTS_AND_SCHEDULES: list[tuple[Defects, str]] = [
    (
        {
            "granted-before-committed": Defect(OperationClaims, "_propose", _propose_without_waiting),
            "granted-while-deposed": Defect(OperationClaims, "_propose", _propose_granting_unknown),
        },
        "leader-cut",
    ),
    (
        {
            "snapshot-without-records": Defect(StateMachine, "load", _load_without_records),
            "acknowledged-before-sync": log.LOG_DEFECTS["acknowledged-before-sync"],
        },
        "power-and-disks",
    ),
    (
        {"retention-too-short": Defect(operation_claims, "RETENTION_MARGIN_US", NEGATIVE_MARGIN_US)},
        "window",
    ),
    (
        {"replaced-without-compare": Defect(OperationTable, "claim", _claim_without_compare)},
        "crowd",
    ),
    (
        {
            "tenants-share-keys": Defect(table, "record_id", _record_id_of_key),
            "sent-counts-as-not-run": Defect(KeyedRequest, "_outcome_of", _outcome_not_run_without_response),
            "unknown-counts-as-not-run": Defect(
                OperationTransport, "_fetch_outcome", _fetch_unknown_as_not_run
            ),
            "first-try-id-kept": Defect(
                upstream_protocol, "outcome_from_response", _kept_response_with_request_id
            ),
            "body-cut-short": Defect(upstream_protocol, "outcome_from_response", _kept_response_cut_short),
            "refused-after-send": Defect(RequestAttempts, "_failure_response", _refuse_always),
        },
        "owner-lost",
    ),
]
"""Groups of defects, each with the fault schedule that finds them."""

DEFECTS: Defects = {name: defect for group, _ in DEFECTS_AND_SCHEDULES for name, defect in group.items()}
SCHEDULE_OF_DEFECT = {name: schedule for group, schedule in DEFECTS_AND_SCHEDULES for name in group}
FIRST_SEED = {"granted-while-deposed": 2, "snapshot-without-records": 3}
"""First seeds of the search for defects, where it doesn't start at 0."""

UNDETECTED_DEFECTS: Defects = {
    "emptied-disk-votes": membership.WIPED_DISK_DEFECTS["emptied-disk-votes"],
    "counts-unmeasured-time": Defect(LeadershipClock, "elapsed_us", _elapsed_since_boot),
}
"""Defects that `power-and-disks` did not find: the first in seeds 0 to 4 (from 5 on it did not terminate),
the second in seeds 0 to 2. The control plane's schedule `wiped-after-ack` finds the first."""
