"""Runs requests through a small cluster whose servers misbehave and whose clients disconnect.

The cluster runs in this process, and its parts communicate over sockets on loopback.

The servers close connections, respond late, twice, with the response of another request first, without a
length, or not at all. Four properties are checked: a response ends its own request or none; a non-idempotent
request runs at most once; a request that is reported to the client as not run has not run; a success is a
server's complete, sealed response. MUTANTS are defects of the proxy that the check must detect.
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

AUTHORIZATION = f"Bearer {SAMPLE['Tenants'][0]['Apikeys'][0]}"
NOT_RUN_STATUSES = (408, 421, 429, 503)  # with these a proxy tells the client that the request has not run
MAX_ATTEMPTS = 2  # servers to which a request may be sent; `Tries` of the sample's routes
CLIENTS = 6  # per proxy
MIN_REQUESTS = 250  # per run; on a slow machine the run is extended until there are as many
MAX_EXTENSION_FACTOR = 8  # longest extended run, as a multiple of the requested duration
DISCONNECT_SHARE = 0.05  # share of the requests whose client disconnects before the response
SERVICE_TIME_S = 0.004
BEHAVIOR_WEIGHTS = {  # relative frequency of each behavior of a server
    "normal": 12, "reset before run": 1, "reset after run": 1, "no response": 1, "other response first": 2,
    "duplicate": 1, "late duplicate": 1, "not run": 1, "truncated": 1, "no seal": 1, "no length": 1,
}  # fmt: skip


class MisbehavingServer(FakeServer):
    """A fake server with a random behavior for each request.

    Attributes:
        random: Random numbers of the behaviors.
        arrived: By Try-Id: number of times that the request was received, run or not.
    """

    def __init__(self, *args: Any, random: Random, **options: Any) -> None:
        """Create a server that isn't started; `args` and `options` are those of `FakeServer`."""
        super().__init__(*args, **options)
        self.random = random
        self.arrived: Counter[str] = Counter()
        # Try-Ids of recent requests, for misdirected responses.
        self._recent_ids: deque[str] = deque(maxlen=8)

    async def _answer_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request with a random behavior; return whether the connection stays open."""
        try_id = message.headers()[b"try-id"].decode()
        self.arrived[try_id] += 1
        behavior = self.random.choices(list(BEHAVIOR_WEIGHTS), list(BEHAVIOR_WEIGHTS.values()))[0]
        if behavior == "reset before run":
            writer.transport.abort()
            return False
        own_fields = f"Try-Id: {try_id}\r\nServer-Load: 0,0,{self.slots}\r\n"
        if behavior == "not run":
            writer.write(encode_response(503, b"", (own_fields + "Not-Run: 1\r\n").encode()))
            return True
        self.run_counts[try_id] += 1
        await asyncio.sleep(SERVICE_TIME_S)
        body = f"{message.head.target.decode()} {try_id}".encode()
        response_bytes = encode_response(200, body, (own_fields + "Server-Seal: seal\r\n").encode())
        return self._respond(behavior, response_bytes, body, own_fields, writer, try_id)

    def _respond(
        self,
        behavior: str,
        response_bytes: bytes,
        body: bytes,
        own_fields: str,
        writer: asyncio.StreamWriter,
        try_id: str,
    ) -> bool:
        """Send a response in the way of `behavior`; return whether the connection stays open."""
        other_id = self._recent_ids[0] if self._recent_ids else "another"
        self._recent_ids.append(try_id)
        match behavior:
            case "reset after run":
                writer.transport.abort()
            case "no response":
                asyncio.get_running_loop().call_later(0.3, writer.transport.abort)
            case "other response first":
                other_body = f"/astray {other_id}".encode()
                writer.write(
                    encode_response(200, other_body, f"Try-Id: {other_id}\r\nServer-Seal: seal\r\n".encode())
                    + response_bytes
                )
            case "duplicate":
                writer.write(response_bytes + response_bytes)
            case "late duplicate":
                writer.write(response_bytes)
                asyncio.get_running_loop().call_later(0.02, writer.write, response_bytes)
            case "truncated":
                writer.write(response_bytes[:-3])
                writer.close()
            case "no seal":
                writer.write(encode_response(200, body, own_fields.encode()))
            case "no length":
                writer.write(f"HTTP/1.1 200 OK\r\n{own_fields}\r\n".encode() + body)
                writer.transport.abort()
            case _:
                writer.write(response_bytes)
        return behavior not in ("reset after run", "no response", "truncated", "no length")


@dataclass(slots=True)
class ClientRequest:
    """A client's request and the response that it got.

    Attributes:
        once: Whether the request is not idempotent, so that it may run at most once.
        status: Status code of the response; 0 without a response, or if the client disconnected.
        body: Body of the response.
        sealed: Whether the response has the server's seal.
    """

    once: bool
    status: int = 0
    body: bytes = b""
    sealed: bool = False


@dataclass(slots=True)
class Findings:
    """Requests of a run, and what the servers saw of them.

    Attributes:
        tries: By Try-Id: the client's request.
        ran: By Try-Id: number of times that the request ran.
        arrived: By Try-Id: number of times that a server received the request.
    """

    tries: dict[str, ClientRequest] = field(default_factory=dict)
    ran: Counter[str] = field(default_factory=Counter)
    arrived: Counter[str] = field(default_factory=Counter)

    def violations(self) -> list[str]:
        """Return a line for each violation of the properties; empty if all hold."""
        violations = []
        for try_id, request in self.tries.items():
            if request.once and self.ran[try_id] > 1:
                violations.append(f"{try_id} is not idempotent and ran {self.ran[try_id]} times")
            if request.once and request.status in NOT_RUN_STATUSES and self.ran[try_id]:
                violations.append(f"{try_id} was reported as not run (status {request.status}) but ran")
            if self.arrived[try_id] > MAX_ATTEMPTS:
                violations.append(f"{try_id} reached {self.arrived[try_id]} servers")
            if 200 <= request.status < 300:
                if not request.body.endswith(try_id.encode()):
                    violations.append(f"{try_id} got the response of another request: {request.body!r}")
                if not request.sealed or not self.ran[try_id]:
                    violations.append(f"{try_id} got a success without a seal or without having run")
        unknown = set(self.arrived) - set(self.tries)
        return violations + [
            f"{try_id} came to a server, and no client sent it" for try_id in sorted(unknown)
        ]


async def client(
    cluster: LocalCluster, name: str, random: Random, findings: Findings, should_continue: Callable[[], bool]
) -> None:
    """Send one client's requests, one after another, until `should_continue` returns false.

    Args:
        cluster: The cluster.
        name: Name of the machine whose proxy gets the requests.
        random: Random numbers of the client.
        findings: Gets the requests and their responses.
        should_continue: Called before each request.
    """
    while should_continue():
        once, try_id = random.random() < 0.5, f"{random.getrandbits(64):016x}"
        request = findings.tries[try_id] = ClientRequest(once)
        fields = {"Host": "a.example", "Try-Id": try_id, "Deadline-Ms": "900", "Authorization": AUTHORIZATION}
        pending_response = send_request(
            cluster.http_address(name),
            "POST" if once else "GET",
            "/claim/1" if once else "/stock/1",
            fields=fields,
        )
        try:
            # 3 ms is less than SERVICE_TIME_S, so the client disconnects before the response.
            async with asyncio.timeout(0.003 if random.random() < DISCONNECT_SHARE else 3.0):
                response = await pending_response
        except (OSError, TimeoutError, MalformedMessageError):
            continue
        request.status, request.body = response.head.status_code, b"".join(response.body)
        request.sealed = b"server-seal" in response.headers()
        await asyncio.sleep(0.002)


async def run_requests(seed: int, net: int, seconds: float = 2.0, servers: int = 3) -> Findings:
    """Send requests to a cluster of one machine whose servers misbehave.

    Args:
        seed: Seed of the clients' and servers' random choices; timing still varies between runs.
        net: Second byte of the loopback addresses of machines and servers, 127.`net`.x.x.
        seconds: Duration; extended up to MAX_EXTENSION_FACTOR times until there are MIN_REQUESTS.
        servers: Number of servers.
    """
    random, findings = Random(seed), Findings()
    unmetered = {**SAMPLE["Tenants"][0], "RateS": 0, "Burst": 0}  # RateS 0: no quota
    async with LocalCluster(1, 1, net) as cluster:
        misbehaving_servers = [
            MisbehavingServer(
                f"i-{number}",
                "garantie",
                (f"127.{net}.1.{number}", 8080),
                slots=16,
                random=Random(seed + number),
            )
            for number in range(1, servers + 1)
        ]
        for server in misbehaving_servers:
            await server.start()
            cluster.servers[server.name] = server
            cluster._tasks[server] = asyncio.get_running_loop().create_task(cluster._send_heartbeats(server))
        while await cluster.put({**SAMPLE, "Tenants": [unmetered]}) != 200:
            await asyncio.sleep(0.01)
        proxy = cluster.proxies["m1"]
        await cluster.until(lambda: proxy.ready and len(proxy.servers) == servers)
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        def should_continue() -> bool:
            elapsed_s = loop.time() - started_s
            return elapsed_s < seconds or (
                len(findings.tries) < MIN_REQUESTS and elapsed_s < MAX_EXTENSION_FACTOR * seconds
            )

        clients = [
            client(cluster, "m1", Random(random.random()), findings, should_continue) for _ in range(CLIENTS)
        ]
        await asyncio.gather(*clients)
        await asyncio.sleep(0.5)  # requests in flight may still arrive
        for server in misbehaving_servers:
            findings.ran.update(server.run_counts)
            findings.arrived.update(server.arrived)
    return findings


# ---- mutants: defects of the proxy, each of which must cause a violation

_classify = UpstreamProtocol.classify
_close = UpstreamConnection.close
_local_response = ProxyHost.local_response


def _accept_next_response(self: UpstreamProtocol, attempt: Any, message: Message) -> bool:
    """Take no response as a stray one: the next one counts as the current request's."""
    return False


def _accept_any_id(self: UpstreamProtocol, attempt: Any, message: Message) -> CloseReason:
    """Accept a response with the Try-Id of another request."""
    request = attempt.operation.handle
    original_id, request.request_id = request.request_id, message.headers().get(b"try-id", request.request_id)
    try:
        return _classify(self, attempt, message)
    finally:
        request.request_id = original_id


def _accept_unsealed(self: UpstreamProtocol, attempt: Any, message: Message) -> CloseReason:
    """Accept a success without the server's seal."""
    return (
        CloseReason.ANSWERED if 200 <= message.head.status_code < 300 else _classify(self, attempt, message)
    )


def _treat_lost_as_unsent(self: UpstreamConnection, reason: CloseReason) -> None:
    """Treat a lost connection as one on which the request was not sent completely."""
    _close(self, CloseReason.INCOMPLETE_WRITE if reason is CloseReason.CONNECTION_LOST else reason)


def _always_retryable(self: ProxyHost, rejection: Any) -> LocalResponse:
    """Tell the client to retry a request that may have run."""
    response = _local_response(self, rejection)
    return LocalResponse(503, b"Retry-After: 0.1\r\n") if response.status in (502, 504) else response


# By name: the class, its attribute and the defective replacement, for each attribute to replace.
MUTANTS: dict[str, list[tuple[Any, str, Any]]] = {
    "answer-by-order": [
        (UpstreamProtocol, "is_stray", _accept_next_response),
        (UpstreamProtocol, "classify", _accept_any_id),
    ],
    "unsealed-success": [(UpstreamProtocol, "classify", _accept_unsealed)],
    "broken-is-unsent": [(UpstreamConnection, "close", _treat_lost_as_unsent)],
    "always-promises": [(ProxyHost, "local_response", _always_retryable)],
    "all-never-ran": [(AttemptOutcome, "never_ran", property(lambda self: True))],
}
