"""Voter changes and snapshot transfers under a constant stream of entries, as from batches of claims."""

from unittest import mock

import pytest

from lapisgrade.gateway.consensus import compaction, snapshots
from lapisgrade.gateway.consensus.messages import Message
from lapisgrade.lab.explore.cluster import Cluster

BATCH_INTERVAL_S = 0.025
# Additional one-way delay to the distant node; a round trip takes longer than a batch interval.
EXTRA_DELAY_US = 40_000


class StreamCluster(Cluster):
    """A cluster with a proposal every `BATCH_INTERVAL_S`; `distant` names a node with slow links, if any."""

    def __init__(self, seed: int, distant: str) -> None:
        self.distant = distant
        self.proposal_count = 0
        super().__init__(seed)

    def send(self, source: str, destination: str, message: Message) -> None:
        if source != destination and self.distant in (source, destination):
            self.now_us += EXTRA_DELAY_US
            super().send(source, destination, message)
            self.now_us -= EXTRA_DELAY_US
        else:
            super().send(source, destination, message)

    def stream(self, seconds: float) -> None:
        """Run for `seconds` with a constant stream of proposals."""
        for _ in range(round(seconds / BATCH_INTERVAL_S)):
            self.proposal_count += 1
            self.propose(b"%d" % self.proposal_count)
            self.run(BATCH_INTERVAL_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("distant", ["", "d"])
def test_a_lost_voter_is_replaced_by_a_node_that_needs_a_snapshot_under_load(seed: int, distant: str):
    with (
        mock.patch.object(compaction, "MAX_LOG_ENTRIES", 24),
        mock.patch.object(snapshots, "CHUNK_BYTES", 64),
    ):
        cluster = StreamCluster(seed, distant)
        cluster.stream(3)
        assert cluster.leader_node().log.snapshot_index > 0
        lost = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(lost)
        cluster.start("d", identity="d")
        cluster.stream(4)
        leader = cluster.leader_node()
        assert sorted(leader.voters) == sorted({*"abcd"} - {lost})
        assert cluster.nodes["d"].log.snapshot_index > 0
        cluster.run(0.5)
        assert cluster.nodes["d"].commit_index == leader.commit_index
        assert cluster.violations == []
