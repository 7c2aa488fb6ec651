"""The control plane under faults while changes keep reaching the size limit of a version."""

import dataclasses
from collections import Counter
from http import HTTPStatus

import pytest

from lapisgrade.gateway import configuration_delta
from lapisgrade.gateway.controller import state_machine
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import NewVersion
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.lab.simulation import history_check
from lapisgrade.lab.simulation.clients import Operation
from lapisgrade.lab.simulation.fault_schedules import FAULT_SCHEDULES
from lapisgrade.lab.simulation.linearizability import Event

SEEDS = 6  # number of seeds per schedule
DEFECT_SEEDS = 12  # number of seeds, of which one must find a defect
FIRST_CONTROLLERS = 3  # controllers that a simulation starts with

# Schedules, and limits in bytes that leave room for a complete configuration and one or two updates.
SCHEDULES = {"drawn": 400, "wiped-after-ack": 400, "churn": 400, "hundreds-of-changes": 1070}

pytestmark = pytest.mark.usefixtures("logging_disabled")


def limit_versions(monkeypatch: pytest.MonkeyPatch, schedule: str) -> None:
    """Lower the limit of a version to that of the schedule.

    The search for an order that explains the history allows a refusal only of a change whose base is not the
    newest version. A refusal for the size is as good as no reply to it; that the change is not in the log is
    checked for all refusals.
    """
    event_of = history_check._event

    def event_of_unless_too_large(operation: Operation) -> Event:
        if operation.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            operation = dataclasses.replace(operation, returned_us=None)
        return event_of(operation)

    monkeypatch.setattr(history_check, "_event", event_of_unless_too_large)
    monkeypatch.setattr(configuration_delta.decode, "__defaults__", (b"", SCHEDULES[schedule]))


class AppliedStatuses:
    """Counts the results of applying versions, by HTTP status."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.counts: Counter[int] = Counter()
        apply_new_version = StateMachine.apply_new_version

        def count(machine: StateMachine, command: NewVersion) -> ApplyResult:
            result = apply_new_version(machine, command)
            self.counts[result.status] += 1
            return result

        monkeypatch.setattr(StateMachine, "apply_new_version", count)


def propose_without_check(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make leaders propose versions of any size, as those of earlier releases did."""
    monkeypatch.setattr(state_machine, "check_decodable", lambda encoded, text, base_text: None)


def refused_for_size(schedule: str, seed: int) -> int:
    """Run a schedule; return the number of changes that were answered 413."""
    simulation = FAULT_SCHEDULES[schedule](seed)
    assert simulation.violations == [], "\n".join(simulation.transcript())
    assert simulation.count_acknowledged_changes() > 0
    return sum(operation.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE for operation in simulation.history)


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_no_version_over_the_limit_is_committed_and_no_invariant_violated(
    schedule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit_versions(monkeypatch, schedule)
    applied = AppliedStatuses(monkeypatch)
    assert sum(refused_for_size(schedule, seed) for seed in range(SEEDS)) > SEEDS
    assert HTTPStatus.REQUEST_ENTITY_TOO_LARGE not in applied.counts


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_versions_over_the_limit_that_an_earlier_leader_committed_violate_no_invariant(
    schedule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit_versions(monkeypatch, schedule)
    applied = AppliedStatuses(monkeypatch)
    propose_without_check(monkeypatch)
    assert sum(refused_for_size(schedule, seed) for seed in range(SEEDS)) > SEEDS
    assert applied.counts[HTTPStatus.REQUEST_ENTITY_TOO_LARGE] > SEEDS


def test_accepting_a_version_over_the_limit_after_a_restart_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Changes that were acknowledged after that version are based on the version before it."""
    limit_versions(monkeypatch, "drawn")
    propose_without_check(monkeypatch)
    machines: list[StateMachine] = []
    start, apply_new_version = StateMachine.__init__, StateMachine.apply_new_version

    def start_and_remember(machine: StateMachine) -> None:
        start(machine)
        machines.append(machine)

    def accept_if_restarted(machine: StateMachine, command: NewVersion) -> ApplyResult:
        result = apply_new_version(machine, command)
        is_restarted = machine not in machines[:FIRST_CONTROLLERS]
        if result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE and is_restarted:
            text = configuration_delta.decode(command.encoded, machine.state.configuration, 10_000)
            machine.accept(text, command.encoded.version, command.change_digest)
        return result

    monkeypatch.setattr(StateMachine, "__init__", start_and_remember)
    monkeypatch.setattr(StateMachine, "apply_new_version", accept_if_restarted)

    def is_found(seed: int) -> bool:
        machines.clear()
        return bool(FAULT_SCHEDULES["drawn"](seed).violations)

    assert any(is_found(seed) for seed in range(DEFECT_SEEDS))


def test_an_error_in_place_of_a_refusal_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Earlier releases raised here: the step ended in its middle, and the process at its next start."""
    limit_versions(monkeypatch, "drawn")
    propose_without_check(monkeypatch)
    apply_new_version = StateMachine.apply_new_version

    def raise_if_refused(machine: StateMachine, command: NewVersion) -> ApplyResult:
        result = apply_new_version(machine, command)
        if result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise ConfigurationError(result.reason)
        return result

    monkeypatch.setattr(StateMachine, "apply_new_version", raise_if_refused)

    def is_found(seed: int) -> bool:
        try:
            return bool(FAULT_SCHEDULES["drawn"](seed).violations)
        except Exception:  # the error leaves the simulated controller, or keeps it from starting
            return True

    assert any(is_found(seed) for seed in range(DEFECT_SEEDS))
