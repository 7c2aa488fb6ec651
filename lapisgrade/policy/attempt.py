"""An attempt: an operation sent once to one server."""

from __future__ import annotations

from typing import Any

from lapisgrade.interface import Operation


class Attempt:
    """An operation sent once to one server; passed to the host with `Send`."""

    __slots__ = ("is_in_flight", "number", "operation", "sent_us", "server")

    def __init__(self, operation: Operation, server: Any, number: int, sent_us: int) -> None:
        """Create an attempt that starts now.

        Args:
            operation: The operation to send.
            server: The policy's record of the server; has an `address`.
            number: The attempt's index within the operation, from 0.
            sent_us: The current time.
        """
        self.operation = operation
        self.server = server
        self.number = number
        self.sent_us = sent_us
        self.is_in_flight = True
