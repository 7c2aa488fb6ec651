"""The limiter on sockets. The protocol's names end in this package."""
