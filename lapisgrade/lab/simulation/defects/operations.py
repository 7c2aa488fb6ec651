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

UPTIME_US = 3_600_000_000  # of the machines, by whose steady clock a defect counts
RETENTION_US = 75_000_000
NO_MARGIN_US = -20_000_000  # a retention that is shorter than the window


# ---- the leader


async def _propose_without_waiting(self: OperationClaims, claims: list[Claim]) -> list[ClaimResult] | None:
    """A claim is granted as soon as its entry is in the leader's own log."""
    node = self._consensus.started_node
    command = ClaimOperations(0, RETENTION_US, claims)
    if not self._consensus.is_leader() or node.propose(encode_command(command)) is None:
        return None
    self._consensus.step()
    records = deepcopy(self._state_machine.state.operations)
    return [records.claim(claim) for claim in claims]


_propose = OperationClaims._propose


async def _propose_granting_unknown(self: OperationClaims, claims: list[Claim]) -> list[ClaimResult] | None:
    """A leader that is cut off, and learns of no commit, answers by its own table."""
    results = await _propose(self, claims)
    if results is not None:
        return results
    records = deepcopy(self._state_machine.state.operations)
    return [records.claim(claim) for claim in claims]


def _elapsed_since_boot(self: LeadershipClock, now_us: int, term: int) -> int:
    """A new leader counts from its machine's boot on."""
    elapsed_us = now_us - self._batch_us if self._batch_us else UPTIME_US
    self._term, self._batch_us = term, now_us
    return elapsed_us


# ---- the table


def _claim_without_compare(self: OperationTable, claim: Claim) -> ClaimResult:
    """Any claim that takes over a key gets it, whoever holds it by now."""
    name = table.record_id(claim.tenant, claim.key)
    record = self.records.get(name)
    if record is not None and not claim.replaces:
        return ClaimResult(record.attempt, record.owner)
    self.records.pop(name, None)
    self.records[name] = OperationRecord(claim.attempt, claim.owner, self.clock_us)
    return ClaimResult(claim.attempt, claim.owner)


def _record_id_of_key(tenant: str, key: str) -> str:
    """The key alone names an operation, whoever its tenant is."""
    return key


_load = StateMachine.load


def _load_without_records(self: StateMachine, data: bytes) -> None:
    """A snapshot has no records of operations."""
    _load(self, data)
    self.state.operations = OperationTable()


# ---- the proxy


def _outcome_not_run_without_response(self: KeyedRequest, sending: RequestAttempts) -> Outcome:
    """An attempt without a response counts as one that never ran."""
    return self._request.response or NOT_RUN


_fetch_outcome = OperationTransport._fetch_outcome


async def _fetch_unknown_as_not_run(self: OperationTransport, call: FetchOutcome) -> Outcome:
    """An attempt of which nothing is known, as its proxy was restarted, counts as one that never ran."""
    outcome = await _fetch_outcome(self, call)
    return NOT_RUN if outcome.state is OutcomeState.UNKNOWN else outcome


def _kept_response_with_request_id(message: Message) -> Outcome:
    """The first try's id is among the header lines that a repeat is answered."""
    lines = upstream_protocol.forwarded_headers(message, upstream_protocol.HOP_BY_HOP_HEADERS)
    return Outcome(OutcomeState.ANSWERED, message.head.status_code, lines, b"".join(message.body))


_kept_response = upstream_protocol.outcome_from_response


def _kept_response_cut_short(message: Message) -> Outcome:
    """The last byte of the body is not kept."""
    outcome = _kept_response(message)
    return msgspec.structs.replace(outcome, body=outcome.body[:-1])


def _refuse_always(self: RequestAttempts) -> Respond:
    """503 says that nothing has run, also where a server may have."""
    return Respond(RejectReason.RETRY_LATER, 0, 503)


SCHEDULES_BY_DEFECTS: list[tuple[Defects, str]] = [
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
            "acknowledged-before-sync": log.LOG["acknowledged-before-sync"],
        },
        "power-and-disks",
    ),
    (
        {"retention-too-short": Defect(operation_claims, "RETENTION_MARGIN_US", NO_MARGIN_US)},
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
"""The defects, and the fault schedule that finds them."""

DEFECTS: Defects = {name: defect for group, _ in SCHEDULES_BY_DEFECTS for name, defect in group.items()}
SCHEDULE_OF_DEFECT = {name: schedule for group, schedule in SCHEDULES_BY_DEFECTS for name in group}
FIRST_SEED = {"granted-while-deposed": 2, "snapshot-without-records": 3}
"""From which the defects are found, where that is not 0."""

NOT_FOUND_YET: Defects = {
    "emptied-disk-votes": membership.EMPTIED["emptied-disk-votes"],
    "counts-unmeasured-time": Defect(LeadershipClock, "elapsed_us", _elapsed_since_boot),
}
"""Defects that `power-and-disks` did not find: the first within seeds 0 to 4 (from 5 on it ran without end),
the second within seeds 0 to 2. The control plane's `wiped-after-ack` finds the first."""
