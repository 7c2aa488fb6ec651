"""Sums the counters that the limiters of a fleet print to their logs.

A limiter prints `HH:MM:SS NAME: counts: a 1, b 2` when it ends and on SIGUSR1, with its counts since its
start. A log may contain several incarnations of a limiter, that is processes one after another: a counter
that decreases indicates a restart. The logs that the benches keep with `--logs` have the same format.
"""

import re
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

_LINE = re.compile(r"(?P<at>\d\d:\d\d:\d\d) (?P<name>[^:\s]{1,200}): (?P<text>.*)")
_COUNT = re.compile(r"(?P<name>[^,]+?) (?P<value>\d{1,18})(?:, |$)")
_NUMBER = re.compile(r"\b[\d.:]*\d[\d.:]*\b")  # variable parts of a message
MAX_LINE_CHARACTERS = 100_000  # longer lines count as unrecognized


@dataclass(slots=True)
class FleetCounts:
    """Counters and messages in the logs.

    Attributes:
        limiters: Counters by limiter, summed over its incarnations.
        incarnations: Number of incarnations by limiter.
        messages: Number of other lines by message, with `#` for numbers.
        unrecognized: Number of lines that aren't in the format of a limiter.
    """

    limiters: dict[str, Counter[str]] = field(default_factory=dict)
    incarnations: Counter[str] = field(default_factory=Counter)
    messages: Counter[str] = field(default_factory=Counter)
    unrecognized: int = 0

    def total(self, name: str) -> int:
        """Return the sum of a counter over all limiters."""
        return sum(each[name] for each in self.limiters.values())

    def names(self) -> list[str]:
        """Return the names of all counters, sorted."""
        return sorted({name for each in self.limiters.values() for name in each})


def read(paths: list[str]) -> FleetCounts:
    """Read the counters of files, and of all files in folders.

    Raises:
        OSError: A file can't be read.
    """
    fleet = FleetCounts()
    for path in paths:
        location = Path(path)
        files = (
            sorted(each for each in location.rglob("*") if each.is_file())
            if location.is_dir()
            else [location]
        )
        for file in files:
            _read_file(file, fleet)
    return fleet


def _read_file(path: Path, fleet: FleetCounts) -> None:
    """Add the counters and messages of one log to `fleet`."""
    current: dict[str, Counter[str]] = {}  # by limiter: counters of the current incarnation
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            match = _LINE.fullmatch(line.rstrip("\n")) if len(line) <= MAX_LINE_CHARACTERS else None
            if match is None:
                fleet.unrecognized += bool(line.strip())
                continue
            name, text = match["name"], match["text"]
            if not text.startswith("counts: "):
                fleet.messages[_NUMBER.sub("#", text)[:160]] += 1
                continue
            counts = Counter({each["name"]: int(each["value"]) for each in _COUNT.finditer(text[8:])})
            before = current.get(name)
            if before is not None and any(counts[key] < value for key, value in before.items()):
                _add_incarnation(fleet, name, before)
            current[name] = counts
    for name, counts in current.items():
        _add_incarnation(fleet, name, counts)


def _add_incarnation(fleet: FleetCounts, name: str, counts: Counter[str]) -> None:
    fleet.incarnations[name] += 1
    fleet.limiters.setdefault(name, Counter()).update(counts)


def lines(fleet: FleetCounts, max_messages: int = 12) -> list[str]:
    """Return a summary as text lines: all counters, and the `max_messages` most frequent messages."""
    if not fleet.limiters:
        return [f"no counters of a limiter in the logs ({fleet.unrecognized} unrecognized lines)"]
    incarnations = sum(fleet.incarnations.values())
    text_lines = [f"{len(fleet.limiters)} limiters, {incarnations} incarnations"]
    text_lines.append(f"{'counter':40} {'all':>10} {'mean':>10} {'min':>8} {'max':>8}  max at")
    for name in fleet.names():
        values = {limiter: counts[name] for limiter, counts in fleet.limiters.items()}
        busiest = max(values, key=values.get)
        total = sum(values.values())
        text_lines.append(
            f"{name:40} {total:>10} {total / len(values):>10.1f} {min(values.values()):>8} "
            f"{values[busiest]:>8}  {busiest}"
        )
    for text, times in fleet.messages.most_common(max_messages):
        text_lines.append(f"{times:>8} x {text}")
    if fleet.unrecognized:
        text_lines.append(f"{fleet.unrecognized} unrecognized lines")
    return text_lines
