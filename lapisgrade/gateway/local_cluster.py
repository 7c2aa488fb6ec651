"""A whole small system on loopback, for a first look and for tests: controllers, proxies, stand-in servers
that beat and drain by the protocol, an operator and a few clients. Each machine has its own address in 127/8.
"""

import asyncio
import os
import tempfile
from collections import Counter
from random import Random

import h11
import msgspec
from returns.result import Failure

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.controller.server import Controller
from lapisgrade.gateway.http_client import post_to_any, send_request
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.gateway.proxy.process import Proxy
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.settings import Address, Bind, Settings
from lapisgrade.net.http import MalformedMessageError, Message, MessageParser

CTL, HTTP, READY, INNER = 8407, 8405, 8406, 7660  # ports, as of one deployment
BEAT = 0.3  # s between a stand-in's beats
LOOK = 0.01  # s between looks at what is waited for


class Server:
    """One stand-in server: answers by the protocol, and counts what it ran."""

    def __init__(
        self, name: str, svc: str, address: tuple[str, int], work: float = 0.01, slots: int = 4
    ) -> None:
        self.name, self.svc, self.address, self.work, self.slots = name, svc, address, work, slots
        self.ran: Counter[str] = Counter()  # by Try-Id
        self.tenants: Counter[str] = Counter()
        self.seen: Counter[str] = Counter()  # what was reset unread, by Try-Id
        self.deadlines: dict[str, int] = {}  # ms that it was handed, by Try-Id
        self.dropped: dict[str, float] = {}  # s that it worked until its caller had gone, by Try-Id
        self.state, self.seq, self.running = "up", 0, 0
        self.manner = (
            ""  # a fault to play: cut, mixed, unsealed, extra, full (resets what it can't take), failing
        )
        self._server: asyncio.Server | None = None
        self._callers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self) -> None:
        self._server.close()
        for writer in self._callers:
            writer.transport.abort()

    async def beat(self, controllers: list[tuple[str, int]]) -> int:
        """Tell the first controller that answers; the status, 0 for none."""
        self.seq += 1
        body = {
            "Svc": self.svc, "Addr": f"{self.address[0]}:{self.address[1]}", "Az": "local", "Ver": "v1",
            "Slots": self.slots, "State": self.state, "Warmup_time": "0ms", "Seq": self.seq,
        }  # fmt: skip
        return await post_to_any(
            controllers, f"/-/rpc?call=servers.heartbeat&of={self.name}", msgspec.json.encode(body)
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._callers[writer] = reader
        try:
            rest, goes_on = b"", True
            while goes_on:
                parser, message = MessageParser(h11.SERVER), None
                while message is None:
                    chunk = rest or await reader.read(65_536)
                    rest = b""
                    if not chunk:
                        return
                    message = parser.feed(chunk)
                rest = message.rest
                goes_on = await self._one(message, writer)
        except (OSError, MalformedMessageError, asyncio.CancelledError):
            pass
        finally:
            self._callers.pop(writer, None)
            writer.close()

    async def _one(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; whether the connection goes on."""
        if self.manner == "full":
            self.seen[message.headers().get(b"try-id", b"").decode()] += 1
            writer.transport.abort()
            return False
        writer.write(await self._answer(message, writer))
        return self.manner != "cut"

    async def _work_on(self, name: str, writer: asyncio.StreamWriter) -> None:
        """The work that a request takes; dropped once its connection closes, as most servers do."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while (worked := loop.time() - began) < self.work:
            if writer.transport.is_closing() or self._callers[writer].at_eof():
                self.dropped[name] = worked
                return
            await asyncio.sleep(min(LOOK, self.work - worked))

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        fields = {name: value.decode() for name, value in message.headers().items()}
        name = fields.get(b"try-id", "")
        own = f"Try-Id: {name}\r\nInstance: {self.name}\r\nServer-Load: {self.running},0,{self.slots}\r\n"
        if fields.get(b"want-instance", self.name) != self.name:
            return encode_response(421, b"", own.encode())
        if self.running >= self.slots or self.state != "up":
            return encode_response(503, b"", (own + "Not-Run: 1\r\n").encode())
        self.running += 1
        self.ran[name] += 1
        self.tenants[fields.get(b"tenant", "")] += 1
        self.deadlines[name] = int(fields.get(b"deadline-ms", "0"))
        try:
            await self._work_on(name, writer)
        finally:
            self.running -= 1
        body = f"{self.svc} {message.head.target.decode()}".encode()
        whole = encode_response(200, body, (own + "Server-Seal: seal\r\n").encode())
        match self.manner:
            case "cut":
                return whole[:-3]
            case "mixed":
                return encode_response(200, b"another's", b"Try-Id: another\r\nServer-Seal: seal\r\n") + whole
            case "failing":
                return encode_response(500, body, (own + "Server-Seal: seal\r\n").encode())
            case "unsealed":
                return encode_response(200, body, own.encode())
            case "extra":
                return whole + whole
        return whole


class LocalCluster:
    """The system, its servers and its operator, in this process. `async with` starts and ends it."""

    def __init__(self, machines: int = 3, voters: int = 3, net: int = 77, folder: str | None = None) -> None:
        self._folder = None if folder else tempfile.TemporaryDirectory()
        self.folder = folder or self._folder.name
        self.names = [f"m{number}" for number in range(1, machines + 1)]
        self.ip = {name: f"127.{net}.0.{number}" for number, name in enumerate(self.names, 1)}
        self.voters = self.names[:voters]
        self.controllers: dict[str, Controller] = {}
        self.proxies: dict[str, Proxy] = {}
        self.servers: dict[str, Server] = {}
        self.random = Random(1)
        self._tasks: dict[object, asyncio.Task] = {}
        self._first = True

    async def __aenter__(self) -> "LocalCluster":
        for name in self.voters:
            await self.start_controller(name)
        for name in self.names:
            await self.start_proxy(name)
        self._first = False
        return self

    async def __aexit__(self, *_) -> None:
        for each in (*self.proxies.values(), *self.controllers.values()):
            each.end()
        for each in self.servers.values():
            each.close()
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        if self._folder is not None:
            self._folder.cleanup()

    def settings(self, name: str) -> Settings:
        ip = self.ip[name]
        peers = tuple(Address((self.ip[each], CTL)) for each in self.voters[:3])
        bind = Bind(Address((ip, HTTP)), Address((ip, READY)), Address((ip, CTL)))
        folder = os.path.join(self.folder, name) if name in self.voters else ""
        return Settings(
            name,
            ip,
            "local",
            bind,
            (INNER, INNER + 15),
            peers,
            self._first,
            True,
            folder,
            int(BEAT * SECOND),
        )

    @property
    def ctl(self) -> list[tuple[str, int]]:
        return [(self.ip[name], CTL) for name in self.controllers]

    def http(self, name: str) -> tuple[str, int]:
        return (self.ip[name], HTTP)

    async def served(self, conf: dict | None = None, **more) -> "LocalCluster":
        """One server, a configuration (the sample), and proxies that know both."""
        await self.start_server("garantie", **more)
        while await self.put(conf or SAMPLE) != 200:
            await asyncio.sleep(LOOK)
        await self.until(lambda: all(each.ready and each.servers for each in self.proxies.values()))
        return self

    async def start_controller(self, name: str) -> None:
        controller = self.controllers[name] = Controller(self.settings(name))
        self._tasks[controller] = asyncio.get_running_loop().create_task(controller.run())

    async def start_proxy(self, name: str) -> None:
        proxy = self.proxies[name] = Proxy(self.settings(name))
        self._tasks[proxy] = asyncio.get_running_loop().create_task(proxy.run())

    async def kill(self, part: Controller | Proxy) -> None:
        """As a process that is killed: nothing is said to anybody."""
        self._tasks[part].cancel()
        await asyncio.gather(self._tasks.pop(part), return_exceptions=True)
        for table in (self.controllers, self.proxies):
            for name in [name for name, each in table.items() if each is part]:
                del table[name]

    async def start_server(self, svc: str, **more) -> Server:
        number = len(self.servers) + 1
        server = Server(
            f"i-{number}", svc, (f"127.{self.ip[self.names[0]].split('.')[1]}.1.{number}", 8080), **more
        )
        await server.start()
        self.servers[server.name] = server
        self._tasks[server] = asyncio.get_running_loop().create_task(self._beats(server))
        return server

    async def _beats(self, server: Server) -> None:
        while True:
            await server.beat(self.random.sample(self.ctl, len(self.ctl)))
            await asyncio.sleep(BEAT)

    def silence(self, server: Server) -> None:
        """It beats no more, and answers on."""
        self._tasks.pop(server).cancel()

    async def put(self, conf: dict, call: str = "conf.replace") -> int:
        """The operator's call, at any controller until one answers."""
        return await post_to_any(self.ctl, f"/-/rpc?call={call}", msgspec.json.encode(conf))

    async def get(
        self,
        name: str,
        path: str,
        key: str = "",
        id: str = "",
        host: str = "a.example",
        tries: int = 8,
        **more: str,
    ) -> Message:
        """A client's request at a proxy; a promise (429, 503) is heeded, and asked again so many times."""
        method = more.pop("method", "GET")
        fields = {"Host": host, "Deadline-Ms": "2000", **more}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        while True:
            fields["Try-Id"] = id or f"{self.random.getrandbits(64):016x}"
            got = await send_request(self.http(name), method, path, fields=fields)
            back = got.headers().get(b"retry-after")
            tries -= 1
            if got.head.status_code not in (429, 503) or not back or not tries:
                return got
            await asyncio.sleep(float(back))

    async def until(self, ready, within: float = 20.0) -> None:
        """Wait until that holds; TimeoutError where it doesn't in time."""
        async with asyncio.timeout(within):
            while not ready():
                await asyncio.sleep(LOOK)


class Links:
    """What the parts of a site say to each other, some of it cut: words are lost, calls fall silent."""

    def __init__(self, site: LocalCluster) -> None:
        self.apart: set[str] = set()  # machines that reach nobody else
        self.ip = site.ip
        for part in (*site.controllers.values(), *site.proxies.values()):
            self._wrap(part.rpc, part.settings.ip)

    def part(self, name: str) -> None:
        self.apart.add(self.ip[name])

    def _wrap(self, rpc: RpcEndpoint, own: str) -> None:
        call, post = rpc.call, rpc.post

        def cut(other: str) -> bool:
            return own != other and bool(self.apart & {own, other})

        async def called(address, message, within):
            if cut(address[0]):
                await asyncio.sleep(within)  # the caller's own time-out
                return Failure(CallFailure.MAY_HAVE_RUN)
            return await call(address, message, within)

        def posted(address, message) -> None:
            if not cut(address[0]):
                post(address, message)

        rpc.call, rpc.post = called, posted


SAMPLE = {
    "Ver": 1, "Base": 0,
    "Caps": {"HdrBytes": 16384, "BodyBytes": 1048576, "Hdr": "3000ms", "Idle": "15000ms"},
    "Tenants": [{"Name": "sfax", "Apikeys": ["key-of-sfax"], "Prio": 1, "RateS": 100, "Burst": 50}],
    "Ports": [{"Vhost": "a.example", "Policy": [
        {"Name": "r-stock", "Mode": "idem", "Target_time": "400ms", "Prio": 2, "Public": False,
         "Match": {"Pfx": "/stock/"}, "Action": {"Svc": "garantie", "Timeout": "2000ms", "Tries": 2}},
        {"Name": "r-claim", "Mode": "mutate", "Target_time": "500ms", "Prio": 1, "Public": False,
         "Match": {"Pfx": "/claim/"}, "Action": {"Svc": "garantie", "Timeout": "2000ms", "Tries": 2}}]}],
    "Pools": [{"Name": "garantie", "Hcheck": "/healthz", "Maxconn": 130, "Proto": "h1", "Tls": False}],
}  # fmt: skip
