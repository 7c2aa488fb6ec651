"""Health, speed and attempts in flight of one server, as observed by one proxy or limiter."""

from lapisgrade.interface import ServerEndpoint, ServerState
from lapisgrade.policy.attempt import Attempt
from lapisgrade.policy.latency import LATENCY_DECAY_US
from lapisgrade.rate import SECOND, DecayingSum, TokenBucket

HEALTH_DECAY_US = 4 * SECOND  # decay time of a successful or failed attempt
UNHEALTHY_WEIGHT = 3.0  # successful attempts that offset one failure
UNRESPONSIVE_RATIO = 3.0  # mean latencies without a response before a server counts as unresponsive
PRIOR_WEIGHT = 1.0  # weight of the assumption that a server has average speed, in attempts


class ObservedServer:
    """One server as observed by this process."""

    def __init__(self, address: str) -> None:
        """Create the record of a server without observations."""
        self.endpoint: ServerEndpoint | None = None  # None: not in the endpoint list
        self.address = address
        self.last_sent_us = 0
        self.in_flight: dict[Attempt, None] = {}  # in order of start
        self.unresponsive_since_us = 0  # start of the time with attempts in flight and no response; 0: none
        self.latency_ratio = DecayingSum(LATENCY_DECAY_US)  # sum of latencies relative to the expected ones
        self.latency_samples = DecayingSum(LATENCY_DECAY_US)  # number of ratios in `latency_ratio`
        self.successes = DecayingSum(HEALTH_DECAY_US)
        self.failures = DecayingSum(HEALTH_DECAY_US)
        self.rejections: dict[str, DecayingSum] = {}  # overload responses, by name of a plan or category
        self.slow_start_budget: TokenBucket | None = None  # work in us that it may be sent while it warms up

    def is_ready(self) -> bool:
        """Whether the server is ready according to the endpoint list."""
        return self.endpoint is not None and self.endpoint.state is ServerState.READY

    def require_endpoint(self) -> ServerEndpoint:
        """The endpoint of a server in the endpoint list; every server of a subset is in it."""
        assert self.endpoint is not None
        return self.endpoint

    def health(self, now_us: int, mean_us: float) -> float:
        """Health from 0 to 1, from successes and failures; reduced while the server is unresponsive."""
        successes, failures = self.successes.read(now_us), self.failures.read(now_us)
        health = (1 + successes) / (1 + successes + UNHEALTHY_WEIGHT * failures)
        if self.unresponsive_since_us:
            overdue = (now_us - self.unresponsive_since_us) / (UNRESPONSIVE_RATIO * mean_us)
            health /= max(1.0, overdue) ** 3
        return health

    def load(self, now_us: int, mean_us: float) -> float:
        """Attempts in flight, overdue ones weighted by age, which reveals a queue before an attempt ends."""
        return sum(max(1.0, (now_us - attempt.sent_us) / mean_us) for attempt in self.in_flight)

    def score(self, now_us: int, mean_us: float) -> float:
        """Health and speed combined; 1 is a healthy server of average speed."""
        samples = self.latency_samples.read(now_us) + PRIOR_WEIGHT
        speed = samples / (self.latency_ratio.read(now_us) + PRIOR_WEIGHT)
        return speed**2 * self.health(now_us, mean_us)
