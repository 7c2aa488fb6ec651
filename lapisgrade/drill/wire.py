"""The text of the wire: lines to fields, fields to values, actions to lines."""

from typing import NoReturn

from lapisgrade.interface import AttemptOutcome, CounterOutcome, ServerEndpoint, ServerState
from lapisgrade.start import Fields, Malformed

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
TALLIES = {
    "200": CounterOutcome.ADDED,
    "503": CounterOutcome.REJECTED,
    "502": CounterOutcome.REJECTED,
    "504": CounterOutcome.TIMED_OUT,
}
STATES = {"IN": ServerState.READY, "LAME": ServerState.DRAINING, "OUT": ServerState.REMOVED}
FORMS = ("update", "replace", "restored", "unavailable")


def parse(line: str) -> tuple[str, Fields]:
    """The message name and its fields."""
    name, _, rest = line.partition(" ")
    fields = Fields()
    if rest:
        for part in rest.split(" "):
            key, mark, value = part.partition("=")
            if not mark or not key:
                raise Malformed(f"{part!r} is not name=value")
            fields[key] = value
    return name, fields


def load_report(text: str | None) -> dict[str, float] | None:
    if not text or text == "-":
        return None
    report = Fields()
    for pair in text.split(","):
        name, mark, value = pair.partition(":")
        if not mark:
            raise Malformed(f"Stats holds {pair!r}, not name:value")
        report[name] = value
    return {name: report.number(name) for name in report}


def entry(fields: Fields) -> ServerEndpoint:
    return ServerEndpoint(
        address=fields.text("Server"),
        state=fields.among("Availability", STATES, "IN"),
        zone=fields.get("FailureDomain", ""),
        cell=fields.whole("Bay", 0),
        weight=fields.number("Heft", 1.0),
        shape=fields.get("Shape", ""),
        started_us=fields.micros("CameUp"),
    )


def ms(us: int) -> str:
    return f"{us / 1000:.3f}"


def unknown(name: str) -> NoReturn:
    raise Malformed(f"unknown message {name!r}")
