"""The settings file of one process: its records (attrs), parsing and validation (cattrs).

The fields of the records are the keys of the file in lower case (`MemMb` is `mem_mb`), as error messages
name them. Unknown keys are ignored. Times are in microseconds.
"""

import os
import re
from collections.abc import Callable, Mapping
from typing import Any

import cattrs
import msgspec
from attrs import define, field, fields, has
from cattrs.gen import make_dict_structure_fn, override
from cattrs.v import format_exception

from lapisgrade.gateway.errors import InvalidInputError, SettingsError

PATH_VARIABLE = "LAPISGRADE_SETTINGS"  # environment variable with the path of the file
DEFAULT_PATH = "/etc/lapisgrade/node.json"
MAX_PORT = 65_535
MAX_FAULTS = 5  # maximum number of faults in one message
MAX_MESSAGE_LENGTH = 500  # characters
MAX_SHOWN_LENGTH = 60  # maximum number of characters of a value in a message


class Span(int):
    """A duration in us; in files a number with the unit `ms` or `s`."""


class Address(tuple[str, int]):
    """An IP address and a port; in files as `10.0.0.4:8407`."""

    def __str__(self) -> str:
        """Return the address in the format of files."""
        return f"{self[0]}:{self[1]}"


@define(frozen=True, slots=True)
class Bind:
    """Addresses at which a process listens; None for those that its role does not serve.

    Attributes:
        http: Address for clients.
        readyz: Address for the platform's readiness checks.
        ctl: Address for calls of servers and operators.
    """

    http: Address | None = None
    readyz: Address | None = None
    ctl: Address | None = None


@define(frozen=True, slots=True)
class Caps:
    """Resources of the machine.

    Attributes:
        nofile: Maximum number of file descriptors per process.
        mem_mb: Memory, in MB.
        cpu: Processor share, in cores.
    """

    nofile: int = 1024
    mem_mb: int = 256
    cpu: float = 1.0


@define(frozen=True, slots=True)
class Slo:
    """The agreed service level objectives.

    Attributes:
        drain: Time for which a draining server still answers requests.
        grace: Maximum time for a process to shut down.
        contact: Maximum time for which a proxy may act without contact with the controllers.
        retry_ratio: Maximum number of retries in `retry_window`, as a fraction of the requests in it.
        retry_window: The window of the retry budget.
        retry_extra: Additional retries allowed in the window.
        quota_win: The window in which a quota's excess is measured.
        quota_excess: Fraction by which a quota may be exceeded in the window.
        quota_extra: Additional requests by which it may be exceeded.
        key_win: The window in which attempts with the same operation key are one operation.
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
class Faults:
    """The losses at one time that the deployment must tolerate: some machines, or zones, or regions.

    Attributes:
        nodes: Number of machines whose `quorum` is set.
        zones: Number of failure domains.
        regions: Number of regions.
    """

    nodes: int = 0
    zones: int = 0
    regions: int = 0


@define(frozen=True, slots=True)
class Settings:
    """The settings of a process.

    Attributes:
        hostname: The machine's name.
        ip: The machine's address.
        az: Its failure domain.
        bind: Addresses for clients, servers, operators and the platform.
        portrange: The first and last port for connections between the gateway's processes.
        peers: Control addresses of the initial controllers.
        bootstrap: Whether this process may bootstrap a new cluster.
        quorum: Whether this machine counts for `faults`; its controller has a disk and votes.
        datadir: Folder of a controller's log; empty if it has no disk.
        heartbeat: The interval between a server's heartbeats.
        caps: Resources of the machine.
        slo: Service level objectives.
        faults: The losses that must be tolerated.
        zones: The region of each failure domain.
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
    faults: Faults = Faults()
    zones: Mapping[str, str] = field(factory=dict)

    def internal_address(self, role_number: int) -> Address:
        """Return the address at which the process of the role listens for the gateway's own processes."""
        return Address((self.ip, self.portrange[0] + role_number))


def parse_span(text: Any, _: type = Span) -> Span:
    """Return `1500ms` or `2.5s` as a duration.

    Raises:
        ValueError: The text is not a duration.
    """
    found = re.fullmatch(r"(\d{1,12}(?:\.\d{1,9})?)(ms|s)", text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is not a time such as 1500ms or 2.5s")
    return Span(round(float(found[1]) * (1_000 if found[2] == "ms" else 1_000_000)))


def parse_address(text: Any, _: type = Address) -> Address:
    """Return `10.0.0.4:8407` as an address.

    Raises:
        ValueError: The text is not an address.
    """
    host, _separator, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address such as 10.0.0.4:8407")
    return Address((host, int(port)))


def is_valid_address(text: str) -> bool:
    """Return whether `parse_address` accepts the text."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def wire_name(name: str) -> str:
    """Return the key of a field in files: `RetryRatio` for `retry_ratio`."""
    return "".join(part.capitalize() for part in name.split("_"))


def strict_converter() -> cattrs.Converter:
    """Return a converter that does not coerce JSON values: no string as a number, no number as a boolean."""
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
    """Return a structure hook that accepts only values of exactly these types."""

    def check(value: Any, _: type) -> Any:
        if type(value) not in (kind, *also_accepted):
            raise ValueError(f"{str(value)[:MAX_SHOWN_LENGTH]!r} is not of the kind {kind.__name__}")
        return value

    return check


def _record_hook(converter: cattrs.Converter, kind: type) -> Callable[..., Any]:
    """Return a structure hook for a record that maps the wire keys to its fields."""
    overrides: dict[str, Any] = {
        attribute.name: override(rename=attribute.metadata.get("wire", wire_name(attribute.name)))
        for attribute in fields(kind)
    }
    return make_dict_structure_fn(kind, converter, **overrides)


def _describe_fault(error: BaseException, kind: type | None) -> str:
    """Return the message of a record's validator or a hook, or cattrs' description of another error."""
    is_validation_error = isinstance(error, ValueError) and not isinstance(error, UnicodeError)
    return str(error) if is_validation_error else format_exception(error, kind)


def structure(
    converter: cattrs.Converter,
    raw: Any,
    kind: type,
    error_type: type[InvalidInputError] = InvalidInputError,
) -> Any:
    """Return `raw` as a record of `kind`.

    Raises:
        InvalidInputError: `raw` is invalid. The error is of `error_type` and has up to `MAX_FAULTS` faults
            with their places.
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


def decode_object(text: bytes, content: str) -> dict[str, Any]:
    """Return the JSON object in a file; `content` describes it in error messages.

    Raises:
        InvalidInputError: The file is not a JSON object.
    """
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        raise InvalidInputError(f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidInputError(f"{content} is an object")
    return raw


def read(path: str | None = None) -> Settings:
    """Read the settings from a file, by default the one that the environment names.

    Raises:
        SettingsError: The file can't be read, or its content is invalid.
    """
    path = path or os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read())
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"{path}: not an object")
    # Null means that the machine has no such resource; the default applies.
    raw = {key: value for key, value in raw.items() if value is not None}
    try:
        settings: Settings = structure(strict_converter(), raw, Settings)
    except InvalidInputError as error:
        raise SettingsError(f"{path}: {error}") from None
    return settings
