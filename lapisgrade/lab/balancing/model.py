"""What the comparison plays: limiters that send, servers of few slots that differ in speed, some of them
ill."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Spec:
    """Times in us. `load` is the share of all slots' time that the arrivals ask for."""

    limiters: int = 100
    servers: int = 130
    zones: int = 3
    slots: int = 2
    queue: int = 8  # that wait at a server; more are turned away as not run
    load: float = 0.6
    work_us: int = 120_000
    sigma: float = 0.5  # log-normal
    speeds: tuple[float, ...] = (0.7, 1.0, 1.0, 1.5)  # work takes so many times as long
    near_us: int = 200  # one way
    far_us: int = 1_400
    aim_us: int = 400_000
    ends_us: int = 2_500_000  # a client waits so long
    tries: int = 2
    unhealthy_share: float = 0.0  # of the servers, in the middle half of the run
    fails: float = 0.4  # of an ill server's answers that are failures, at once
    seconds: float = 20.0
    seed: int = 1

    def zone(self, limiter: int) -> str:
        return f"z{limiter % self.zones}"

    def name(self, limiter: int) -> str:
        return f"l{limiter}"

    @property
    def rate(self) -> float:
        """Requests a second, of all limiters."""
        speed = sum(1 / each for each in self.speeds) / len(self.speeds)
        return self.load * self.servers * self.slots * speed * 1_000_000 / self.work_us


class Server:
    """Slots, then a queue in order of arrival."""

    __slots__ = ("ill", "name", "number", "present", "queue", "running", "speed", "zone")

    def __init__(self, number: int, zone: str, speed: float) -> None:
        self.number, self.zone, self.speed, self.ill = number, zone, speed, False
        self.name, self.running, self.queue = f"s{number}", 0, []
        self.present = 0  # here and on the way here
