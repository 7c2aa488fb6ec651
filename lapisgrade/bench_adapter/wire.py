"""The bench's text format: parses lines into fields and fields into values, and formats values."""

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


def parse_message(line: str) -> tuple[str, Fields]:
    """Parse a line into the message's name and fields.

    Raises:
        MalformedInputError: A part after the name is not `name=value`.
    """
    name, _, rest = line.partition(" ")
    fields = Fields()
    if rest:
        for part in rest.split(" "):
            key, separator, value = part.partition("=")
            if not separator or not key:
                raise MalformedInputError(f"{part!r} is not name=value")
            fields[key] = value
    return name, fields


def parse_server_load(text: str | None) -> dict[str, float] | None:
    """Parse a server's load report, `name:value,name:value`; returns None if there is none."""
    if not text or text == "-":
        return None
    report = Fields()
    for pair in text.split(","):
        name, separator, value = pair.partition(":")
        if not separator:
            raise MalformedInputError(f"Stats entry {pair!r} is not name:value")
        report[name] = value
    return {name: report.number(name) for name in report}


def read_endpoint(fields: Fields) -> ServerEndpoint:
    """Read a server from the fields of an endpoint list's row."""
    return ServerEndpoint(
        address=fields.text("Server"),
        state=fields.choice("Availability", SERVER_STATES, "IN"),
        zone=fields.get("FailureDomain", ""),
        cell=fields.integer("Bay", 0),
        weight=fields.number("Heft", 1.0),
        shape=fields.get("Shape", ""),
        started_us=fields.duration_us("CameUp"),
    )


def format_ms(duration_us: int) -> str:
    """Format a time in ms, as the bench expects."""
    return f"{duration_us / 1000:.3f}"
