"""Voters change, and snapshots arrive, while entries come all the time, as batches of claims do."""

from unittest import mock

import pytest

from lapisgrade.gateway.consensus import compaction, snapshots
from lapisgrade.gateway.consensus.messages import Message
from lapisgrade.lab.explore.cluster import Cluster

BATCH_INTERVAL_S = 0.025
SLOW_US = 40_000  # one way, beyond the usual: more than a batch's interval there and back


class StreamCluster(Cluster):
    """A cluster with a proposal every `BATCH_INTERVAL_S`, and one node far away."""

    def __init__(self, seed: int, far: str) -> None:
        self.far = far
        self.proposals = 0
        super().__init__(seed)

    def send(self, source: str, destination: str, message: Message) -> None:
        if source != destination and self.far in (source, destination):
            self.now_us += SLOW_US
            super().send(source, destination, message)
            self.now_us -= SLOW_US
        else:
            super().send(source, destination, message)

    def stream(self, seconds: float) -> None:
        for _ in range(round(seconds / BATCH_INTERVAL_S)):
            self.proposals += 1
            self.propose(b"%d" % self.proposals)
            self.run(BATCH_INTERVAL_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("far", ["", "d"])
def test_lost_voter_is_replaced_under_a_constant_stream_by_a_node_that_needs_a_snapshot(seed: int, far: str):
    with (
        mock.patch.object(compaction, "MAX_LOG_ENTRIES", 24),
        mock.patch.object(snapshots, "CHUNK_BYTES", 64),
    ):
        cluster = StreamCluster(seed, far)
        cluster.stream(3)
        assert cluster.leader_node().log.snapshot_index > 0
        gone = next(name for name in "abc" if name != cluster.leader())
        cluster.kill(gone)
        cluster.start("d", identity="d")
        cluster.stream(4)
        leader = cluster.leader_node()
        assert sorted(leader.voters) == sorted({*"abcd"} - {gone})
        assert cluster.nodes["d"].log.snapshot_index > 0
        cluster.run(0.5)
        assert cluster.nodes["d"].commit_index == leader.commit_index
        assert cluster.violations == []
