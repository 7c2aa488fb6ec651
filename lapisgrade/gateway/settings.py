"""The settings file of one process: its records (attrs), and how it is read and checked (cattrs).

The fields of the records bear the file's own keys in lower case (`MemMb` is `mem_mb`), as messages about
faults name them. Unknown keys are ignored. Times are microseconds.
"""

import os
import re
from collections.abc import Callable
from typing import Any

import cattrs
import msgspec
from attrs import define, fields, has
from cattrs.gen import make_dict_structure_fn, override
from cattrs.v import format_exception

from lapisgrade.gateway.errors import InvalidInputError, SettingsError

PATH_VARIABLE = "LAPISGRADE_SETTINGS"  # the environment variable that names the file
DEFAULT_PATH = "/etc/lapisgrade/node.json"
MAX_PORT = 65_535
MAX_FAULTS = 5  # that one message names
MAX_MESSAGE_LENGTH = 500  # characters
MAX_SHOWN_LENGTH = 60  # characters of a value in a message


class Span(int):
    """A duration in us; in files a number and its unit, `ms` or `s`."""


class Address(tuple[str, int]):
    """An IP address and a port; in files `10.0.0.4:8407`."""

    def __str__(self) -> str:
        """Return the address as files have it."""
        return f"{self[0]}:{self[1]}"


@define(frozen=True, slots=True)
class Bind:
    """Where a process listens; None for what its role does not serve.

    Attributes:
        http: For clients.
        readyz: For the platform's readiness checks.
        ctl: For calls of servers and operators.
    """

    http: Address | None = None
    readyz: Address | None = None
    ctl: Address | None = None


@define(frozen=True, slots=True)
class Caps:
    """What the machine has.

    Attributes:
        nofile: File descriptors that a process may open.
        mem_mb: Memory, in MB.
        cpu: The share of a core.
    """

    nofile: int = 1024
    mem_mb: int = 256
    cpu: float = 1.0


@define(frozen=True, slots=True)
class Slo:
    """The service's objectives, with their figures as agreed.

    Attributes:
        drain: How long a draining server still answers.
        grace: How long a process may take to shut down.
        contact: How long a proxy may act without hearing from the controllers.
        retry_ratio: Retries allowed, as a part of the requests in `retry_window`.
        retry_window: The window of the retry budget.
        retry_extra: Retries allowed in the window beside that.
        quota_win: The window in which a quota's excess is measured.
        quota_excess: The part by which a quota may be exceeded in the window.
        quota_extra: Requests by which it may be exceeded beside that.
        key_win: The window in which attempts with one operation key are one operation.
    """

    drain: Span = Span(2_500_000)
    grace: Span = Span(6_000_000)
    contact: Span = Span(3_000_000)
    retry_ratio: float = 0.2
    retry_window: Span = Span(10_000_000)
    retry_extra: float = 20.0
    quota_win: Span = Span(5_000_000)
    quota_excess: float = 0.1
    quota_extra: float = 20.0
    key_win: Span = Span(60_000_000)


@define(frozen=True, slots=True)
class Settings:
    """What a process is told when it starts.

    Attributes:
        hostname: The machine's name.
        ip: The machine's address.
        az: The failure domain that it stands in.
        bind: Where the process listens for others than the gateway's own processes.
        portrange: The first and last port that the gateway's own processes may use.
        peers: Where the first controllers take calls.
        bootstrap: Whether this start may found a new cluster.
        quorum: Whether a controller runs on this machine.
        datadir: Where a controller stores its log; empty for one without a disk.
        heartbeat: The interval between a server's heartbeats.
        caps: What the machine has.
        slo: The service's objectives.
    """

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

    def internal_address(self, role_number: int) -> Address:
        """Return where the process of that role on this machine listens for the gateway's own processes."""
        return Address((self.ip, self.portrange[0] + role_number))


def parse_span(text: Any, _: type = Span) -> Span:
    """Return `1500ms` or `2.5s` as a duration.

    Raises:
        ValueError: The text is no duration.
    """
    found = re.fullmatch(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)", text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is not a time such as 1500ms or 2.5s")
    return Span(round(float(found[1]) * (1_000 if found[2] == "ms" else 1_000_000)))


def parse_address(text: Any, _: type = Address) -> Address:
    """Return `10.0.0.4:8407` as an address.

    Raises:
        ValueError: The text is no address.
    """
    host, _separator, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address such as 10.0.0.4:8407")
    return Address((host, int(port)))


def wire_name(name: str) -> str:
    """Return the key of a field in files: `RetryRatio` for `retry_ratio`."""
    return "".join(part.capitalize() for part in name.split("_"))


def strict_converter() -> cattrs.Converter:
    """Return a converter that reads JSON values strictly: no text for a number, no number for a switch."""
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=False)
    converter.register_structure_hook(Span, parse_span)
    converter.register_structure_hook(Address, parse_address)
    converter.register_structure_hook(int, _exact_hook(int))
    converter.register_structure_hook(float, _exact_hook(float, int))
    converter.register_structure_hook(str, _exact_hook(str))
    converter.register_structure_hook(bool, _exact_hook(bool))
    converter.register_structure_hook_factory(has, lambda kind: _record_hook(converter, kind))
    return converter


def _exact_hook(kind: type, *also_accepted: type) -> Callable[[Any, type], Any]:
    """Return a hook that takes values of exactly those types."""

    def check(value: Any, _: type) -> Any:
        if type(value) not in (kind, *also_accepted):
            raise ValueError(f"{str(value)[:MAX_SHOWN_LENGTH]!r} is not of the kind {kind.__name__}")
        return value

    return check


def _record_hook(converter: cattrs.Converter, kind: type) -> Callable[..., Any]:
    """Return a hook that reads a record whose fields have their keys of the wire."""
    overrides: dict[str, Any] = {
        each.name: override(rename=each.metadata.get("wire", wire_name(each.name))) for each in fields(kind)
    }
    return make_dict_structure_fn(kind, converter, **overrides)


def _describe_fault(error: BaseException, kind: type | None) -> str:
    """Return what a record's validator or a hook says is wrong, in its own words."""
    is_own = isinstance(error, ValueError) and not isinstance(error, UnicodeError)
    return str(error) if is_own else format_exception(error, kind)


def structure(
    converter: cattrs.Converter,
    raw: Any,
    kind: type,
    error_type: type[InvalidInputError] = InvalidInputError,
) -> Any:
    """Return `raw` as a record of `kind`.

    Raises:
        InvalidInputError: It is none; of `error_type`, with the first few mistakes and their places.
    """
    try:
        return converter.structure(raw, kind)
    except Exception as error:
        try:
            faults = cattrs.transform_error(error, format_exception=_describe_fault)
            message = "; ".join(faults[:MAX_FAULTS])
        except Exception:
            message = str(error)
        raise error_type(message[:MAX_MESSAGE_LENGTH] or type(error).__name__) from None


def decode_object(text: bytes, what: str) -> dict[str, Any]:
    """Return the JSON object in a file; `what` it should be is for people.

    Raises:
        InvalidInputError: The file holds none.
    """
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        raise InvalidInputError(f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidInputError(f"{what} is an object")
    return raw


def read(path: str | None = None) -> Settings:
    """Return the settings in a file, by default the one that the environment names.

    Raises:
        SettingsError: The file can't be read or accepted.
    """
    path = path or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read())
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{path}: not an object")
    raw = {key: value for key, value in raw.items() if value is not None}  # null: the machine has none
    try:
        settings: Settings = structure(strict_converter(), raw, Settings)
    except InvalidInputError as error:
        raise SettingsError(f"{path}: {error}") from None
    return settings
