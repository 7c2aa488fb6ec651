"""Defects in how changes of the configuration are validated, committed and acknowledged."""

from lapisgrade.gateway import configuration_change
from lapisgrade.gateway.configuration_delta import decode
from lapisgrade.gateway.controller.change_validation import ApplyResult, ValidatedChange
from lapisgrade.gateway.controller.commands import ConfigurationChange, NewVersion
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.lab.explore.defects import Defect, Defects


def _load_without_applied_changes(self: StateMachine, data: bytes) -> None:
    """Loading a snapshot loses its record of applied changes."""
    _load(self, data)
    self.state.applied_changes = {}


_load = StateMachine.load
_apply_new_version = StateMachine.apply_new_version


def _apply_new_version_on_any_base(self: StateMachine, command: NewVersion) -> ApplyResult:
    """A version is accepted on any base."""
    if (
        command.encoded.version <= self.state.version
        or self.state.applied_changes.get(command.encoded.version) == command.change_digest
    ):
        return _apply_new_version(self, command)
    text = (
        decode(command.encoded, self.state.configuration)
        if not command.encoded.base
        else self.state.configuration
    )
    self.accept(text, command.encoded.version, command.change_digest)
    return ApplyResult(200)


def _digest_of_bytes(body: bytes) -> bytes:
    """The digest depends on the JSON formatting of a change, not only on its contents."""
    return configuration_change.blake2b(body, digest_size=16).digest()


async def _propose_confirming_at_once(self: ConsensusDriver, data: bytes) -> ApplyResult | None:
    """A change is acknowledged when it is appended to the log."""
    return None if self.node.propose(data) is None else ApplyResult(200)


async def _propose_rejecting_unknown(self: ConsensusDriver, data: bytes) -> ApplyResult | None:
    """A change whose outcome is unknown is rejected."""
    answer = await _propose(self, data)
    return ApplyResult(412, "no majority") if answer is None else answer


_propose = ConsensusDriver.propose


def _validate_without_digest(self: StateMachine, change: ConfigurationChange) -> ValidatedChange:
    """A change that was already applied is validated like a new one when it is sent again."""
    applied_changes, self.state.applied_changes = self.state.applied_changes, {}
    try:
        return _validate(self, change)
    finally:
        self.state.applied_changes = applied_changes


_validate = StateMachine.validate


CHANGE_DEFECTS: Defects = {
    "digests-lost-in-snapshot": Defect(StateMachine, "load", _load_without_applied_changes),
    "taken-on-any-base": Defect(StateMachine, "apply_new_version", _apply_new_version_on_any_base),
    "digest-of-the-bytes": Defect(configuration_change, "digest", _digest_of_bytes),
    "confirmed-at-once": Defect(ConsensusDriver, "propose", _propose_confirming_at_once),
    "refused-while-unknown": Defect(ConsensusDriver, "propose", _propose_rejecting_unknown),
    "taken-judged-anew": Defect(StateMachine, "validate", _validate_without_digest),
}
