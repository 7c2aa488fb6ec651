"""What a proxy does with each request: pure, generators for lapisgrade.engine, as lapisgrade.decide's are.

A request that may run once is sent on after the first only where the last one surely has not run. What was
given up on is answered at once: where it has not run with a promise (429, 503) and when to come back.
"""

import math
from collections.abc import Generator
from dataclasses import dataclass
from random import Random

from lapisgrade.decide.fleet import Attempt
from lapisgrade.interface import Answer, Clock, Operation, Outcome, Pause, Report, Send, Verdict, Word
from lapisgrade.gateway import registry
from lapisgrade.gateway.membership.subsets import Subsets
from lapisgrade.gateway.routing.retry_budget import RetryBudget
from lapisgrade.gateway.routing.balancer import UpstreamCluster
from lapisgrade.gateway.routing.idle_connections import IdleConnections
from lapisgrade.gateway.routing.split import SplitChooser
from lapisgrade.gateway.settings import Slo
from lapisgrade.gateway.controller.watch import DOUBT
from lapisgrade.gateway.configuration import Rule, Table, Tenant
from lapisgrade.gateway.quota.client import QuotaClient

MARGIN = 12_000  # us before the client's deadline that we end a request; the way back to the client
HOLD = 0.2  # of the aim that a request may wait here for a server; a quarter is priced
POLL = 8_000  # us between looks for a server, while held
BACK = 0.35  # of the aim after which one that found no server is told to come back
PATIENCE = 4.0  # deviations above the mean that a repeatable request may take before another server is tried
SLOWEST = 2.5  # times the mean, the least of that
SECOND_ANSWER = 1.25  # times the mean that a second server is given to answer inside the aim
WAYS = 20_000  # us of the aim that the ways to the client and back take
FORGOT = 0.3  # of a failure that a server is blamed for where it likely forgot a connection at rest
MOST_TENANTS = 8192  # tenants' accounts kept; the one unused for longest goes


@dataclass(slots=True, eq=False)
class RoutedRequest(Operation):
    """One try of a client."""

    rule: Rule | None = None
    tenant: Tenant | None = None
    svc: str = ""


@dataclass(slots=True)
class Respond(Answer):
    """A final answer of our own, with its status."""

    status: int = 503


class Router:
    """The module that a host runs: `operation`, `landed`, and what control tells."""

    def __init__(self, clock: Clock, seed: int, slo: Slo, zone: str, name: str = "") -> None:
        self.clock, self.random, self.slo, self.zone = clock, Random(seed), slo, zone
        self.began, self.limiters = clock.now_us, 1
        self.subsets = Subsets(name, zone)
        self.table: Table | None = None  # in force
        self.held: dict[int, Table] = {}  # newer ones, held ready until the order for one of them comes
        self.fences: set[int] = set()  # of those: made of drafts from both sides of a break
        self.heard_us = -DOUBT  # when an ask for news was sent that was answered
        self.fleets: dict[str, UpstreamCluster] = {}
        self.homes: dict[str, str] = {}  # a server's id: its service
        self.budgets: dict[str, RetryBudget] = {}
        self.quota_clients: dict[str, QuotaClient] = {}
        self.idle_connections = IdleConnections()
        self.split = SplitChooser(self.random)

    # ---- what control tells

    def hold(self, table: Table, fence: bool = False) -> None:
        self.held[table.ver] = table
        if fence:
            self.fences.add(table.ver)

    def configured(self, table: Table) -> None:
        """That version is in force from now on."""
        self.table = table
        self.held = {ver: each for ver, each in self.held.items() if ver > table.ver}
        self.fences &= set(self.held)
        for name, quota_client in list(self.quota_clients.items()):
            tenant = table.tenants.get(name)
            if tenant is None:
                del self.quota_clients[name]
            elif tenant != quota_client.tenant:
                quota_client.limited(tenant)
                quota_client.shared_by(self.limiters)

    def shared_by(self, limiters: int) -> None:
        """So many proxies live."""
        if limiters != self.limiters:
            self.limiters = limiters
            for each in (*self.budgets.values(),):
                each.limiters = limiters
            for quota_client in self.quota_clients.values():
                quota_client.shared_by(limiters)

    def listed(self, servers: list[registry.Server], whole: bool) -> None:
        """News of the register; a whole one names all there are."""
        now = self.clock.now_us
        if whole:
            names = {each.id for each in servers}
            for fleet in self.fleets.values():
                for server in list(fleet.servers.values()):
                    if server.address not in names:
                        server.told.state = "gone"
                        fleet.told(now, server.told)
        for each in servers:
            svc = each.svc or self.homes.get(each.id, "")
            if not svc:
                continue
            self.homes[each.id] = svc
            each.svc = svc
            if not each.address and (known := self.fleet(svc).servers.get(each.id)) is not None:
                each.address = known.told.address
            self.fleet(svc).told(now, each)
        if len(self.homes) > 4 * registry.MOST:
            self.homes.clear()

    def fleet(self, svc: str) -> UpstreamCluster:
        fleet = self.fleets.get(svc)
        if fleet is None:
            fleet = self.fleets[svc] = UpstreamCluster(self.random, self.zone, self.subsets)
        return fleet

    def budget(self, svc: str) -> RetryBudget:
        budget = self.budgets.get(svc)
        if budget is None:
            budget = self.budgets[svc] = RetryBudget(self.slo, self.began)
            budget.limiters = self.limiters
        return budget

    # ---- a request

    def entry(self, now_us: int, host: str, target: str, key: str) -> tuple[Rule, Tenant | None] | int:
        """The rule and tenant of a request, or the status that refuses it.

        Where the version in force and one held ready differ on whether it is let in, or where we may have
        missed a version that lets it in, it is told to come back (503): others may act by the other one
        already, and none may refuse what another takes (guards a new tenant's first calls, and the last ones
        of one that is withdrawn).
        """
        if self.table is None:
            return 503
        found = self.table.entry(host, target, key)
        refused = isinstance(found, int)
        held = (isinstance(each.entry(host, target, key), int) for each in self.held.values())
        if any(each is not refused for each in held):
            return 503
        if refused:
            return 503 if now_us - self.heard_us > DOUBT else found
        return 503 if self.fences and self._fenced(found, host, target, key) else found

    def _fenced(self, found: tuple[Rule, Tenant | None], host: str, target: str, key: str) -> bool:
        """Whether it may run once and its route is being merged: it goes by the merged one, or waits for it
        (guards claims and approvals that would travel a route edited on both sides of a break)."""
        if found[0].mode == "idem":
            return False
        other = (self.held[ver].entry(host, target, key) for ver in self.fences if ver in self.held)
        return any(not isinstance(each, int) and each[0] != found[0] for each in other)

    def quota_client(self, tenant: Tenant) -> QuotaClient:
        quota_client = self.quota_clients.pop(tenant.name, None)
        if quota_client is None:
            quota_client = QuotaClient(self.clock, tenant, self.slo, self.limiters, self.began)
        self.quota_clients[tenant.name] = quota_client
        if len(self.quota_clients) > MOST_TENANTS:
            del self.quota_clients[next(iter(self.quota_clients))]
        return quota_client

    def landed(self, hop: Attempt, report: Report) -> None:
        op = hop.operation
        now, fleet = self.clock.now_us, self.fleet(op.svc)
        broke = report.outcome is Outcome.BROKEN
        forgot = self.idle_connections.landed(now, hop, op.svc, broke, report.took_us)
        pace = fleet.pace(op.rule.name, op.rule.target_time)
        fleet.landed(now, hop, report, pace, FORGOT if forgot else 1.0)

    def operation(self, op: RoutedRequest) -> Generator:
        self.budget(op.svc).request(self.clock.now_us)
        if op.tenant is not None and op.tenant.rate_s > 0:
            quota_client = self.quota_client(op.tenant)
            quota_client.used = self.clock.now_us
            wait = yield from quota_client.admit(op)
            if op.over:
                return
            if wait is not None:
                wait = quota_client.comes_back(self.clock.now_us, max(1_000, int(wait)))
                yield Respond(Verdict.TURN_BACK, wait, 429)
                return
        yield from self.serve(op)

    def serve(self, op: RoutedRequest) -> Generator:
        """Sendings until one ends the request or none may follow."""
        rule, fleet, budget = op.rule, self.fleet(op.svc), self.budget(op.svc)
        pace = fleet.pace(rule.name, rule.target_time)
        idem = rule.mode == "idem"
        hops: list[Attempt] = []
        ran = False  # whether one of them may have run
        arrived = 0  # those that reached a server
        until = overdue = op.ends_us  # when the next one may go out beside those that are
        held_until = min(self.clock.now_us + int(HOLD * rule.target_time), op.ends_us - MARGIN)
        again = True
        while True:
            now = self.clock.now_us
            out = [hop for hop in hops if hop.out]
            usual = pace.mean(now)
            server = None
            if again and len(hops) < max(rule.action.tries, 1) + 2 and arrived + len(out) < rule.action.tries:
                early = bool(out) and now < overdue
                within = SECOND_ANSWER * usual if early else math.inf
                server = fleet.choose(now, usual, [hop.server for hop in hops], within)
                # The first to arrive is the request itself; all others are paid for.
                if server is not None and (arrived or out) and not budget.spend(now, early):
                    server = None
                    again = bool(not out and not ran)
                    if not out:
                        break
            if server is not None:
                hop = Attempt(op, server, len(hops), now)
                hops.append(hop)
                fleet.sent(now, hop)
                yield Send(hop)
                out.append(hop)
                overdue = now + int(max(SLOWEST * usual, usual + PATIENCE * pace.deviation(now)))
                until = self.hedge_us(op, now, usual, pace.deviation(now), overdue)
                again = False
            elif not out:
                if hops or now >= held_until:
                    break
                word = yield Pause(min(now + POLL, held_until))
                if word is Word.GONE:
                    return
                continue
            word = yield Pause(min(until, op.ends_us) if idem else op.ends_us)
            now = self.clock.now_us
            if word is Word.GONE:
                return
            if word is Word.TIME or word is Word.WOKEN:
                if now >= op.ends_us - 1:
                    return (yield Respond(Verdict.GIVE_UP, 0, 504))
                again = idem and now >= until
                if again:
                    until = overdue if now < overdue else op.ends_us  # one more beside it, once
                continue
            hop, report = word
            if report.closed:
                return
            if report.outcome not in (Outcome.NO_CONNECTION, Outcome.NEVER_SENT):
                arrived += 1
            if not report.outcome.never_ran:
                ran = True
            if any(each.out for each in hops):
                continue
            if now >= op.ends_us - MARGIN or (ran and not idem):
                break
            again = True
        if ran and not idem:
            yield Respond(Verdict.GIVE_UP, 0, 502)
        elif not hops:
            yield Respond(Verdict.TURN_BACK, self.back(rule), 503)
        elif idem and ran:
            yield Respond(Verdict.GIVE_UP, 0, 502)
        else:
            yield Respond(Verdict.TURN_BACK, self.back(rule), 503)

    @staticmethod
    def hedge_us(op: RoutedRequest, now_us: int, usual: float, deviation: float, overdue_us: int) -> int:
        """When a repeatable request that was sent now is sent to another server too, in us.

        Early enough that the other one's answer is inside the aim, where what is sent has had its usual time
        by then; else only once it is overdue (Dean and Barroso, "The Tail at Scale", 2013). Guards requests
        at servers that turned slow, or fell silent: an answer beyond the aim may be worth a tenth.
        """
        last_us = op.arrived_us + op.rule.target_time - WAYS - int(SECOND_ANSWER * usual)
        if last_us < now_us + usual + deviation:
            return overdue_us
        return min(last_us, overdue_us)

    def back(self, rule: Rule) -> int:
        """When one that found no server may come back: spread, so that those refused together don't."""
        return math.ceil(rule.target_time * BACK * (0.5 + self.random.random()))

    def out(self) -> dict[str, int]:
        """What this proxy has out at each server, for its neighbours."""
        return {name: out for fleet in self.fleets.values() for name, out in fleet.out().items()}

    def ill(self) -> list[str]:
        """The servers that answer this proxy badly, for its neighbours."""
        now = self.clock.now_us
        return [name for fleet in self.fleets.values() for name in fleet.ill(now)]
