"""Check of the clients' history of changes and reads against the versions in the replicated log."""

from lapisgrade.lab.simulation.clients import Operation
from lapisgrade.lab.simulation.invariants import Invariants
from lapisgrade.lab.simulation.linearizability import (
    UNANSWERED,
    Event,
    HistoryTooLargeError,
    first_violation,
)
from lapisgrade.lab.simulation.virtual_loop import SECOND


def check_history(history: list[Operation], invariants: Invariants) -> None:
    """Report lost acknowledged changes, applied rejected changes, and non-linearizable histories."""
    for operation in history:
        if operation.kind == "change" and operation.returned_us is not None:
            _check_outcome(operation, invariants)
    try:
        violation_us = first_violation([_event(each) for each in history])
    except HistoryTooLargeError:
        return  # unknown whether it is linearizable, so there is nothing to report
    if violation_us is not None:
        invariants.report_violation(
            f"changes and reads up to {violation_us / SECOND:.3f} s are not linearizable"
        )


def _check_outcome(operation: Operation, invariants: Invariants) -> None:
    """Report a change whose reply contradicts the log."""
    version = operation.version
    logged = invariants.versions.get(version)
    is_in_log = logged is not None and _contains_change(operation, logged[1])
    if operation.status == 200 and not is_in_log:
        invariants.report_violation(f"version {version} was acknowledged and is not in the log")
    if operation.status != 200 and is_in_log:
        invariants.report_violation(f"version {version} was rejected ({operation.status}) and is in the log")


def _contains_change(operation: Operation, configuration: bytes) -> bool:
    """Whether a configuration contains the unique service name of the change."""
    start = operation.text.find(b"mark-")
    unique_name = operation.text[start : operation.text.index(b'"', start)]
    return unique_name + b'"' in configuration


def _event(operation: Operation) -> Event:
    """Convert a client's operation into an event of the linearizability check."""
    if operation.returned_us is None:
        return Event(operation.kind, operation.called_us, UNANSWERED, operation.version, operation.base, None)
    return Event(
        operation.kind,
        operation.called_us,
        operation.returned_us,
        operation.version,
        operation.base,
        operation.status == 200,
    )
