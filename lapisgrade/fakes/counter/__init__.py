"""The fake counter: RESP2 on loopback (`server`), its counts apart from any socket (`store`)."""

from lapisgrade.fakes.counter.server import Counter, CounterMode
from lapisgrade.fakes.counter.store import Count, Split, Store, Tally, answer, heal, split

__all__ = ["Count", "Counter", "CounterMode", "Split", "Store", "Tally", "answer", "heal", "split"]
