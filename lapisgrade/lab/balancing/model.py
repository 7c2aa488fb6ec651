"""Parameters and servers of the simulation. Servers differ in speed, and some are unhealthy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Spec:
    """Parameters of one simulation.

    Attributes:
        limiters: Number of limiters.
        servers: Number of servers.
        zones: Number of zones; limiters and servers are spread over them evenly.
        slots: Requests that a server runs at once.
        queue: Requests that wait at a server at most; beyond that it rejects them as not run.
        load: Load by all requests as a fraction of the servers' capacity.
        work_us: Mean work of a request.
        sigma: Standard deviation of the logarithm of the work, which is log-normal.
        slowdowns: Factors by which servers take longer for the same work, assigned in turn.
        near_us: One-way network latency within a zone.
        far_us: One-way network latency between zones.
        latency_target_us: Latency target of a request.
        timeout_us: Time-out of a client.
        tries: Attempts of a request at most.
        unhealthy_share: Fraction of servers that are unhealthy in the middle half of the run.
        failure_share: Fraction of an unhealthy server's responses that are immediate failures.
        seconds: Simulated duration.
        seed: Seed of all random choices.
    """

    limiters: int = 100
    servers: int = 130
    zones: int = 3
    slots: int = 2
    queue: int = 8
    load: float = 0.6
    work_us: int = 120_000
    sigma: float = 0.5
    slowdowns: tuple[float, ...] = (0.7, 1.0, 1.0, 1.5)
    near_us: int = 200
    far_us: int = 1_400
    latency_target_us: int = 400_000
    timeout_us: int = 2_500_000
    tries: int = 2
    unhealthy_share: float = 0.0
    failure_share: float = 0.4
    seconds: float = 20.0
    seed: int = 1

    def zone(self, limiter: int) -> str:
        """Return the zone of a limiter."""
        return f"z{limiter % self.zones}"

    def name(self, limiter: int) -> str:
        """Return the name of a limiter."""
        return f"l{limiter}"

    @property
    def rate(self) -> float:
        """Requests per second of all limiters together."""
        speed = sum(1 / each for each in self.slowdowns) / len(self.slowdowns)
        return self.load * self.servers * self.slots * speed * 1_000_000 / self.work_us


class Server:
    """A server with slots and a first-in, first-out queue.

    Attributes:
        number: Index among all servers.
        zone: Its zone.
        slowdown: Factor by which it takes longer for the same work.
        is_unhealthy: Whether it fails some requests at present.
        name: Its name.
        running: Requests that it runs.
        queue: Requests that wait for a slot.
        outstanding: Requests that run, wait, or are on the way to it.
    """

    __slots__ = ("is_unhealthy", "name", "number", "outstanding", "queue", "running", "slowdown", "zone")

    def __init__(self, number: int, zone: str, slowdown: float) -> None:
        self.number, self.zone, self.slowdown, self.is_unhealthy = number, zone, slowdown, False
        self.name, self.running, self.queue = f"s{number}", 0, []
        self.outstanding = 0
