"""Parses the limiter's request header fields into an operation.

    X-Priority-Class: NAME                      the category
    X-Plan: NAME                                the customer's plan
    X-Customer: 16 hex digits                   the customer
    X-Quota: units=U, spread=N, first=K         the cost, and the limiters that share the customer's quota
    X-Timeout: SECONDS                          the client's time-out
    X-Request-ID: 1 to 128 visible characters
    Idempotency-Key: KEY                        for categories in which servers deduplicate by key
    X-Retried: 1                                the request is a retry by the client

A request with an invalid field is answered with status 400 and not executed.
"""

import re
from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from lapisgrade.interface import Category, Operation, Plan, RepeatSafety
from lapisgrade.net import SECOND
from lapisgrade.net.events import ClientRequest
from lapisgrade.net.http import MalformedMessageError, Message
from lapisgrade.net.response_writer import ResponseWriter

_CUSTOMER = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 16 hex digits of a number below 2 ** 33
_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_QUOTA = re.compile(rb" *units=(\d{1,9}(?:\.\d{1,6})?) *, *spread=(\d{1,9}) *, *first=(\d{1,9}) *")
_TIMEOUT = re.compile(rb"\d{1,6}(?:\.\d{1,9})?")
_METHODS = {
    RepeatSafety.IDEMPOTENT: b"GET",
    RepeatSafety.DEDUPLICATED: b"POST",
    RepeatSafety.NON_IDEMPOTENT: b"POST",
}
_CONFLICT = 409
_MAX_SHOWN_BYTES = 80  # bytes of an invalid value to include in the error message


@dataclass(slots=True)
class _Quota:
    """The X-Quota header field."""

    units: float  # cost of the operation
    spread: int  # number of limiters that share the customer's quota
    first: int  # index of the first of these limiters


class RequestParser:
    """Converts requests to operations, with the configured categories and plans."""

    def __init__(
        self, categories: list[Category], plans: list[Plan], limiter_count: int, max_units: float
    ) -> None:
        """Create a parser for `limiter_count` limiters in all and at most `max_units` per operation."""
        self._categories = {each.name.encode(): each for each in categories}
        self._plans = {each.name.encode(): each for each in plans}
        self._limiter_count = limiter_count
        self._max_units = max_units

    def parse(
        self, client: ResponseWriter, message: Message, now_us: int, open_request_ids: Container[bytes]
    ) -> Operation:
        """Return the operation for a request.

        Raises:
            MalformedMessageError: A field is missing or invalid, or a request with this id is in flight.
        """
        headers = message.headers()
        category: Category = _look_up_field(self._categories, headers, b"x-priority-class")
        plan: Plan = _look_up_field(self._plans, headers, b"x-plan")
        customer = _match_field(headers, b"x-customer", _CUSTOMER)[0].decode().lower()
        quota = self._quota(headers)
        timeout_s = float(_match_field(headers, b"x-timeout", _TIMEOUT)[0])
        request_id = _match_field(headers, b"x-request-id", _REQUEST_ID)[0]
        key = headers.get(b"idempotency-key")
        self._check_quota(quota)
        if timeout_s <= 0:
            raise MalformedMessageError("x-timeout must be greater than 0")
        _check_method_and_key(category, message, key)
        # With two requests of one id, a response could be matched to the wrong request, and servers would
        # receive a duplicate.
        if request_id in open_request_ids:
            raise MalformedMessageError("a request with this x-request-id is in flight", _CONFLICT)
        return Operation(
            customer=customer,
            plan=plan,
            category=category,
            units=quota.units,
            arrived_us=now_us,
            deadline_us=now_us + min(round(timeout_s * SECOND), category.timeout_us),
            sharing_limiter_count=quota.spread,
            first_limiter_index=quota.first,
            is_client_retry=headers.get(b"x-retried") == b"1",
            handle=ClientRequest(
                client,
                message.head.method,
                message.head.target,
                headers.get(b"host", b""),
                request_id,
                key,
                message.body,
            ),
        )

    def _quota(self, headers: dict[bytes, bytes]) -> _Quota:
        units, spread, first = _match_field(headers, b"x-quota", _QUOTA).groups()
        return _Quota(float(units), int(spread), int(first))

    def _check_quota(self, quota: _Quota) -> None:
        if not 0 < quota.units <= self._max_units:
            raise MalformedMessageError(
                f"x-quota: units={quota.units:g} must be greater than 0 and at most {self._max_units:g}"
            )
        if not (1 <= quota.spread <= self._limiter_count and quota.first < self._limiter_count):
            raise MalformedMessageError(
                f"x-quota: spread={quota.spread}, first={quota.first} is out of range for"
                f" {self._limiter_count} limiters"
            )


def _check_method_and_key(category: Category, message: Message, key: bytes | None) -> None:
    """Check that the method and the idempotency key are valid for the category."""
    method = message.head.method
    if method != _METHODS[category.repeat_safety] or (message.size and method == b"GET"):
        raise MalformedMessageError(
            f"method {method[:_MAX_SHOWN_BYTES]!r} with a body of {message.size} bytes is not allowed for"
            " this x-priority-class"
        )
    if not key and category.repeat_safety is RepeatSafety.DEDUPLICATED:
        raise MalformedMessageError("idempotency-key is required for this x-priority-class")


def _match_field(headers: dict[bytes, bytes], name: bytes, form: re.Pattern[bytes]) -> re.Match[bytes]:
    value = headers.get(name, b"")
    match = form.fullmatch(value)
    if match is None:
        raise MalformedMessageError(f"{name.decode()} is missing or invalid: {value[:_MAX_SHOWN_BYTES]!r}")
    return match


def _look_up_field(table: dict[bytes, Any], headers: dict[bytes, bytes], name: bytes) -> Any:
    value = headers.get(name, b"")
    if value not in table:
        raise MalformedMessageError(f"{name.decode()} is not configured: {value[:_MAX_SHOWN_BYTES]!r}")
    return table[value]
