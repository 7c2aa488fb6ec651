"""What the rest of the limiter may ask of whoever carries a client's connection."""

from typing import Protocol


class Client(Protocol):
    """A client that waits for its answer."""

    def answer(self, status: int, body: list[memoryview | bytes], size: int, more: bytes = b"") -> None:
        """Write the final answer: its body's slices, `size` bytes together, and further header lines."""
