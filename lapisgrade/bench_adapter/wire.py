"""The text of the wire: lines to fields, fields to values, actions to lines."""

from typing import NoReturn

from lapisgrade.interface import AttemptOutcome, CounterOutcome, ServerEndpoint, ServerState
from lapisgrade.settings import Fields, MalformedInputError

OUTCOMES = {
    "200": AttemptOutcome.OK,
    "500": AttemptOutcome.ERROR,
    "503": AttemptOutcome.OVERLOADED,
    "504": AttemptOutcome.TIMED_OUT,
    "502": AttemptOutcome.CONNECT_FAILED,
    "598": AttemptOutcome.CONNECTION_LOST,
    "499": AttemptOutcome.CANCELLED,
    "410": AttemptOutcome.NOT_SENT,
}
COUNTER_OUTCOMES = {
    "200": CounterOutcome.ADDED,
    "503": CounterOutcome.REJECTED,
    "502": CounterOutcome.REJECTED,
    "504": CounterOutcome.TIMED_OUT,
}
SERVER_STATES = {"IN": ServerState.READY, "LAME": ServerState.DRAINING, "OUT": ServerState.REMOVED}
TOPOLOGY_FORMS = ("update", "replace", "restored", "unavailable")


def parse(line: str) -> tuple[str, Fields]:
    """The message name and its fields."""
    name, _, rest = line.partition(" ")
    fields = Fields()
    if rest:
        for part in rest.split(" "):
            key, mark, value = part.partition("=")
            if not mark or not key:
                raise MalformedInputError(f"{part!r} is not name=value")
            fields[key] = value
    return name, fields


def load_report(text: str | None) -> dict[str, float] | None:
    if not text or text == "-":
        return None
    report = Fields()
    for pair in text.split(","):
        name, mark, value = pair.partition(":")
        if not mark:
            raise MalformedInputError(f"Stats holds {pair!r}, not name:value")
        report[name] = value
    return {name: report.number(name) for name in report}


def read_endpoint(fields: Fields) -> ServerEndpoint:
    return ServerEndpoint(
        address=fields.text("Server"),
        state=fields.choice("Availability", SERVER_STATES, "IN"),
        zone=fields.get("FailureDomain", ""),
        cell=fields.integer("Bay", 0),
        weight=fields.number("Heft", 1.0),
        shape=fields.get("Shape", ""),
        started_us=fields.duration_us("CameUp"),
    )


def format_ms(us: int) -> str:
    return f"{us / 1000:.3f}"


def reject_unknown_message(name: str) -> NoReturn:
    raise MalformedInputError(f"unknown message {name!r}")
