"""The limiter on sockets. The protocol's names end in this package."""

SECOND = 1_000_000  # us
