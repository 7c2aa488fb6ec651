"""The text of the wire: lines to fields, fields to values, actions to lines."""

from typing import NoReturn

from lapisgrade.interface import (
    Category,
    Desk,
    Duties,
    Entry,
    Group,
    Leave,
    Listed,
    Outcome,
    Plan,
    Post,
    Repeat,
    Tally,
)

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
REPEATS = {
    "repeatable": Repeat.IDEMPOTENT,
    "by_key": Repeat.DEDUPLICATED,
    "once": Repeat.UNREPEATABLE,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
FORMS = ("update", "replace", "restored", "unavailable")


class WireError(Exception):
    """A line that breaks the wire."""


class Fields(dict):
    """The name=value pairs of one line, read with the defaults that the wire states."""

    __slots__ = ()

    def text(self, name: str) -> str:
        value = self.get(name)
        if value is None or value == "":
            raise WireError(f"{name} is missing")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.get(name)
        if value is None:
            if default is not None:
                return default
            raise WireError(f"{name} is missing")
        try:
            return int(value)
        except ValueError:
            raise WireError(f"{name} is not a whole number: {value!r}") from None

    def number(self, name: str, default: float = 0.0) -> float:
        value = self.get(name)
        if value is None:
            return default
        try:
            number = float(value)
        except ValueError:
            raise WireError(f"{name} is not a number: {value!r}") from None
        if number - number != 0.0:
            raise WireError(f"{name} is not a finite number: {value!r}")
        return number

    def micros(self, name: str, default_ms: float = 0.0) -> int:
        return round(self.number(name, default_ms) * 1000)

    def flag(self, name: str, default: bool = False) -> bool:
        value = self.get(name)
        if value is None:
            return default
        if value in ("1", "true"):
            return True
        if value in ("0", "false"):
            return False
        raise WireError(f"{name} is neither true nor false: {value!r}")

    def among(self, name: str, table: dict, default: str | None = None):
        value = self.get(name, default)
        if value is None:
            raise WireError(f"{name} is missing")
        if value not in table:
            raise WireError(f"{name} is unknown: {value!r}")
        return table[value]


def parse(line: str) -> tuple[str, Fields]:
    """The message name and its fields."""
    name, _, rest = line.partition(" ")
    fields = Fields()
    if rest:
        for part in rest.split(" "):
            key, mark, value = part.partition("=")
            if not mark or not key:
                raise WireError(f"{part!r} is not name=value")
            fields[key] = value
    return name, fields


def load_report(text: str | None) -> dict[str, float] | None:
    if not text or text == "-":
        return None
    report = Fields()
    for pair in text.split(","):
        name, mark, value = pair.partition(":")
        if not mark:
            raise WireError(f"Stats holds {pair!r}, not name:value")
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
    raise WireError(f"unknown message {name!r}")


# ---- what an instance is born with


def categories(info: Fields) -> list[Category]:
    made = []
    for i in range(info.whole("RequestClasses.count", 0)):
        at = f"RequestClasses.{i}."
        hard_stop = info.micros(at + "Deadline", 1000.0)
        made.append(
            Category(
                name=info.text(at + "Name"),
                repeat=info.among(at + "Idempotency", REPEATS, "once"),
                quoted_us=info.micros(at + "Aim", hard_stop / 1000),
                hard_stop_us=hard_stop,
                payoff=info.number(at + "Worth", 1.0),
                late_payoff=info.number(at + "LateWorth"),
                group=info.among(at + "Group", GROUPS, "cell"),
                remembered_us=info.micros(at + "KeyTtl"),
                streamed=info.flag(at + "Streaming"),
            )
        )
    return made


def plans(info: Fields) -> list[Plan]:
    made = []
    for i in range(info.whole("TiersOfService.count", 0)):
        at = f"TiersOfService.{i}."
        made.append(
            Plan(
                name=info.text(at + "Name"),
                rate=info.number(at + "UnitsPerS"),
                burst=info.number(at + "Burst"),
                price=info.number(at + "WorthFactor", 1.0),
                beyond_earns=info.number(at + "BeyondEarns"),
                beyond_costs=info.number(at + "ExcessCost"),
                open_cap=info.whole(at + "MaxOut", 0),
                ceiling_rate=info.number(at + "NeverOverRate"),
                ceiling_burst=info.number(at + "CeilingBurst"),
                ceiling_slack=info.number(at + "CapSlack"),
            )
        )
    return made


def duties(info: Fields) -> Duties:
    return Duties(
        drain_grace_us=info.micros("Rules.DrainGrace"),
        cold_us=info.micros("Rules.Cold"),
        cold_from=info.number("Rules.ColdFrom", 1.0),
        fall_us=info.micros("Rules.Fall"),
        fall_multiple=info.number("Rules.FallMultiple", 1.0),
    )


def leave(info: Fields) -> Leave:
    advice = info.micros("Ceilings.MaxRetryAfter") if info.flag("Ceilings.RetryAfter") else 0
    return Leave(
        hops=info.whole("Ceilings.AttemptsCap", 1),
        cancel=info.flag("Ceilings.Cancel"),
        second_copies=info.flag("Ceilings.ParallelTries"),
        probes=info.flag("Ceilings.Probes"),
        longest_advice_us=advice,
    )


def post(info: Fields) -> Post:
    return Post(info.whole("SelfIndex", 0), max(1, info.whole("NInstances", 1)), info.get("Zone", ""))


def desk(info: Fields) -> Desk:
    return Desk(info.flag("Specifics.SharedCounter"), info.micros("Specifics.CountLimit"))
