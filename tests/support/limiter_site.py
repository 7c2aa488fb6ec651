"""One limiter on loopback, with fakes of its peers."""

import asyncio
import contextlib
import socket
from typing import Any, Self

from lapisgrade.net.service import Service
from support.fake_peers import FakeCounter, FakeDiscovery, FakeServer, read_message

# The operators' value of Idempotency, by request class.
REQUEST_CLASSES = {"idempotent": "repeatable", "deduplicated": "by_key", "non_idempotent": "once"}

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class LimiterSite:
    """Async context manager that starts and stops the limiter and its fake peers."""

    def __init__(self, servers: int = 2, sockets: int = 1024, counter_timeout_ms: float = 30.0) -> None:
        self.servers = [FakeServer() for _ in range(servers)]
        self.counter = FakeCounter()
        self.sockets, self.counter_timeout_ms = sockets, counter_timeout_ms

    async def __aenter__(self) -> Self:
        for fake in (*self.servers, self.counter):
            await fake.open()
        rows = [endpoint_row(f"s{i}", server.port) for i, server in enumerate(self.servers)]
        self.discovery = await FakeDiscovery(rows).open()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.service = Service(self.configuration())
        self.service_task = asyncio.create_task(self.service.run())
        while (await self.request(path="/up"))[0] != 200:
            pass
        return self

    async def __aexit__(self, *_: object) -> None:
        self.service_task.cancel()
        await asyncio.wait([self.service_task])
        for fake in (*self.servers, self.counter, self.discovery):
            fake.close()

    def configuration(self) -> dict[str, Any]:
        """Return the limiter's configuration."""
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "counter": f"127.0.0.1:{self.counter.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": self.discovery.endpoint_list(),
            "settings": limiter_settings(self.counter_timeout_ms),
        }

    async def connect(self) -> Connection:
        """Open a client connection; retries until the limiter listens."""
        while True:
            with contextlib.suppress(OSError):
                return await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(0.01)

    def encode_request(
        self,
        request_class: str = "idempotent",
        request_id: str = "1",
        body: bytes = b"",
        path: str = "/api?q=1",
        timeout: str = "0.800",
        **extra_headers: str | None,
    ) -> bytes:
        """Encode a request; `extra_headers` sets headers, and removes those set to None."""
        headers: dict[str, str | None] = {
            "Host": "api.internal",
            "X-Request-ID": request_id,
            "X-Priority-Class": request_class,
            "X-Plan": "wide",
            "X-Customer": "00000000b4d65521",
            "X-Timeout": timeout,
            "X-Quota": "units=2,spread=1,first=0",
        }
        if request_class == "deduplicated":
            headers["Idempotency-Key"] = "k" + request_id
        if request_class != "idempotent" or body:
            headers["Content-Length"] = str(len(body))
        headers |= {name.replace("_", "-"): value for name, value in extra_headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
        return (
            f"{'GET' if request_class == 'idempotent' else 'POST'} {path} HTTP/1.1\r\n{lines}\r\n".encode()
            + body
        )

    async def request(
        self, *args: Any, connection: Connection | None = None, **extra_headers: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request, by default on a new connection; returns status, headers and body."""
        reader, writer = connection or await self.connect()
        writer.write(self.encode_request(*args, **extra_headers))
        start_line, headers, body = await read_message(reader)
        if connection is None:
            writer.close()
        return int(start_line.split(" ")[1]), headers, body

    def attempts(self, request_id: str) -> list[Any]:
        """Return the attempts of a request that servers received completely."""
        return [
            attempt
            for server in self.servers
            for attempt in server.received
            if attempt[1]["x-request-id"] == request_id
        ]


def endpoint_row(name: str, port: int) -> dict[str, Any]:
    """Return a server's entry in the list of discovery."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "z",
        "cell": 1,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def limiter_settings(counter_timeout_ms: float) -> dict[str, Any]:
    """Return the operators' settings of the limiter."""
    return {
        "SelfIndex": 0,
        "NInstances": 1,
        "Zone": "z",
        "Zones": ["z"],
        "RequestClasses": [
            {
                "Name": name,
                "Idempotency": idempotency,
                "Aim": 400.0,
                "Deadline": 1000.0,
                "Worth": 1.0,
                "Group": "all",
                "KeyTtl": 4000.0,
            }
            for name, idempotency in REQUEST_CLASSES.items()
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
        "Specifics": {
            "SharedCounter": True,
            "CountLimit": counter_timeout_ms,
            "UnitsTop": 6,
        },
    }
