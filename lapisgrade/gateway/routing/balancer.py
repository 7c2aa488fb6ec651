"""The servers of one service, as one proxy sees them, and which of them a request goes to. Pure.

The servers that this proxy's group prefers are looked at all, some others by chance (Mitzenmacher, "The
Power of Two Choices", 2001); the one is taken where the request is likely done first: its work at that
server's speed, behind what is known to be there. What is known is what we have out ourselves, what our
neighbours say that they have (`subsets`), and what the server's last answer said, which fades as work ends.
"""

import math
from random import Random

from lapisgrade.decide.fleet import Attempt, LatencyEstimate
from lapisgrade.decide.fleet import Server as Neighbour
from lapisgrade.interface import Outcome, Report
from lapisgrade.gateway import SECOND, registry
from lapisgrade.gateway.membership.subsets import Subsets

DRAWN = 2  # servers that are looked at for each sending, of the zone's others and of other zones' each
MOST_OWN = 12  # the same, of the group's own
STRANGERS = 0.5  # of what a server told beyond the neighbours' that is likely still there
UNSEEN = 0.05  # requests that those who are no neighbours have at one of the group's servers
STRANGE = (
    0.05  # of the usual time that a server of another group must be better by: its group does not see us
)
JITTER = 0.02  # by chance, so that equals are not all sent to one
TOLD = 400_000  # us; what a server said of its load counts 1/e after it, a few requests' work
OTHERS = 0.5  # requests that others are taken to have at a server that has said nothing of late
AFAR = (
    0.12  # of the usual time that a server in another zone must be better by: bytes between zones are priced
)
QUEUED = 3  # requests beyond the slots that one proxy would let wait at a server
DOUBT = 1.5  # good answers of our own that outweigh one neighbour's doubt
ILL = 0.8  # failures of late from which a server is told to neighbours as ill: one that is not long past
COLD = 0.5  # of its speed that a server has while it is slow after its start


class Server(Neighbour):
    """One life of one server."""

    __slots__ = ()

    def __init__(self, told: registry.Server, now_us: int) -> None:
        super().__init__(told.id)
        self.told, self.began = told, now_us
        self.warm_at = now_us + told.warm_us
        self.load_told, self.load_at = 0.0, 0  # requests there beside ours, by its own word, and when
        self.shunned_until = 0

    def others(self, now_us: int, said: float | None) -> float:
        """Requests of other proxies that are likely there; `said`: the neighbours', None where unknown."""
        fade = math.exp((self.load_at - now_us) / TOLD) if self.load_at else 0.0
        if said is None:
            return self.load_told * fade + OTHERS * (1 - fade)
        return said + STRANGERS * max(0.0, self.load_told - said) * fade + UNSEEN

    def loaded(self, now_us: int, running: int, waiting: int) -> None:
        """What an answer says; ours are taken off, the one answered is out no more."""
        self.load_told = max(0.0, running + waiting - len(self.out) - 1.0)
        self.load_at = now_us

    def doubted(self, now_us: int, doubts: int) -> float:
        """What so many neighbours' doubts make of its health: less, the more it answered us well of late."""
        own = 2.0 + self.good.read(now_us)
        return own / (own + DOUBT * doubts)

    def takes(self, now_us: int, usual: float, mean: float, said: float | None, doubts: int = 0) -> float:
        """The time in us that a request which takes `usual` elsewhere takes here; others take `mean`."""
        slots = max(1, self.told.slots)
        ahead = self.load(now_us, mean) + self.others(now_us, said)
        speed = (self.stretch.read(now_us) + 2.0) / (self.hops.read(now_us) + 2.0)
        cold = 1 / COLD if now_us < self.warm_at else 1.0
        wait = max(0.0, ahead + 1 - slots) / slots
        health = self.health(now_us, usual) * self.doubted(now_us, doubts)
        return speed * cold * (usual + wait * mean) / max(0.02, health)


class UpstreamCluster:
    """One service's servers."""

    def __init__(self, random: Random, zone: str, subsets: Subsets) -> None:
        self._random, self._zone, self._subsets = random, zone, subsets
        self.work = LatencyEstimate(100_000.0)  # of all routes together
        self.servers: dict[str, Server] = {}
        self.paces: dict[str, LatencyEstimate] = {}  # by route
        self._cut = -1  # the subsets' changes that what follows goes by
        self._share: set[str] = set()
        self._own: list[Server] = []
        self._near: list[Server] = []
        self._far: list[Server] = []

    def told(self, now_us: int, each: registry.Server) -> None:
        self._cut = -1
        old = self.servers.get(each.id)
        if each.state in ("gone", "lost") or not each.address:
            if old is not None:
                old.told = each
                if not old.out:
                    del self.servers[each.id]
        elif old is None:
            self.servers[each.id] = Server(each, now_us)
        else:
            old.told, old.warm_at = each, now_us + each.warm_us

    def _sort(self) -> None:
        """The servers that take requests: our group's of this zone, the zone's others, and other zones'."""
        if self._cut == self._subsets.changes:
            return
        self._cut = self._subsets.changes
        up = [each for each in self.servers.values() if each.told.state == "up"]
        near = [each for each in up if each.told.zone == self._zone]
        self._share = self._subsets.share([each.address for each in near])
        self._own = [each for each in near if each.address in self._share]
        self._near = [each for each in near if each.address not in self._share]
        self._far = [each for each in up if each.told.zone != self._zone]

    def pace(self, route: str, aim_us: int) -> LatencyEstimate:
        pace = self.paces.get(route)
        if pace is None:
            if len(self.paces) > 2048:  # guards memory; routes come and go
                self.paces.clear()
            pace = self.paces[route] = LatencyEstimate(0.3 * aim_us)
        return pace

    def choose(
        self, now_us: int, usual: float, tried: list[Server], within: float = math.inf
    ) -> Server | None:
        """The server for a request, None where all are taken up, or none is likely done `within` that time
        in us."""
        self._sort()

        def fits(each: Server) -> bool:
            return (
                len(each.out) < each.told.slots + QUEUED
                and now_us >= each.shunned_until
                and each not in tried
            )

        drawn = [each for each in self._own if fits(each)]
        if len(drawn) > MOST_OWN:
            drawn = self._random.sample(drawn, MOST_OWN)
        for others in (self._near, self._far):
            drawn += filter(fits, self._random.sample(others, min(DRAWN, len(others))))
        if not drawn:
            drawn = [each for each in self._near + self._far if fits(each)]
        if not drawn:
            return None
        known, mean = self._subsets.known(now_us), self.work.mean(now_us)

        def takes(each: Server) -> float:
            mine = each.address in self._share
            said = self._subsets.out(now_us, each.address) if known and mine else None
            doubts = self._subsets.doubts(now_us, each.address) if mine else 0
            takes = each.takes(now_us, usual, mean, said, doubts) * (1 + JITTER * self._random.random())
            return takes + (
                0.0 if mine else AFAR * usual if each.told.zone != self._zone else STRANGE * usual
            )

        best = min(drawn, key=takes)
        return best if within == math.inf or takes(best) <= within else None

    def sent(self, now_us: int, hop: Attempt) -> None:
        server = hop.server
        server.out[hop] = None
        server.last_sent = now_us
        server.silent_from = server.silent_from or now_us

    def landed(
        self, now_us: int, hop: Attempt, report: Report, pace: LatencyEstimate, blame: float = 1.0
    ) -> None:
        """What became of a sending; `pace` is its route's, `blame` the server's part in a failure."""
        server, outcome = hop.server, report.outcome
        hop.out = False
        server.out.pop(hop, None)
        if report.load is not None:
            server.loaded(now_us, int(report.load["running"]), int(report.load["waiting"]))
        if outcome in (Outcome.OK, Outcome.FULL, Outcome.REJECTED) or not server.out:
            server.silent_from = now_us if server.out else 0
        if outcome is Outcome.FULL:
            server.load_told, server.load_at = float(server.told.slots + 4), now_us
        elif outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
            self._judge(now_us, server, pace, report, blame)
        if server.told.state in ("gone", "lost") and not server.out:
            self.servers.pop(server.address, None)

    def _judge(
        self, now_us: int, server: Server, pace: LatencyEstimate, report: Report, blame: float
    ) -> None:
        # A server's own failure is an answer, but no sound one; it says little of how long work takes.
        if report.outcome is Outcome.OK:
            usual = pace.mean(now_us)
            pace.add(now_us, report.took_us, 1.0)
            self.work.add(now_us, report.took_us, 1.0)
            server.stretch.add(now_us, min(report.took_us / usual, 10.0))
            server.hops.add(now_us, 1)
            server.good.add(now_us, 1)
            return
        server.ill.add(now_us, blame)
        if server.ill.read(now_us) > 2 + 3 * server.good.read(now_us):
            server.shunned_until = now_us + SECOND

    def ill(self, now_us: int) -> list[str]:
        """Servers that answer this proxy badly, for its neighbours."""
        return [
            each.address
            for each in self.servers.values()
            if (ill := each.ill.read(now_us)) > ILL and ill > 0.5 * each.good.read(now_us)
        ]

    def out(self) -> dict[str, int]:
        """What this proxy has out at each server, for its neighbours."""
        return {each.address: len(each.out) for each in self.servers.values() if each.out}
