"""Time-outs of the consensus group, in microseconds.

Required order: HEARTBEAT_INTERVAL_US < LEASE_US < RESTART_GUARD_US < ELECTION_TIMEOUT_US.
"""

HEARTBEAT_INTERVAL_US = 100_000
"""Interval between a leader's heartbeats to each follower; several round trips between zones."""

ELECTION_TIMEOUT_US = 400_000
"""Minimum time without a leader's message before a node starts an election; several heartbeats."""

ELECTION_JITTER_US = 300_000
"""Maximum random addition to ELECTION_TIMEOUT_US; makes split votes rare (thesis, 3.4)."""

LEASE_US = 300_000
"""Time for which a majority's replies let a leader serve reads; below ELECTION_TIMEOUT_US (thesis, 6.4.1)."""

RESTART_GUARD_US = 330_000
"""Time after a restart during which a lease may rest on earlier replies; LEASE_US plus clock drift."""

RETRY_DELAY_US = 10_000
"""Minimum delay before the next election attempt while this node or a voter has just restarted.

A few round trips.
"""

RETRY_JITTER_US = 50_000
"""Maximum random addition to RETRY_DELAY_US."""

LEADERSHIP_TRANSFER_US = ELECTION_TIMEOUT_US
"""Maximum time that a stopping leader waits for a voter with the complete log (thesis, 3.10)."""
