"""Interface of a client connection to the rest of the limiter."""

from typing import Protocol


class ResponseWriter(Protocol):
    """A client connection that awaits the response to its request."""

    def respond(
        self, status: int, body: list[memoryview | bytes], size: int, header_lines: bytes = b""
    ) -> None:
        """Write the final response.

        Args:
            status: The status code.
            body: Slices of the body.
            size: Total bytes of all slices.
            header_lines: Additional header fields, each line terminated by CRLF.

        Raises:
            Exception: The response could not be written; the connection is closed.
        """
