"""What one proxy or limiter has seen of one server: its health, its speed, what is in flight there."""

from lapisgrade.interface import ServerEndpoint, ServerState
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.rate import SECOND, DecayingSum, TokenBucket

HEALTH_DECAY_US = 4 * SECOND  # how long a failed attempt counts against its server
UNHEALTHY_WEIGHT = 3.0  # successful attempts that outweigh one failure
UNRESPONSIVE_AFTER = 3.0  # usual latencies without any response after which a server is taken to be unhealthy
PRIOR_WEIGHT = 1.0  # attempts; weight of the assumption that a server is as fast as the others


class ObservedServer:
    """One server as this process sees it."""

    def __init__(self, address: str) -> None:
        """Create the record of a server of which nothing has been seen yet."""
        self.endpoint: ServerEndpoint | None = None  # None: not in the endpoint list
        self.address = address
        self.last_sent_us = 0
        self.in_flight: dict[Attempt, None] = {}  # in the order of their start
        self.unresponsive_since_us = 0  # since when attempts are out and none has come back; 0: not so
        self.latency_ratio = DecayingSum(LATENCY_DECAY_US)  # of latencies to the usual one
        self.latency_samples = DecayingSum(LATENCY_DECAY_US)
        self.successes = DecayingSum(HEALTH_DECAY_US)
        self.failures = DecayingSum(HEALTH_DECAY_US)
        self.rejections: dict[str, DecayingSum] = {}  # as overloaded, by plan and by category
        self.slow_start_budget: TokenBucket | None = None  # us of work that it may be sent while it warms up

    def is_ready(self) -> bool:
        """Whether the endpoint list has it as one that takes requests."""
        return self.endpoint is not None and self.endpoint.state is ServerState.READY

    def require_endpoint(self) -> ServerEndpoint:
        """The endpoint of a server that is in the list, as every server of a subset is."""
        assert self.endpoint is not None
        return self.endpoint

    def health(self, now_us: int, usual_us: float) -> float:
        """Its health from 0 to 1: by successes and failures, less while it is unresponsive."""
        successes, failures = self.successes.read(now_us), self.failures.read(now_us)
        health = (1 + successes) / (1 + successes + UNHEALTHY_WEIGHT * failures)
        if self.unresponsive_since_us:
            overdue = (now_us - self.unresponsive_since_us) / (UNRESPONSIVE_AFTER * usual_us)
            health /= max(1.0, overdue) ** 3
        return health

    def load(self, now_us: int, usual_us: float) -> float:
        """Attempts in flight, overdue ones by their age: they reveal a queue before any of them ends."""
        return sum(max(1.0, (now_us - attempt.sent_us) / usual_us) for attempt in self.in_flight)

    def score(self, now_us: int, usual_us: float) -> float:
        """Health and speed together; 1 is a healthy server of the usual speed."""
        samples = self.latency_samples.read(now_us) + PRIOR_WEIGHT  # of those that came back
        speed = samples / (self.latency_ratio.read(now_us) + PRIOR_WEIGHT)
        return speed**2 * self.health(now_us, usual_us)
