"""Metrics of a proxy, which are logged at the end of the process and read by tests."""

from collections import Counter
from typing import Any

import msgspec

from lapisgrade.net.metrics import NetMetrics


class ProxyMetrics(msgspec.Struct):
    """Totals since the process started.

    Attributes:
        diagnostics: Diagnostic lines, which are logged at the level DEBUG.
        tasks_failed: Permanent tasks that ended unexpectedly; each shuts down the process.
        watch_requests: Watch requests to controllers or through other proxies.
        watch_requests_unanswered: Watch requests without a reply from the leader.
        watch_failures: Replies or requests that ended by an exception in this proxy; each is repeated.
        invalid_servers: Servers in replies that were left out because their address is invalid.
        watch_requests_relayed: Watch requests of other proxies that were forwarded to the leader.
        requests_not_yet_active: Requests answered 503 because proxies may differ on the active version.
        idle_connections_closed: Idle connections to servers that were closed because they exceeded the limit.
        quota_calls_granted: Calls that added to the count of a quota.
        quota_calls_refused: Calls that the quota's owner did not accept.
        quota_calls_repeated: Calls that were retried under another membership.
        quota_calls_unanswered: Calls without a reply from the quota's owner.
        quota_calls_failed: Calls that ended by an exception in this proxy; the log has each traceback.
        hand_overs_sent: Counts that were handed over to their new owner.
        hand_overs_deferred: Hand-over requests for counts that can't be handed over yet.
        hand_overs_received: Counts that were received from their previous owner.
        claims_sent: Calls to controllers that claim an operation key; a claim may take several calls.
        claims_granted: Claims that were granted to an attempt of this proxy.
        claims_held: Claims of keys that another attempt holds.
        claims_unanswered: Claims without a reply from a leader in time.
        claims_not_recorded: Claims that the leader did not record for lack of room in its table.
        operation_calls_refused: Claims and outcome queries that were rejected because too many were pending.
        repeats: Requests whose key another attempt holds, by the outcome state of that attempt.
        transport: Metrics of the HTTP connections to clients and servers.
    """

    diagnostics: int = 0
    tasks_failed: int = 0
    watch_requests: int = 0
    watch_requests_unanswered: int = 0
    watch_failures: int = 0
    invalid_servers: int = 0
    watch_requests_relayed: int = 0
    requests_not_yet_active: int = 0
    idle_connections_closed: int = 0
    quota_calls_granted: int = 0
    quota_calls_refused: int = 0
    quota_calls_repeated: int = 0
    quota_calls_unanswered: int = 0
    quota_calls_failed: int = 0
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
        """Return all nonzero metrics by name."""
        values = {**msgspec.structs.asdict(self), "transport": self.transport.nonzero()}
        return {name: value for name, value in values.items() if value}
