"""One proxy's attempts at keyed operations: their names, and what came of each. Pure."""

from lapisgrade.gateway.operations.outcomes import Outcome, OutcomeStore


class OperationAttempts:
    """Names this proxy's attempts, so that no other proxy or earlier process has one of that name."""

    def __init__(self, address: str, incarnation: str, retention_us: int) -> None:
        """Begin without attempts.

        Args:
            address: Where this proxy answers others that ask what came of an attempt.
            incarnation: Of this process; another one of the same address has another.
            retention_us: How long an outcome is kept.
        """
        self.address = address
        self.outcomes = OutcomeStore(retention_us)
        self.is_leader_unresponsive = False  # whether the last claim that ended had no answer
        self._incarnation = incarnation
        self._count = 0

    def begin(self, now_us: int) -> str:
        """Return the name of a new attempt, which may run from now on."""
        self._count += 1
        attempt = f"{self._incarnation}-{self._count}"
        self.outcomes.begin(now_us, attempt)
        return attempt

    def finish(self, now_us: int, attempt: str, outcome: Outcome) -> None:
        """Note what came of an attempt; the first outcome counts."""
        self.outcomes.finish(now_us, attempt, outcome)
