"""One limiter on loopback among fakes of all that it talks to."""

import asyncio
import contextlib
import socket

from lapisgrade.net.service import Service
from support.fake_peers import Agent, Backend, Till, heard


class Site:
    """One limiter on loopback among stand-ins for all that it talks to."""

    def __init__(self, servers=2, sockets=1024, counter_timeout_ms=30.0):
        self.backends = [Backend() for _ in range(servers)]
        self.till, self.sockets, self.counter_timeout_ms = Till(), sockets, counter_timeout_ms

    async def __aenter__(self):
        for each in (*self.backends, self.till):
            await each.open()
        self.agent = await Agent(
            [
                {
                    "instanceId": f"s{i}",
                    "hostPort": f"127.0.0.1:{each.port}",
                    "zone": "z",
                    "cell": 1,
                    "lifecycle": "in_service",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
                for i, each in enumerate(self.backends)
            ]
        ).open()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.service = Service(self.told())
        self.run = asyncio.create_task(self.service.run())
        while (await self.ask(path="/up"))[0] != 200:
            pass
        return self

    async def __aexit__(self, *_):
        self.run.cancel()
        await asyncio.wait([self.run])
        for each in (*self.backends, self.till, self.agent):
            each.close()

    def told(self):
        kinds = [("look", "repeatable"), ("file", "by_key"), ("burn", "once")]
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": "8c1f30d27a5be964",
            "counter": f"127.0.0.1:{self.till.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": self.agent.told(),
            "settings": {
                "SelfIndex": 0,
                "NInstances": 1,
                "Zone": "z",
                "Zones": ["z"],
                "RequestClasses": [
                    {
                        "Name": name,
                        "Idempotency": repeat,
                        "Aim": 400.0,
                        "Deadline": 1000.0,
                        "Worth": 1.0,
                        "Group": "all",
                        "KeyTtl": 4000.0,
                    }
                    for name, repeat in kinds
                ],
                "TiersOfService": [
                    {"Name": "wide", "UnitsPerS": 500, "Burst": 900},
                    {"Name": "none", "UnitsPerS": 0.1, "Burst": 1},
                ],
                "Ceilings": {
                    "AttemptsCap": 4,
                    "Cancel": True,
                    "ParallelTries": True,
                    "RetryAfter": True,
                    "MaxRetryAfter": 500.0,
                    "DialTimeout": 100.0,
                    "Keepalive": 30000.0,
                },
                "Rules": {
                    "DrainGrace": 250.0,
                    "Cold": 5000.0,
                    "ColdFrom": 0.3,
                    "Fall": 1000.0,
                    "FallMultiple": 4.0,
                },
                "Specifics": {"SharedCounter": True, "CountLimit": self.counter_timeout_ms, "UnitsTop": 6},
            },
        }

    async def connect(self):
        while True:
            with contextlib.suppress(OSError):
                return await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(0.01)

    def request(self, kind="look", number="1", body=b"", path="/api?q=1", timeout="0.800", **more):
        headers = {
            "Host": "api.internal",
            "X-Request-ID": number,
            "X-Priority-Class": kind,
            "X-Plan": "wide",
            "X-Customer": "00000000b4d65521",
            "X-Timeout": timeout,
            "X-Quota": "units=2,spread=1,first=0",
        }
        if kind == "file":
            headers["Idempotency-Key"] = "k" + number
        if kind != "look" or body:
            headers["Content-Length"] = str(len(body))
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
        return f"{'GET' if kind == 'look' else 'POST'} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body

    async def ask(self, *args, on=None, **more):
        """One request on a connection, its own if none is given; status, headers and body of the answer."""
        reader, writer = on or await self.connect()
        writer.write(self.request(*args, **more))
        first, headers, body = await heard(reader)
        if on is None:
            writer.close()
        return int(first.split(" ")[1]), headers, body

    def sent(self, number):
        """The hops of a request that came whole to servers."""
        return [seen for each in self.backends for seen in each.seen if seen[1]["x-request-id"] == number]
