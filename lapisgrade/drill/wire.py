"""The text of the wire: lines to fields, fields to values, actions to lines."""

from typing import NoReturn

from lapisgrade.interface import Entry, Listed, Outcome, Tally
from lapisgrade.start import Fields, Malformed

OUTCOMES = {
    "200": Outcome.OK,
    "500": Outcome.ERROR,
    "503": Outcome.FULL,
    "504": Outcome.TIMED_OUT,
    "502": Outcome.NO_CONNECTION,
    "598": Outcome.BROKEN,
    "499": Outcome.CANCELLED,
    "410": Outcome.NEVER_SENT,
}
TALLIES = {"200": Tally.ADDED, "503": Tally.TURNED_AWAY, "502": Tally.TURNED_AWAY, "504": Tally.SILENT}
STATES = {"IN": Listed.READY, "LAME": Listed.DRAINING, "OUT": Listed.GONE}
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


def entry(fields: Fields) -> Entry:
    return Entry(
        server=fields.text("Server"),
        state=fields.among("Availability", STATES, "IN"),
        zone=fields.get("FailureDomain", ""),
        cell=fields.whole("Bay", 0),
        size=fields.number("Heft", 1.0),
        shape=fields.get("Shape", ""),
        started_us=fields.micros("CameUp"),
    )


def ms(us: int) -> str:
    return f"{us / 1000:.3f}"


def unknown(name: str) -> NoReturn:
    raise Malformed(f"unknown message {name!r}")
