"""One proxy's attempts at keyed operations: their names and outcomes. Pure."""

from lapisgrade.gateway.operations.outcomes import Outcome, OutcomeStore


class OperationAttempts:
    """Gives this proxy's attempts names that are unique across all proxies and their earlier processes."""

    def __init__(self, address: str, incarnation: str, retention_us: int) -> None:
        """Create a store without attempts.

        Args:
            address: Address at which other proxies can ask this one for the outcome of an attempt.
            incarnation: Incarnation of this process; unique among the processes at the same address.
            retention_us: Duration for which an outcome is kept, from the start of its attempt.
        """
        self.address = address
        self.outcomes = OutcomeStore(retention_us)
        self._incarnation = incarnation
        self._count = 0

    def begin(self, now_us: int) -> str:
        """Record a new attempt as running and return its name."""
        self._count += 1
        attempt = f"{self._incarnation}-{self._count}"
        self.outcomes.begin(now_us, attempt)
        return attempt

    def finish(self, now_us: int, attempt: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt; only the first one counts, later ones are ignored."""
        self.outcomes.finish(now_us, attempt, outcome)
