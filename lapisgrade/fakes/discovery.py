"""Discovery on loopback: the list of servers as the platform serves it, and changes of it over time.

`GET /discovery/hosts` gives the whole list with `reset: true`; `GET /discovery/hosts?since=V&timeout_ms=T` is
a watch that waits until there is something newer than version V, or T has passed, and then gives the changes
since V (an empty list where there are none). A server that has left stays among the changes as `terminated`.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass

from lapisgrade.fakes import http
from lapisgrade.fakes.listener import Listener

LONGEST_WATCH_MS = 60_000  # a watch waits this long at the most, whatever it asks for
STATES = ("in_service", "terminating", "terminated")


@dataclass(slots=True)
class Row:
    """One server as discovery names it; `changed` is the version at which it last changed."""

    instance_id: str
    host_port: str
    zone: str = "z"
    cell: int = 0
    lifecycle: str = "in_service"
    weight: float = 1.0
    started_ms: int = 0
    changed: int = 0

    def told(self) -> dict:
        return {
            "instanceId": self.instance_id,
            "hostPort": self.host_port,
            "zone": self.zone,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }


class Discovery(Listener):
    """The fake discovery agent. `put`, `drain`, `remove` change the list and wake every watch."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port)
        self.generation = 1
        self.rows: dict[str, Row] = {}  # in the order they came
        self.calls = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await super().close()

    def put(self, row: Row) -> None:
        """Name a server, or change how it is named."""
        self._bump()
        row.changed = self.generation
        self.rows[row.instance_id] = row

    def drain(self, instance_id: str) -> None:
        """The server wants nothing new and finishes what it has."""
        self._set(instance_id, "terminating")

    def remove(self, instance_id: str) -> None:
        """The server is gone."""
        self._set(instance_id, "terminated")

    def whole(self) -> dict:
        live = [row.told() for row in self.rows.values() if row.lifecycle != "terminated"]
        return {"generation": self.generation, "reset": True, "instances": live}

    def since(self, version: int) -> dict:
        rows = [row.told() for row in self.rows.values() if row.changed > version]
        return {"generation": self.generation, "reset": False, "instances": rows}

    def _set(self, instance_id: str, lifecycle: str) -> None:
        row = self.rows[instance_id]
        self._bump()
        row.lifecycle, row.changed = lifecycle, self.generation

    def _bump(self) -> None:
        self.generation += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await http.serve(reader, writer, self._handle)
        finally:
            self._tasks.discard(task)

    async def _handle(self, asked: http.Asked) -> http.Reply:
        self.calls += 1
        if asked.method != "GET" or asked.path != "/discovery/hosts":
            return http.Reply(404)
        query = asked.query()
        if "since" not in query:
            told = self.whole()
        else:
            try:
                version = int(query["since"])
                wait_ms = min(int(query.get("timeout_ms", "0")), LONGEST_WATCH_MS)
            except ValueError:
                return http.Reply(400, b"since and timeout_ms are whole numbers")
            if version >= self.generation and wait_ms > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
            told = self.since(version)
        body = json.dumps(told).encode()
        return http.Reply(200, body, (("Content-Type", "application/json"),))
