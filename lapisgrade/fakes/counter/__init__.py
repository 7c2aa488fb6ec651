"""The fake counter: a RESP2 server on loopback (`server`) and its counts, without I/O (`store`)."""

from lapisgrade.fakes.counter.server import Counter, CounterMode
from lapisgrade.fakes.counter.store import (
    Count,
    CounterStats,
    SplitStore,
    Store,
    execute_command,
    heal,
    split,
)

__all__ = [
    "Count",
    "Counter",
    "CounterMode",
    "CounterStats",
    "SplitStore",
    "Store",
    "execute_command",
    "heal",
    "split",
]
