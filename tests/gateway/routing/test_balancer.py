"""Load balancing with servers that fail or that neighbours report as unhealthy."""

from random import Random

import pytest

from lapisgrade.gateway import SECOND, registry
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.interface import AttemptOutcome, AttemptResult
from lapisgrade.policy.attempt import Attempt

MS = 1_000


class ClusterScenario:
    """A cluster of two servers, `s1` and `s2`, at which the test lets attempts fail or succeed."""

    def __init__(self) -> None:
        self.cluster = UpstreamCluster(Random(1), "z", Subsets("l", "z"))
        for name in ("s1", "s2"):
            self.cluster.update(0, registry.Server(name, "a", "10.0.0.1:1", "z", 2, "up", 1))
        self.latency = self.cluster.latency(0, "r")

    def finish_attempt(self, now_us: int, name: str, outcome: AttemptOutcome, blame: float = 1.0) -> None:
        """Start an attempt 50 ms before `now_us` and finish it then."""
        attempt = Attempt(None, self.cluster.servers[name], 0, now_us - 50 * MS)
        self.cluster.on_attempt_started(now_us - 50 * MS, attempt)
        self.cluster.on_attempt_finished(
            now_us, attempt, AttemptResult(outcome, 50 * MS), self.latency, blame
        )

    def share_of_s1(self, now_us: int) -> float:
        """Return the fraction of 200 choices that fall on `s1`."""
        names = [self.cluster.choose(now_us, 50 * MS, []).address for _ in range(200)]
        return names.count("s1") / 200


@pytest.fixture
def scenario() -> ClusterScenario:
    return ClusterScenario()


def test_a_server_that_fails_is_ejected_for_a_second_and_tried_again(scenario: ClusterScenario) -> None:
    for _ in range(8):
        scenario.finish_attempt(SECOND, "s1", AttemptOutcome.ERROR)
        scenario.finish_attempt(SECOND, "s2", AttemptOutcome.OK)
    assert scenario.share_of_s1(SECOND) == 0.0
    assert scenario.share_of_s1(SECOND + 900 * MS) == 0.0
    # After the ejection, it is used when the other server's slots are full.
    for _ in range(2):
        scenario.cluster.on_attempt_started(
            20 * SECOND, Attempt(None, scenario.cluster.servers["s2"], 0, 20 * SECOND)
        )
    assert scenario.share_of_s1(20 * SECOND) == 1.0


def test_a_server_is_avoided_after_two_neighbours_reports_unless_its_own_results_are_good(
    scenario: ClusterScenario,
) -> None:
    subsets = scenario.cluster._subsets
    subsets.update_members({name: ("10.0.0.9:1", "", "z") for name in ("l", "a", "b", "c")})
    assert scenario.cluster.unhealthy_servers(SECOND) == []
    for name in "abc":
        subsets.on_load_report(SECOND, name, {}, [])
    subsets.on_load_report(SECOND, "a", {}, ["s1"])
    assert scenario.share_of_s1(SECOND) > 0.2
    subsets.on_load_report(SECOND, "b", {}, ["s1"])
    assert scenario.share_of_s1(SECOND) == 0.0
    for _ in range(2):
        scenario.cluster.on_attempt_started(SECOND, Attempt(None, scenario.cluster.servers["s2"], 0, SECOND))
    subsets.on_load_report(SECOND, "c", {}, ["s1"])
    # This proxy's own successes outweigh the neighbours' reports.
    for _ in range(12):
        scenario.finish_attempt(SECOND, "s1", AttemptOutcome.OK)
    assert scenario.cluster.servers["s1"].confidence(SECOND, 3) > 0.7
    assert scenario.share_of_s1(SECOND) == 1.0


def test_a_dropped_idle_connection_does_not_exclude_a_healthy_server(scenario: ClusterScenario) -> None:
    for _ in range(3):
        scenario.finish_attempt(SECOND, "s1", AttemptOutcome.CONNECTION_LOST, 0.3)
        scenario.finish_attempt(SECOND, "s1", AttemptOutcome.OK)
        scenario.finish_attempt(SECOND, "s2", AttemptOutcome.OK)
    assert scenario.cluster.servers["s1"].health(SECOND, 50 * MS) > 0.5
    assert scenario.cluster.servers["s1"].ejected_until_us == 0


def test_a_new_route_starts_from_the_latency_of_its_service(scenario: ClusterScenario) -> None:
    cluster = scenario.cluster
    for _ in range(200):
        cluster.overall_latency.add(0, 800 * MS, 1.0)
    assert cluster.latency(0, "new").mean(0) == cluster.overall_latency.mean(0) > 700 * MS


def test_a_guess_has_no_weight_after_the_first_attempts(scenario: ClusterScenario) -> None:
    latency = scenario.cluster.latency(0, "new")
    for second in range(0, 40, 8):  # few attempts, that the estimate forgets nearly as fast as they come
        latency.add(second * SECOND, 900 * MS, 1.0)
    assert latency.mean(40 * SECOND) == pytest.approx(900 * MS)
    assert latency.mean(400 * SECOND) == pytest.approx(900 * MS)


def test_the_first_response_of_a_route_does_not_make_its_server_slow(scenario: ClusterScenario) -> None:
    attempt = Attempt(None, scenario.cluster.servers["s1"], 0, 0)
    scenario.cluster.on_attempt_started(0, attempt)
    result = AttemptResult(AttemptOutcome.OK, 900 * MS)  # nine times as long as the guess
    scenario.cluster.on_attempt_finished(900 * MS, attempt, result, scenario.latency)
    assert 0.3 < scenario.share_of_s1(900 * MS) < 0.7
