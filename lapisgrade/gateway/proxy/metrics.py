"""What a proxy counts, for its log line at the end of the process and for tests."""

from collections import Counter
from typing import Any

import msgspec

from lapisgrade.net.metrics import NetMetrics


class ProxyMetrics(msgspec.Struct):
    """Totals since the process started.

    Attributes:
        diagnostics: Diagnostic lines, which are logged at the level DEBUG.
        tasks_failed: Tasks that ended though they should run on; each ends the process.
        watch_requests: Watch requests to controllers or through other proxies.
        watch_requests_unanswered: Those of them that brought no reply of a leader.
        watch_requests_relayed: Watch requests of other proxies that were passed on to the leader.
        requests_not_yet_active: Requests answered 503 as proxies may differ on the active version.
        idle_connections_closed: Idle connections to servers that were closed as no longer trusted.
        quota_calls_granted: Calls to a quota's owner that added to its count.
        quota_calls_refused: Calls that ended without the owner of that membership.
        quota_calls_repeated: Calls that were sent again under another membership.
        quota_calls_unanswered: Calls that a quota's owner did not answer.
        hand_overs_sent: Counts that were handed over to their next owner.
        hand_overs_deferred: Requests for a count that can't be handed over yet.
        hand_overs_received: Counts that were taken over from their last owner.
        claims_sent: Calls to controllers that claim an operation key; a claim may take several.
        claims_granted: Claims by which an attempt of this proxy holds the key.
        claims_held: Claims of keys that another attempt holds.
        claims_unanswered: Claims that no leader answered in time.
        claims_not_recorded: Claims that the leader has no room for.
        operation_calls_refused: Claims, and questions for outcomes, that were too many at once.
        repeats: Requests whose key another attempt holds, by what was learned of that attempt.
        transport: What the HTTP transports count.
    """

    diagnostics: int = 0
    tasks_failed: int = 0
    watch_requests: int = 0
    watch_requests_unanswered: int = 0
    watch_requests_relayed: int = 0
    requests_not_yet_active: int = 0
    idle_connections_closed: int = 0
    quota_calls_granted: int = 0
    quota_calls_refused: int = 0
    quota_calls_repeated: int = 0
    quota_calls_unanswered: int = 0
    hand_overs_sent: int = 0
    hand_overs_deferred: int = 0
    hand_overs_received: int = 0
    claims_sent: int = 0
    claims_granted: int = 0
    claims_held: int = 0
    claims_unanswered: int = 0
    claims_not_recorded: int = 0
    operation_calls_refused: int = 0
    repeats: Counter[str] = msgspec.field(default_factory=Counter)
    transport: NetMetrics = msgspec.field(default_factory=NetMetrics)

    def nonzero(self) -> dict[str, Any]:
        """Every metric that was counted at least once, by name."""
        values = {**msgspec.structs.asdict(self), "transport": self.transport.nonzero()}
        return {name: value for name, value in values.items() if value}
