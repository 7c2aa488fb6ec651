"""One sending of an operation to one server."""

from __future__ import annotations

from typing import Any

from lapisgrade.interface import Operation


class Attempt:
    """One sending of an operation to one server; handed to the host with `Send`."""

    __slots__ = ("is_in_flight", "number", "operation", "sent_us", "server")

    def __init__(self, operation: Operation, server: Any, number: int, sent_us: int) -> None:
        """Create an attempt that starts now.

        Args:
            operation: What is sent.
            server: The policy's own record of the server; it has an `address`.
            number: Counts the operation's attempts, from 0.
            sent_us: The present time.
        """
        self.operation = operation
        self.server = server
        self.number = number
        self.sent_us = sent_us
        self.is_in_flight = True
