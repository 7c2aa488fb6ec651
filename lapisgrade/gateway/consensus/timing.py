"""Time-outs of the consensus group, in microseconds.

What bounds what: HEARTBEAT_INTERVAL_US < LEASE_US < RESTART_GUARD_US < ELECTION_TIMEOUT_US.
"""

HEARTBEAT_INTERVAL_US = 100_000
"""Between two messages of a leader to each follower; some round trips between zones."""

ELECTION_TIMEOUT_US = 400_000
"""The least time without a leader's message before a node starts an election; several heartbeats."""

ELECTION_JITTER_US = 300_000
"""At random up to so much more (split votes are rare then; thesis, 3.4)."""

LEASE_US = 300_000
"""How long a majority's replies let a leader answer reads; below ELECTION_TIMEOUT_US (thesis, 6.4.1)."""

RESTART_GUARD_US = 330_000
"""How long after a restart a lease may rest on what a node replied before; LEASE_US and clock drift."""

RETRY_DELAY_US = 10_000
"""The least time between the elections of a node that has just started; a few round trips."""

RETRY_JITTER_US = 50_000
"""At random up to so much more."""

LEADERSHIP_TRANSFER_US = ELECTION_TIMEOUT_US
"""How long a leader that shuts down waits for a voter that has all of the log (thesis, 3.10)."""
