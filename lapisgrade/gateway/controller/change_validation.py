"""Validates a configuration change against the newest version. Pure.

A change states the version that it produces, which must be above the newest, and in `Base` the version that
it was derived from, which must be the newest (optimistic concurrency control). A duplicate of an applied
change succeeds again, as long as the digest of the change is remembered.
"""

from http import HTTPStatus
from typing import Any

import msgspec

from lapisgrade.errors import LapisgradeError
from lapisgrade.gateway import configuration, configuration_change
from lapisgrade.gateway.configuration_values import check_integer, check_values
from lapisgrade.gateway.controller.commands import ConfigurationChange
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.operations.table import ClaimResult


class ApplyResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of applying a command.

    Attributes:
        status: The HTTP status.
        reason: Why the command failed; empty on success.
        claim_results: The results of the claims of a `ClaimOperations`, in order; None for other commands.
    """

    status: int
    reason: str = ""
    claim_results: list[ClaimResult] | None = None

    @property
    def changes_only_operations(self) -> bool:
        """Whether the command changed nothing but the operation table, which is not sent to watchers."""
        return self.claim_results is not None


class ValidatedChange(msgspec.Struct, frozen=True):
    """The result of a validation.

    Attributes:
        result: The result for the caller.
        configuration: The resulting configuration as JSON; None if there is nothing to apply, because the
            change is invalid or was applied before.
        version: The version of the resulting configuration.
    """

    result: ApplyResult
    configuration: bytes | None = None
    version: int = 0


class _RefusedChangeError(LapisgradeError):
    """A change is refused with an HTTP status; the message is the reason for the operator."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        super().__init__(message)
        self.status = status


def validate_change(state: State, change: ConfigurationChange) -> ValidatedChange:
    """Validate a change against the state, and return the configuration that it produces."""
    try:
        fields = _decode(change)
        version, base = _version_numbers(fields)
        if version in state.applied_changes and state.applied_changes[version] == change.digest:
            return ValidatedChange(ApplyResult(HTTPStatus.OK))
        _check_version(state, version, base)
        result = _make_configuration(state, change, fields)
        if base != state.version:
            raise stale_base_error(state, base)
    except _RefusedChangeError as error:
        return ValidatedChange(ApplyResult(error.status, str(error)))
    return ValidatedChange(ApplyResult(HTTPStatus.OK), msgspec.json.encode(result), version)


def check_storable(change: ConfigurationChange) -> ApplyResult:
    """Return 400 if a new change has values that can't be stored and read back, else 200.

    Entries of earlier releases are not checked: what they changed stays valid.
    """
    try:
        fields = _decode(change)
        check_values(fields)
        check_integer("Ver", _version_numbers(fields)[0])
    except _RefusedChangeError as error:
        return ApplyResult(error.status, str(error))
    except InvalidInputError as error:
        return ApplyResult(HTTPStatus.BAD_REQUEST, str(error))
    return ApplyResult(HTTPStatus.OK)


def oversized_result(size: int) -> ApplyResult:
    """Return the result for a configuration of `size` bytes, which is more than is accepted."""
    return ApplyResult(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        f"the configuration would have {size} bytes, at most {configuration.MAX_BYTES} are accepted",
    )


def stale_base_error(state: State, base: int) -> LapisgradeError:
    """Return the error for a change whose base is not the newest version."""
    return _RefusedChangeError(
        HTTPStatus.PRECONDITION_FAILED, f"version {state.version} is in force, not {base}"
    )


def _decode(change: ConfigurationChange) -> dict[str, Any]:
    """Return the JSON object in a change."""
    if len(change.body) > configuration.MAX_BYTES:
        raise _RefusedChangeError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the configuration is too long")
    try:
        fields = msgspec.json.decode(change.body)
    except (msgspec.MsgspecError, RecursionError):
        raise _RefusedChangeError(HTTPStatus.BAD_REQUEST, "the body is not whole JSON") from None
    if not isinstance(fields, dict):
        raise _RefusedChangeError(HTTPStatus.BAD_REQUEST, "a configuration is an object")
    return fields


def _version_numbers(fields: dict[str, Any]) -> tuple[int, int]:
    """Return the version and the base of a change."""
    version, base = fields.get("Ver"), fields.get("Base", 0)
    if type(version) is not int or type(base) is not int:  # excludes bool, a subclass of int
        raise _RefusedChangeError(HTTPStatus.BAD_REQUEST, "Ver and Base are whole numbers")
    return version, base


def _check_version(state: State, version: int, base: int) -> None:
    """Check that the version of a change is above the newest.

    Raises:
        _RefusedChangeError: With 504 if the version's digest is forgotten, so that a duplicate can't be told
            from another change; with 412 if the base is not the newest version either; otherwise with 400.
    """
    if 0 < version <= state.forgotten_version:
        raise _RefusedChangeError(
            HTTPStatus.GATEWAY_TIMEOUT, f"whether version {version} was this change is not known any more"
        )
    if version <= state.version:
        status = HTTPStatus.PRECONDITION_FAILED if base != state.version else HTTPStatus.BAD_REQUEST
        raise _RefusedChangeError(
            status, f"version {version} is not above {state.version}, which is in force"
        )


def _make_configuration(state: State, change: ConfigurationChange, fields: dict[str, Any]) -> dict[str, Any]:
    """Return the valid configuration that results from applying the change to the newest one."""
    try:
        if change.replaces_all:
            result = {name: value for name, value in fields.items() if name != "Base"}
        else:
            current = msgspec.json.decode(state.configuration) if state.configuration else {}
            result = configuration_change.apply_change(current, fields)
        configuration.read(result)  # raises if the result is invalid
    except (InvalidInputError, KeyError, TypeError, AttributeError) as error:
        raise _RefusedChangeError(HTTPStatus.BAD_REQUEST, str(error)) from None
    return result
