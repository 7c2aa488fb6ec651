"""Defects in the recording of operation key claims, each of which `simulation.claims` must find."""

import asyncio

import msgspec

from lapisgrade.gateway.controller.commands import ClaimOperations, encode_command
from lapisgrade.gateway.controller.operation_claims import OperationClaims
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.operations.table import Claim, ClaimResult, OperationTable
from lapisgrade.lab.explore.defects import Defect, Defects

_load, _propose, _claim = StateMachine.load, OperationClaims._propose, OperationTable.claim


def _load_without_operations(self: StateMachine, data: bytes) -> None:
    """Loading a snapshot loses the owners of operation keys."""
    _load(self, data)
    self.state.operations = OperationTable()


async def _propose_answering_at_once(self: OperationClaims, claims: list[Claim]) -> list[ClaimResult] | None:
    """A claim gets its reply before it is committed."""
    command = ClaimOperations(0, 75_000_000, claims)
    asyncio.get_running_loop().create_task(self._consensus.propose(encode_command(command)))
    return [ClaimResult(claim.attempt, claim.owner) for claim in claims]


async def _propose_granting_unknown(self: OperationClaims, claims: list[Claim]) -> list[ClaimResult] | None:
    """A claim whose outcome is unknown is granted."""
    results = await _propose(self, claims)
    return results or [ClaimResult(claim.attempt, claim.owner) for claim in claims]


def _claim_from_anyone(self: OperationTable, claim: Claim) -> ClaimResult:
    """A take-over replaces the current owner, whichever attempt it names."""
    record = self.find(claim.tenant, claim.key)
    if record is not None and claim.replaces:
        claim = msgspec.structs.replace(claim, replaces=record.attempt)
    return _claim(self, claim)


CLAIM_DEFECTS: Defects = {
    "lost-in-snapshot": Defect(StateMachine, "load", _load_without_operations),
    "granted-at-once": Defect(OperationClaims, "_propose", _propose_answering_at_once),
    "granted-while-unknown": Defect(OperationClaims, "_propose", _propose_granting_unknown),
    "taken-from-anyone": Defect(OperationTable, "claim", _claim_from_anyone),
}
