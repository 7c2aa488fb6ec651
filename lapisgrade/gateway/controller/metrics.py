"""Metrics of a controller, for tests and for the log line at the end of the process."""

from collections import Counter
from typing import Any

import msgspec


class ControllerMetrics(msgspec.Struct):
    """Totals since the process started.

    Attributes:
        elections_won: Number of times this node became the established leader.
        membership_changes: Committed log entries that change the voters.
        insufficient_voters: Number of times this leader warned that the voters can't tolerate the losses in
            `Faults`.
        entries_applied: Committed log entries with a command, applied to the state machine.
        oversized_entries: Committed log entries of an earlier release that were too large to have an effect.
        commands_proposed: Commands that the leader proposed on its own, by type.
        changes_refused: Refused configuration changes, by call and HTTP status.
        changes_delayed: Changes that the leader delayed because many versions were staged.
        staged_versions_dropped: Staged versions that were dropped before they or a newer version were
            activated.
        disk_syncs: Successful writes to the log file.
        disk_write_failures: Failed writes to the log file; each is retried.
        invalid_peer_addresses: Consensus messages and watch requests dropped because the peer's address can't
            be parsed.
        watch_requests: Watch requests of proxies.
        proxies_found_dead: Proxies whose machine refused the connection of a probe.
        drafts_stored: Drafts written to this controller's disk, including copies of peers' drafts.
        drafts_delivered: Drafts that were committed and removed from this controller's disk.
        calls: HTTP calls of servers and operators, by name.
        call_replies: Replies to HTTP calls, by name and HTTP status.
        claim_batches: Log entries with claims of operation keys that this leader proposed.
        claims_granted: Claims whose own attempt holds the key, including duplicates.
        claims_held_by_another: Claims whose key another attempt holds.
        claims_without_room: Claims that were not recorded, because the table or the tenant's share is full.
        claims_unknown: Claims with an unknown outcome: this controller doesn't lead, too many claims are
            waiting, or no majority acknowledged the entry in time.
        claims_invalid: Claims that were rejected as malformed.
    """

    elections_won: int = 0
    membership_changes: int = 0
    insufficient_voters: int = 0
    entries_applied: int = 0
    oversized_entries: int = 0
    commands_proposed: Counter[str] = msgspec.field(default_factory=Counter)
    changes_refused: Counter[str] = msgspec.field(default_factory=Counter)
    changes_delayed: int = 0
    staged_versions_dropped: int = 0
    disk_syncs: int = 0
    disk_write_failures: int = 0
    invalid_peer_addresses: int = 0
    watch_requests: int = 0
    proxies_found_dead: int = 0
    drafts_stored: int = 0
    drafts_delivered: int = 0
    calls: Counter[str] = msgspec.field(default_factory=Counter)
    call_replies: Counter[str] = msgspec.field(default_factory=Counter)
    claim_batches: int = 0
    claims_granted: int = 0
    claims_held_by_another: int = 0
    claims_without_room: int = 0
    claims_unknown: int = 0
    claims_invalid: int = 0

    def nonzero(self) -> dict[str, Any]:
        """Return all metrics that are not zero, by name."""
        values = msgspec.structs.asdict(self)
        return {
            name: dict(value) if isinstance(value, Counter) else value
            for name, value in values.items()
            if value
        }
