"""What the rest of the limiter may ask of whoever carries a client's connection."""

from typing import Protocol


class ResponseWriter(Protocol):
    """A client that waits for the response to its request."""

    def respond(
        self, status: int, body: list[memoryview | bytes], size: int, header_lines: bytes = b""
    ) -> None:
        """Write the final response.

        Args:
            status: The status code.
            body: The body's slices.
            size: The bytes of all slices together.
            header_lines: Further header fields, each line ended by CRLF.
        """
