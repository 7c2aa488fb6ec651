"""What a controller counts, for its log line at the end of the process and for tests."""

from collections import Counter
from typing import Any

import msgspec


class ControllerMetrics(msgspec.Struct):
    """Totals since the process started.

    Attributes:
        elections_won: Times that this node became the established leader.
        membership_changes: Committed log entries that change the voters.
        entries_applied: Committed log entries with a command, applied to the state machine.
        commands_proposed: Commands that the leader itself proposed, by type.
        changes_refused: Changes of the configuration that were refused, by call and HTTP status.
        disk_syncs: Successful writes of the log's file.
        disk_write_failures: Failed writes of the log's file; each is retried.
        invalid_peer_addresses: Consensus messages dropped because the peer's address can't be parsed.
        watch_requests: Watch requests of proxies.
        proxies_found_dead: Proxies whose machine refused a probe's connection.
        drafts_stored: Drafts written to this controller's disk, its own and copies of its peers'.
        drafts_delivered: Drafts that were committed to the log and removed from this disk.
        calls: Calls of servers and operators over HTTP, by name.
        call_replies: Replies to them, by name and HTTP status.
        claim_batches: Log entries that this leader made of claims of operation keys.
        claims_granted: Claims that were answered with their own attempt, also one that is sent again.
        claims_held_by_another: Claims that were answered with another attempt.
        claims_without_room: Claims that were not recorded, as the table or the tenant's part of it is full.
        claims_unknown: Claims without an answer: this controller doesn't lead, too many wait, or no majority
            had them in time.
        claims_invalid: Claims that were refused as malformed.
    """

    elections_won: int = 0
    membership_changes: int = 0
    entries_applied: int = 0
    commands_proposed: Counter[str] = msgspec.field(default_factory=Counter)
    changes_refused: Counter[str] = msgspec.field(default_factory=Counter)
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
        """Every metric that was counted at least once, by name."""
        values = msgspec.structs.asdict(self)
        return {
            name: dict(value) if isinstance(value, Counter) else value
            for name, value in values.items()
            if value
        }
