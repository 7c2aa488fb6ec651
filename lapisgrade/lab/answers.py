"""Plays of answers and their owners: a small site in this process, on sockets, before servers that break off,
answer late, twice, with another's answer first, without a length, or not at all, and clients that leave.

What must hold: an answer ends the request that it belongs to or none; what may run once runs once at most; a
promise that a request has not run is kept; a success is a server's whole answer with its seal.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lapisgrade.gateway.fake_server import FakeServer
from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.gateway.local_cluster import SAMPLE, LocalCluster
from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.gateway.routing.upstream_protocol import UpstreamProtocol
from lapisgrade.interface import AttemptOutcome
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.host import LocalResponse
from lapisgrade.net.http import MalformedMessageError, Message
from lapisgrade.net.upstream_connection import UpstreamConnection

KEY = f"Bearer {SAMPLE['Tenants'][0]['Apikeys'][0]}"
PROMISES = (408, 421, 429, 503)
TRIES = 2  # servers that one try may be sent to, in the sample's routes
CLIENTS = 6  # at each limiter
ENOUGH = 250  # tries of a play
LONGEST = 8  # times the seconds of a play that it may last for them
LEAVES = 0.05  # part of the requests whose client leaves early
WORK = 0.004  # s that a server works on a request
MANNERS = {
    "well": 12, "reset unread": 1, "runs and resets": 1, "runs and is silent": 1, "another's first": 2,
    "twice": 1, "again late": 1, "not run": 1, "cut short": 1, "without its seal": 1, "without a length": 1,
}  # fmt: skip


class Unruly(FakeServer):
    """A stand-in that answers each request in a manner drawn by chance."""

    def __init__(self, *args: Any, chance: Random, **more: Any) -> None:
        super().__init__(*args, **more)
        self.chance = chance
        self.arrived: Counter[str] = Counter()  # by Try-Id, run or not
        self._lately: deque[str] = deque(maxlen=8)  # ids of others, whose answers come astray

    async def _answer_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request in some manner; whether the connection goes on."""
        name = message.headers()[b"try-id"].decode()
        self.arrived[name] += 1
        manner = self.chance.choices(list(MANNERS), list(MANNERS.values()))[0]
        if manner == "reset unread":
            writer.transport.abort()
            return False
        own = f"Try-Id: {name}\r\nServer-Load: 0,0,{self.slots}\r\n"
        if manner == "not run":
            writer.write(encode_response(503, b"", (own + "Not-Run: 1\r\n").encode()))
            return True
        self.run_counts[name] += 1
        await asyncio.sleep(WORK)
        body = f"{message.head.target.decode()} {name}".encode()
        whole = encode_response(200, body, (own + "Server-Seal: seal\r\n").encode())
        return self._say(manner, whole, body, own, writer, name)

    def _say(
        self, manner: str, whole: bytes, body: bytes, own: str, writer: asyncio.StreamWriter, name: str
    ) -> bool:
        other = self._lately[0] if self._lately else "another"
        self._lately.append(name)
        match manner:
            case "runs and resets":
                writer.transport.abort()
            case "runs and is silent":
                asyncio.get_running_loop().call_later(0.3, writer.transport.abort)
            case "another's first":
                astray = f"/astray {other}".encode()
                writer.write(
                    encode_response(200, astray, f"Try-Id: {other}\r\nServer-Seal: seal\r\n".encode()) + whole
                )
            case "twice":
                writer.write(whole + whole)
            case "again late":
                writer.write(whole)
                asyncio.get_running_loop().call_later(0.02, writer.write, whole)
            case "cut short":
                writer.write(whole[:-3])
                writer.close()
            case "without its seal":
                writer.write(encode_response(200, body, own.encode()))
            case "without a length":
                writer.write(f"HTTP/1.1 200 OK\r\n{own}\r\n".encode() + body)
                writer.transport.abort()
            case _:
                writer.write(whole)
        return manner not in ("runs and resets", "runs and is silent", "cut short", "without a length")


@dataclass(slots=True)
class ClientRequest:
    """One try of a client, and what it was told; status 0 where nothing came or the client left."""

    once: bool  # whether it may run once alone
    status: int = 0
    body: bytes = b""
    sealed: bool = False


@dataclass(slots=True)
class Findings:
    tries: dict[str, ClientRequest] = field(default_factory=dict)
    ran: Counter[str] = field(default_factory=Counter)
    arrived: Counter[str] = field(default_factory=Counter)

    def violations(self) -> list[str]:
        """What must not be."""
        out = []
        for name, each in self.tries.items():
            if each.once and self.ran[name] > 1:
                out.append(f"{name} may run once, and ran {self.ran[name]} times")
            if each.once and each.status in PROMISES and self.ran[name]:
                out.append(f"{name} was promised not to have run ({each.status}), and ran")
            if self.arrived[name] > TRIES:
                out.append(f"{name} came to {self.arrived[name]} servers")
            if 200 <= each.status < 300:
                if not each.body.endswith(name.encode()):
                    out.append(f"{name} got the answer {each.body!r}")
                if not each.sealed or not self.ran[name]:
                    out.append(f"{name} got a success that no server gave")
        strange = set(self.arrived) - set(self.tries)
        return out + [f"{name} came to a server, and no client sent it" for name in sorted(strange)]


async def client(
    site: LocalCluster, name: str, chance: Random, found: Findings, goes_on: Callable[[], bool]
) -> None:
    """One client's requests, one after another."""
    while goes_on():
        once, id = chance.random() < 0.5, f"{chance.getrandbits(64):016x}"
        one = found.tries[id] = ClientRequest(once)
        fields = {"Host": "a.example", "Try-Id": id, "Deadline-Ms": "900", "Authorization": KEY}
        sent = send_request(
            site.http_address(name),
            "POST" if once else "GET",
            "/claim/1" if once else "/stock/1",
            fields=fields,
        )
        try:
            async with asyncio.timeout(0.003 if chance.random() < LEAVES else 3.0):
                got = await sent
        except (OSError, TimeoutError, MalformedMessageError):
            continue
        one.status, one.body = got.head.status_code, b"".join(got.body)
        one.sealed = b"server-seal" in got.headers()
        await asyncio.sleep(0.002)


async def run_requests(seed: int, net: int, seconds: float = 2.0, servers: int = 3) -> Findings:
    """So many seconds of requests at a site of one machine; on a machine that is busy as many more as it
    takes for enough of them."""
    chance, found = Random(seed), Findings()
    unmetered = {**SAMPLE["Tenants"][0], "RateS": 0, "Burst": 0}
    async with LocalCluster(1, 1, net) as site:
        unruly = [
            Unruly(f"i-{i}", "garantie", (f"127.{net}.1.{i}", 8080), slots=16, chance=Random(seed + i))
            for i in range(1, servers + 1)
        ]
        for each in unruly:
            await each.start()
            site.servers[each.name] = each
            site._tasks[each] = asyncio.get_running_loop().create_task(site._send_heartbeats(each))
        while await site.put({**SAMPLE, "Tenants": [unmetered]}) != 200:
            await asyncio.sleep(0.01)
        proxy = site.proxies["m1"]
        await site.until(lambda: proxy.ready and len(proxy.servers) == servers)
        loop = asyncio.get_running_loop()
        began = loop.time()

        def goes_on() -> bool:
            played = loop.time() - began
            return played < seconds or (len(found.tries) < ENOUGH and played < LONGEST * seconds)

        clients = [client(site, "m1", Random(chance.random()), found, goes_on) for _ in range(CLIENTS)]
        await asyncio.gather(*clients)
        await asyncio.sleep(0.5)  # what was sent may still arrive
        for each in unruly:
            found.ran.update(each.run_counts)
            found.arrived.update(each.arrived)
    return found


# ---- wrong versions

_classify = UpstreamProtocol.classify
_close = UpstreamConnection.close
_local_response = ProxyHost.local_response


def _by_order(self: UpstreamProtocol, hop: Any, message: Message) -> bool:
    """Whatever comes next is the answer."""
    return False


def _any_id(self: UpstreamProtocol, hop: Any, message: Message) -> CloseReason:
    """An answer is taken whose id is another's."""
    asked = hop.operation.handle
    before, asked.request_id = asked.request_id, message.headers().get(b"try-id", asked.request_id)
    try:
        return _classify(self, hop, message)
    finally:
        asked.request_id = before


def _unsealed(self: UpstreamProtocol, hop: Any, message: Message) -> CloseReason:
    """A success counts without the server's seal."""
    return CloseReason.ANSWERED if 200 <= message.head.status_code < 300 else _classify(self, hop, message)


def _broken_is_unsent(self: UpstreamConnection, reason: CloseReason) -> None:
    """A connection that breaks off is taken for one on which nothing was sent."""
    _close(self, CloseReason.INCOMPLETE_WRITE if reason is CloseReason.CONNECTION_LOST else reason)


def _always_promises(self: ProxyHost, answer: Any) -> LocalResponse:
    """What may have run is told to come back."""
    response = _local_response(self, answer)
    return LocalResponse(503, b"Retry-After: 0.1\r\n") if response.status in (502, 504) else response


MUTANTS: dict[str, list[tuple[Any, str, Any]]] = {
    "answer-by-order": [(UpstreamProtocol, "is_stray", _by_order), (UpstreamProtocol, "classify", _any_id)],
    "unsealed-success": [(UpstreamProtocol, "classify", _unsealed)],
    "broken-is-unsent": [(UpstreamConnection, "close", _broken_is_unsent)],
    "always-promises": [(ProxyHost, "local_response", _always_promises)],
    "all-never-ran": [(AttemptOutcome, "never_ran", property(lambda self: True))],
}
