"""Operators and limiters of the simulated control plane, and the history of what they were told."""

import asyncio
from dataclasses import dataclass

import msgspec

from lapisgrade.lab.simulation.cluster import CALLS_PORT, PORT, CallReply, Cluster, OperatorCall
from lapisgrade.lab.simulation.network import Endpoint
from lapisgrade.lab.simulation.virtual_loop import CURRENT, Process
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_delta import decode

PATIENCE = 1.0  # s that an operator waits for an answer
TRIES = 40  # of one order; then it is left without a clear answer
ENDS = (400, 409, 412, 413, 422)  # statuses that end an order


@dataclass(slots=True)
class Operation:
    """One order or read, as its caller saw it. Times in us; `returned` is None where no clear answer came."""

    kind: str  # "change" or "read"
    called: int
    returned: int | None = None
    status: int = 0
    ver: int = 0
    base: int = 0
    text: bytes = b""  # what was read


async def call_any(
    cluster: Cluster, endpoint: Endpoint, call: str, body: bytes, first: str = ""
) -> CallReply | None:
    """Call one machine that the list names, `first` if it runs; None for no answer."""
    machines = [each for each in cluster.machines.values() if not each.removed]
    machine = cluster.machines.get(first) or cluster.loop.random.choice(machines)
    got = await endpoint.call((machine.ip, CALLS_PORT), OperatorCall(call, "", body), PATIENCE)
    reply = got.value_or(None)
    return reply if isinstance(reply, CallReply) else None


class Client:
    """A process on a host of its own that no cut touches."""

    def __init__(self, cluster: Cluster, name: str, host: str) -> None:
        self.cluster, self.loop, self.random = cluster, cluster.loop, cluster.loop.random
        self.process = Process(name)
        cluster.processes.append(self.process)
        self.endpoint = Endpoint(cluster.network, self.process, host, self._answer, lambda word: None)

    async def _answer(self, message: object) -> None:
        return None

    def begin(self, work) -> asyncio.Task:
        token = CURRENT.set(self.process)
        try:
            return self.loop.create_task(work)
        finally:
            CURRENT.reset(token)


class Operator(Client):
    """Sends changes on top of what it knows last, and again until an answer is clear; reads between them."""

    def __init__(
        self,
        cluster: Cluster,
        number: int,
        history: list[Operation],
        routes: int = 3,
        pause: float = 0.4,
    ) -> None:
        """`pause`: s between its calls, at the most."""
        super().__init__(cluster, f"operator {number}", f"10.1.0.{number}")
        self.number, self.history, self.routes = number, history, routes
        self.known = 0
        self.pause = pause
        self.ack_lost = 0.2  # part of the answers that are lost on their way
        self.most_reads: int | None = None  # reads in a row, before a change comes; None: as many as drawn
        self.repeats = 0.2  # part of the orders that are sent again some time after they were answered

    async def work(self) -> None:
        reads = 0
        while True:
            await asyncio.sleep(self.random.random() * self.pause)
            if self.random.random() < 0.4 and reads != self.most_reads:
                reads += 1
                await self.read()
            else:
                reads = 0
                await self.change()

    def body(self, ver: int, base: int) -> tuple[str, bytes]:
        """An order; its content tells it apart from any other of that version."""
        mark = f"{self.number}-{self.loop.now_us}"
        services = [{"Name": "svc"}, {"Name": f"mark-{mark}"}]
        if base and self.random.random() < 0.7:
            change = {"Ver": ver, "Base": base, "Upsert": {"Pools": services[1:]}}
            return "conf.update", msgspec.json.encode(change)
        rules = [
            {
                "Name": f"r{i}",
                "Match": {"Pfx": f"/p{i}/"},
                "Action": {"Svc": "svc", "Timeout": f"{1 + ver % 9}s"},
            }
            for i in range(self.routes)
        ]
        ports = [{"Vhost": "a.example", "Policy": rules}]
        whole = {"Ver": ver, "Base": base, "Ports": ports, "Pools": services}
        return "conf.replace", msgspec.json.encode(whole)

    async def change(self) -> None:
        base = self.known
        ver = base + 1 + self.random.randrange(2)
        call, body = self.body(ver, base)
        operation = Operation("change", self.loop.now_us, ver=ver, base=base, text=body)
        self.history.append(operation)
        wait = 0.03
        for _ in range(TRIES):
            reply = await call_any(self.cluster, self.endpoint, call, self.respelt(body))
            lost = self.random.random() < self.ack_lost
            if reply is not None and not lost and (reply.status == 200 or reply.status in ENDS):
                operation.status, operation.returned = reply.status, self.loop.now_us
                if reply.status == 200:
                    self.known = max(self.known, ver)
                else:
                    await self.read()
                if self.random.random() < self.repeats:
                    await self.repeat(operation, call, body)
                return
            await asyncio.sleep(wait)
            wait = min(0.5, wait * 1.6)
        await self.read()

    def respelt(self, body: bytes) -> bytes:
        """The same order, at times laid out in another way."""
        if self.random.random() < 0.7:
            return body
        raw = msgspec.json.decode(body)
        return msgspec.json.format(msgspec.json.encode(dict(reversed(raw.items()))), indent=1)

    async def repeat(self, operation: Operation, call: str, body: bytes) -> None:
        """Send an order that was answered once more, some time later: it is answered alike."""
        await asyncio.sleep(self.random.random() * 3)
        reply = await call_any(self.cluster, self.endpoint, call, self.respelt(body))
        if reply is None or reply.status >= 500:
            return
        if operation.status == 200 and reply.status != 200:
            self.cluster.invariants.break_(
                f"version {operation.ver} was taken, and is refused when sent again: {reply.status}"
            )
        if operation.status != 200 and reply.status == 200:
            self.cluster.invariants.break_(
                f"version {operation.ver} was refused, and is taken when sent again"
            )

    async def read(self) -> None:
        operation = Operation("read", self.loop.now_us)
        reply = await call_any(self.cluster, self.endpoint, "conf.show", b"")
        if reply is None or reply.status not in (200, 404):
            return
        operation.returned, operation.status = self.loop.now_us, reply.status
        operation.text = reply.body if reply.status == 200 else b""
        operation.ver = msgspec.json.decode(reply.body)["Ver"] if reply.status == 200 else 0
        self.history.append(operation)
        self.known = max(self.known, operation.ver)


class Limiter(Client):
    """Asks for news as a proxy does, and notes whether anything goes back."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        super().__init__(cluster, f"limiter {number}", f"10.2.0.{number}")
        self.number, self.ver, self.life, self.turn, self.fence = number, 0, "", 0, 0
        self.texts: dict[int, bytes] = {}
        self.leader, self.term, self.lost_base = "", 0, False
        self.fresh_us = 0  # when the last answered ask was sent

    async def work(self) -> None:
        while True:
            await self.ask()

    async def ask(self) -> None:
        held = max(self.texts, default=self.ver)
        machines = [each for each in self.cluster.machines.values() if not each.removed]
        place = self.leader or f"{self.random.choice(machines).ip}:{PORT}"
        ask = rpc_messages.WatchRequest(
            f"limiter-{self.number}",
            f"10.2.0.{self.number}:7600",
            "life",
            "z",
            self.ver,
            self.life,
            self.turn,
            self.fence,
            staged_version=held,
            needs_full_version=self.lost_base,
        )
        host, _, port = place.rpartition(":")
        sent = self.loop.now_us
        got = await self.endpoint.call((host, int(port)), ask, 0.6)
        news = got.value_or(None)
        if not isinstance(news, rpc_messages.WatchReply) or not news.is_leader:
            self.leader = news.leader_address if isinstance(news, rpc_messages.WatchReply) else ""
            await asyncio.sleep(0.05)
            return
        self.leader = place
        term = int(news.registry_incarnation.rstrip("+"))
        if term < self.term:
            self.leader = ""
            return
        self.term = term
        try:
            self.take(news)
            self.lost_base = False
        except InvalidInputError as wrong:
            if self.lost_base:
                self.cluster.invariants.break_(f"limiter {self.number} can't read a version: {wrong}")
            self.lost_base = True
            return
        self.fresh_us = sent
        self.life, self.turn, self.fence = (
            news.registry_incarnation,
            news.registry_revision,
            news.fencing_token,
        )

    def take(self, news: rpc_messages.WatchReply) -> None:
        invariants = self.cluster.invariants
        if news.active_configuration is not None:
            self.keep(news.active_configuration)
        for encoded in news.staged_versions.values():
            if encoded.version not in self.texts:
                self.keep(encoded)
        if news.active_version < self.ver:
            invariants.break_(f"limiter {self.number} is told version {news.active_version} after {self.ver}")
        if news.fencing_token < self.fence:
            invariants.break_(f"limiter {self.number} is told fence {news.fencing_token} after {self.fence}")
        if news.active_version > self.ver:
            if news.active_version in self.texts:
                self.ver = news.active_version
            self.texts = {ver: text for ver, text in self.texts.items() if ver >= self.ver}

    def keep(self, encoded) -> None:
        text = decode(encoded, self.texts.get(encoded.base, b""))
        self.texts[encoded.version] = text
        known = self.cluster.invariants.versions.get(encoded.version)
        if known is None or known[1] != text:
            self.cluster.invariants.break_(f"limiter {self.number} has another version {encoded.version}")
