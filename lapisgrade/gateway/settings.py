"""The settings file of one process: records (attrs), reading and checks (cattrs). Unknown fields are ignored;
what is wrong is told in one line with its place, and the process ends with code 2."""

import os
import re
from typing import Any

import cattrs
import msgspec
from attrs import define, fields, has
from cattrs.v import format_exception
from cattrs.gen import make_dict_structure_fn, override

from lapisgrade.gateway.errors import InvalidInputError, SettingsError

VARIABLE, PLACE = "LAPISGRADE_SETTINGS", "/etc/lapisgrade/node.json"


class Span(int):
    """A time in us; on the wire a number and its unit, `ms` or `s`."""


class Address(tuple):
    """An IP address and a port; on the wire `10.0.0.4:8407`."""

    def __str__(self) -> str:
        return f"{self[0]}:{self[1]}"


@define(frozen=True, slots=True)
class Bind:
    http: Address | None = None
    readyz: Address | None = None
    ctl: Address | None = None


@define(frozen=True, slots=True)
class Caps:
    """What the machine has. `nofile` counts descriptors, `cpu` is a share of a core."""

    nofile: int = 1024
    mem_mb: int = 256
    cpu: float = 1.0


@define(frozen=True, slots=True)
class Slo:
    """The figures of the rules in force; times in us."""

    drain: Span = Span(2_500_000)
    grace: Span = Span(6_000_000)
    contact: Span = Span(3_000_000)
    retry_ratio: float = 0.2
    retry_window: Span = Span(10_000_000)
    retry_extra: float = 20.0
    quota_win: Span = Span(5_000_000)
    quota_excess: float = 0.1
    quota_extra: float = 20.0


@define(frozen=True, slots=True)
class Settings:
    hostname: str
    ip: str
    az: str
    bind: Bind
    portrange: tuple[int, int]
    peers: tuple[Address, ...] = ()
    bootstrap: bool = False
    quorum: bool = False
    datadir: str = ""
    heartbeat: Span = Span(1_500_000)
    caps: Caps = Caps()
    slo: Slo = Slo()

    def inner(self, turn: int) -> Address:
        """Where the process of role number `turn` on this machine listens for the system's own talk."""
        return Address((self.ip, self.portrange[0] + turn))


def span(text: Any, _: type = Span) -> Span:
    """`1500ms` or `2.5s` in us; ValueError for anything else."""
    found = re.fullmatch(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)", text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is not a time such as 1500ms or 2.5s")
    return Span(round(float(found[1]) * (1_000 if found[2] == "ms" else 1_000_000)))


def address(text: Any, _: type = Address) -> Address:
    """`10.0.0.4:8407` as host and port; ValueError for anything else."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not an address such as 10.0.0.4:8407")
    return Address((host, int(port)))


def camel(name: str) -> str:
    """How the wire writes a field: `retry_ratio` is `RetryRatio`."""
    return "".join(part.capitalize() for part in name.split("_"))


def checker() -> cattrs.Converter:
    """A converter that reads JSON values strictly: no text for a number, no number for a switch."""
    conv = cattrs.Converter(detailed_validation=True, forbid_extra_keys=False)
    conv.register_structure_hook(Span, span)
    conv.register_structure_hook(Address, address)

    def exact(kind: type, *also: type):
        def hook(value: Any, _: type) -> Any:
            if type(value) not in (kind, *also):
                raise ValueError(f"{str(value)[:60]!r} is not of the kind {kind.__name__}")
            return value

        return hook

    for kind, also in ((int, ()), (float, (int,)), (str, ()), (bool, ())):
        conv.register_structure_hook(kind, exact(kind, *also))
    conv.register_structure_hook_factory(
        has,
        lambda cls: make_dict_structure_fn(
            cls,
            conv,
            **{
                each.name: override(rename=each.metadata.get("wire", camel(each.name)))
                for each in fields(cls)
            },
        ),
    )
    return conv


def told(wrong: BaseException, kind: type | None) -> str:
    """What a record or a hook says is wrong, in its own words."""
    own = isinstance(wrong, ValueError) and not isinstance(wrong, UnicodeError)
    return str(wrong) if own else format_exception(wrong, kind)


def take(conv: cattrs.Converter, raw: Any, kind: type) -> Any:
    """`raw` as a record of `kind`; InvalidInputError with each mistake and its place."""
    try:
        return conv.structure(raw, kind)
    except Exception as wrong:
        try:
            words = "; ".join(cattrs.transform_error(wrong, format_exception=told)[:5])
        except Exception:
            words = str(wrong)
        raise InvalidInputError(words[:500] or type(wrong).__name__) from None


def an_object(text: bytes, what: str) -> dict:
    """The JSON object in a file; InvalidInputError where it holds none. `what` it should be is for people."""
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as wrong:
        raise InvalidInputError(f"not JSON: {wrong}") from None
    if not isinstance(raw, dict):
        raise InvalidInputError(f"{what} is an object")
    return raw


def read(path: str | None = None) -> Settings:
    """The settings in the file that the environment names; InvalidInputError where they can't be taken."""
    path = path or os.environ.get(VARIABLE, PLACE)
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read())
    except (OSError, msgspec.MsgspecError) as wrong:
        raise SettingsError(f"{path}: {wrong}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{path}: not an object")
    raw = {name: each for name, each in raw.items() if each is not None}  # a machine without it says null
    try:
        return take(checker(), raw, Settings)
    except InvalidInputError as wrong:
        raise SettingsError(f"{path}: {wrong}") from None
