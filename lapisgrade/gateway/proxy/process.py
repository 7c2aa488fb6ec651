"""One proxy as a process: clients and servers on the limiter's own sockets, the router as its module, and
what it asks of control and of other proxies."""

import asyncio
import logging
import os
from collections import Counter
from random import Random

import msgspec

from lapisgrade.interface import Lines
from lapisgrade.net.http import Message as Http
from lapisgrade.gateway import SECOND, rpc_messages, configuration
from lapisgrade.peers.frame import MOST_NAME
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode
from lapisgrade.gateway.membership.subsets import REPEAT
from lapisgrade.gateway.membership.gossip import Gossip
from lapisgrade.gateway.membership.partial_view import PartialView
from lapisgrade.gateway.http_server import HttpServer
from lapisgrade.gateway.routing import upstream_protocol
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.proxy.client_front import ClientFront
from lapisgrade.gateway.proxy.control_client import ControlClient
from lapisgrade.gateway.proxy.host import Pool, ProxyHost
from lapisgrade.gateway.proxy.quota_transport import QuotaTransport
from lapisgrade.gateway.settings import Bad, Settings, address
from lapisgrade.gateway.clock import now_us
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.configuration import Table
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import HOLDS
from lapisgrade.gateway.rpc import RpcEndpoint

log = logging.getLogger("proxy")

NEWS = Watch.HOLD / SECOND + 0.35  # s that an ask for news may take
MET = 2  # proxies of a new list of live proxies that a view is told of: halves that were cut meet again
GATHER = 0.006  # s in which changes of what is out are told together
ASK_AGAIN = 0.05  # s before another controller is asked
ISOLATED = 1_500_000  # us without an answer from another machine after which clients are better off elsewhere
DIAL_US = 400_000  # us that a server may take to come up
IDLE_US = 4 * SECOND  # us that a server's connection is kept where it says nothing itself
MOST_REGISTER = 4096  # servers beyond which those that are gone are forgotten
OWN_FILES = 200  # descriptors that the platform keeps for files
COMING = 2.6  # s after SIGTERM in which the platform may still send connections
LOOK = 0.05  # s between looks whether all is answered


class Proxy:
    """`run` until `end` is called."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.counts = settings, Counter()
        self.random = Random(int.from_bytes(os.urandom(8), "big"))
        self.inner = settings.inner(1)
        self.host = ProxyHost(
            lambda clock: Router(
                clock, self.random.getrandbits(32), settings.slo, settings.az, settings.hostname
            ),
            now_us,
            self.said,
            self.counts,
        )
        self.router: Router = self.host.module
        self.host.changed = self.loads_changed
        sockets = max(64, settings.caps.nofile - OWN_FILES)
        self.client_front = ClientFront(self, sockets // 2)
        self.host.pool = Pool(
            self.host.enqueue,
            now_us,
            self.said,
            self.counts,
            Lines(DIAL_US, IDLE_US),
            sockets // 4,
            upstream_protocol.UpstreamProtocol(),
        )
        self.host.pool.idle_connections = self.router.idle_connections
        self.host.counter = self.quota_transport = QuotaTransport(self)
        self.rpc = RpcEndpoint(rpc_messages.Message, self._answer, self._word)
        self.readyz = HttpServer(self._ready, 4096)
        self.acts_until = 0  # us until when a count may be held under the list of live proxies
        self.ver, self.life, self.turn, self.wants_known = 0, "", 0, False
        self._texts: dict[int, bytes] = {}  # of the version in force and those held ready
        self._lost_base = False  # a version could not be read: the next ones are asked for whole
        self.own = f"{self.random.getrandbits(64):016x}"  # this process's life
        self.quota_owner = QuotaOwner(settings.hostname, self.own, now_us())
        self.refused: set[str] = set()
        self.touched = 0  # us; when another machine, or a controller that leads, last answered
        self.register: dict[str, rpc_messages.Server] = {}
        self.partial_view = PartialView(str(self.inner), settings.az, self.random, now_us())
        self.gossip = Gossip(settings.hostname[:MOST_NAME], self.partial_view, now_us, self.said)
        self.control_client = ControlClient(self.random, self.partial_view, [])
        self._seeds()
        self._end = asyncio.Event()
        self._telling: asyncio.TimerHandle | None = None

    def said(self, text: str) -> None:
        self.counts["remarks"] += 1
        log.debug("%s", text)

    def end(self) -> None:
        self._end.set()

    def reload(self, settings: Settings) -> None:
        """Only who else to ask may change under what is open."""
        self.settings = settings
        self._seeds()

    def _seeds(self) -> None:
        """The machines that the settings name run a controller and a proxy each."""
        first, hosts = self.settings.portrange[0], [each[0] for each in self.settings.peers]
        self.control_client.seeds = [f"{host}:{first}" for host in hosts]
        self.partial_view.introduced([f"{host}:{self.inner[1]}" for host in hosts])

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self.host.run()), loop.create_task(self._follow())]
        for task in tasks:
            task.add_done_callback(self._broke_off)
        bind = self.settings.bind
        await self.rpc.listen(self.inner)
        await self.gossip.open(*self.inner)
        await self.readyz.listen(bind.readyz)
        await self.client_front.listen(bind.http)
        ends = None
        try:
            await self._end.wait()
            ends = loop.time() + self.settings.slo.grace / SECOND - 0.4
            self.client_front.is_draining = True
            self.client_front.closes_after_response = True
            log.info(
                "told to end: %d connections, %d requests",
                len(self.client_front.clients),
                len(self.host.unanswered),
            )
            await asyncio.sleep(COMING)
            self.client_front.close_idle()
            while (self.client_front.clients or self.host.unanswered) and loop.time() < ends:
                await asyncio.sleep(LOOK)
                self.client_front.close_idle()
        finally:
            for task in tasks:
                task.cancel()
            self.client_front.close()
            self.host.pool.close()
            self.readyz.close()
            self.quota_transport.close()
            self.rpc.close()
            self.gossip.close()
            log.info("counts %s", dict(sorted((self.counts + self.gossip.udp.counts).items())))

    def _broke_off(self, task: asyncio.Task) -> None:
        """A task that should run on has ended: so does the process, to start anew (guards against half a
        life)."""
        if not task.cancelled():
            log.error("a task broke off", exc_info=task.exception())
            self.counts["tasks broken off"] += 1
            self._end.set()

    # ---- what others ask

    @property
    def ready(self) -> bool:
        """Whether it knows a configuration, the servers and who holds the counts, and is not told to end."""
        known = self.router.table is not None and self.life and self.quota_owner.fence
        return bool(known) and not self.client_front.is_draining and not self.isolated

    @property
    def isolated(self) -> bool:
        """Whether no other machine answers, though others live: its tenants' counts are out of reach, and the
        platform does better to send clients to the others (guards them from 429 within their quotas)."""
        return len(self.quota_owner.proxies) > 1 and now_us() - self.touched > ISOLATED

    def touch(self, place: tuple[str, int], leads: bool = False) -> None:
        if leads or place[0] != self.settings.ip:
            self.touched = now_us()

    async def _ready(self, message: Http) -> tuple[int, bytes, bytes]:
        if message.head.target != b"/-/readyz":
            return 404, b"", b""
        return 200 if self.ready else 503, b"", b""

    def _word(self, message: rpc_messages.Message) -> None:
        if isinstance(message, rpc_messages.ProxyLoads):
            self.router.subsets.heard(now_us(), message.by, message.out, message.ill)

    def loads_changed(self) -> None:
        """Tell the neighbours soon what is out, all changes of a moment together."""
        loop = asyncio.get_running_loop()
        if self._telling is None or self._telling.when() - loop.time() > GATHER:
            if self._telling is not None:
                self._telling.cancel()
            self._telling = loop.call_later(GATHER, self._tell_loads)

    def _tell_loads(self) -> None:
        # Said again after a while, so that silence means that a neighbour is gone.
        self._telling = asyncio.get_running_loop().call_later(REPEAT / SECOND, self._tell_loads)
        word = rpc_messages.ProxyLoads(self.settings.hostname, self.router.out(), self.router.ill())
        for place in self.router.subsets.neighbours.values():
            self.rpc.post(address(place), word)

    async def _answer(self, message: rpc_messages.Message) -> rpc_messages.Message | None:
        if isinstance(message, rpc_messages.QuotaRequest):
            return await self.quota_transport.answer_add(message)
        if isinstance(message, rpc_messages.HandOverRequest):
            return self.quota_transport.answer_hand_over(message)
        if isinstance(message, rpc_messages.WatchRequest):
            # One that is cut off from the controllers asks through us.
            leader = self.control_client.leader
            if not leader or now_us() - self.control_client.direct_at > NEWS * SECOND:
                return rpc_messages.WatchReply(False)
            self.counts["asks passed on"] += 1
            got = await self.rpc.call(address(leader), message, NEWS)
            return got.value_or(None) or rpc_messages.WatchReply(False)
        return None

    # ---- news of control

    async def _follow(self) -> None:
        """Ask whoever leads for news, on and on; through another proxy where no controller answers."""
        control_client = self.control_client
        while True:
            place, sent = address(control_client.next(now_us())), now_us()
            ask = rpc_messages.WatchRequest(
                self.settings.hostname,
                str(self.inner),
                self.own,
                self.settings.az,
                self.ver,
                self.life,
                self.turn,
                # at once, where some ask was not answered
                self.quota_owner.fence if not control_client.fails else 0,
                list(self.register.values()) if self.wants_known else [],
                sorted(self.refused),
                max(self.router.held, default=self.ver),
                self.settings.quorum,
                self._lost_base,
                self._end.is_set(),
            )
            got = await self.rpc.call(place, ask, NEWS)
            news = got.value_or(None)
            if isinstance(news, rpc_messages.WatchReply):
                self.touch(place, news.leads)
            self.counts["asks"] += 1
            if control_client.answered(now_us(), news if isinstance(news, rpc_messages.WatchReply) else None):
                try:
                    self._take(news, sent)
                except (Bad, msgspec.MsgspecError) as wrong:
                    log.error("a configuration that can't be read: %s", wrong)
                    self._lost_base = True
                    await asyncio.sleep(ASK_AGAIN)
                continue
            self.counts["asks unanswered"] += 1
            await asyncio.sleep(ASK_AGAIN)

    def _act(self, table: Table) -> None:
        """That version is in force."""
        self.ver, caps = table.ver, table.made.caps
        self.client_front.idle_timeout_s = caps.idle / SECOND + 1.0
        self.client_front.request_timeout_s = max(caps.hdr / SECOND, 1.0) + 7.0
        self.client_front.max_body_bytes = caps.body_bytes
        self.router.configured(table)
        log.info("version %d", self.ver)

    def _table(self, encoded: EncodedVersion) -> Table:
        """That version, read; Bad where it can't be."""
        text = decode(encoded, self._texts.get(encoded.base, b""))
        table = Table(configuration.read(msgspec.json.decode(text)))
        if table.ver != encoded.ver:
            raise Bad(f"version {encoded.ver} calls itself {table.ver}")
        kept = {self.ver, table.ver, *self.router.held}
        self._texts = {ver: each for ver, each in self._texts.items() if ver in kept}
        self._texts[table.ver] = text
        return table

    def _take(self, news: rpc_messages.WatchReply, sent: int) -> None:
        """News from who leads, in answer to an ask that was `sent` then, in us.

        Bad or one of msgspec's errors where a version can't be read.
        """
        self.host.clock.now_us = max(self.host.clock.now_us, now_us())
        self._take_versions(news)
        if news.servers or news.whole:
            self._take_servers(news)
        self.life, self.turn, self.wants_known = news.life, news.turn, news.wants_known
        members = self.quota_owner.heard(now_us(), news)
        if members is not None:
            self._take_live_proxies(members)
        if self.settings.hostname in self.quota_owner.proxies:
            # One that the list of live proxies does not name may be unknown to a leader who orders a version
            # into force.
            self.router.heard_us = max(self.router.heard_us, sent)
        if news.fence == self.quota_owner.fence:
            self.acts_until = sent + HOLDS
            self.router.shared_by(len(self.quota_owner.proxies))

    def _take_versions(self, news: rpc_messages.WatchReply) -> None:
        """The version in force, and newer ones to be held ready."""
        held = self.router.held
        if news.conf is not None and news.ver > self.ver:
            self._act(self._table(news.conf))
        elif news.ver in held:
            self._act(held[news.ver])
        elif news.ver > self.ver:
            held.clear()  # what is in force was never held here: ask for it
        for ver, encoded in news.staged.items():
            if ver > self.ver and ver not in self.router.held:
                self.router.hold(self._table(encoded), ver in news.merged)
        self._lost_base = False

    def _take_servers(self, news: rpc_messages.WatchReply) -> None:
        """Servers that came, went or changed; all there are, where the news is whole."""
        whole = news.whole and news.settled
        if whole:
            self.register = {}
        for each in news.servers:
            old = self.register.get(each.id)
            if old is not None and not each.address:
                each.address, each.svc = old.address, old.svc
            self.register[each.id] = each
        self.router.listed(news.servers, whole)
        self.host.pool.update_addresses(
            {
                each.id: tuple(address(each.address)) if each.state in ("up", "drain") else None
                for each in news.servers
                if each.address
            }
        )
        for each in [each for each in self.register.values() if each.state in ("gone", "lost")]:
            if each.state == "lost" or len(self.register) > MOST_REGISTER:
                del self.register[each.id]

    def _take_live_proxies(self, members: rpc_messages.Members) -> None:
        """A newer list of live proxies."""
        self.router.subsets.told(members)
        places = [each[0] for each in members.values()]
        self.partial_view.introduced(self.random.sample(places, min(MET, len(places))))
        self.loads_changed()
        self.refused &= set(members)
