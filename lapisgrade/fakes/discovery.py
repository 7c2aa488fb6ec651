"""Discovery on loopback: the list of servers as the platform serves it, and changes of it over time.

`GET /discovery/hosts` gives the whole list with `reset: true`; `GET /discovery/hosts?since=V&timeout_ms=T` is
a watch that waits until there is something newer than version V, or T has passed, and then gives the changes
since V (an empty list where there are none). A server that has left stays among the changes as `terminated`.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import Any

from lapisgrade.fakes import http
from lapisgrade.fakes.listener import Listener

MAX_WATCH_MS = 60_000  # a watch waits this long at the most, whatever it asks for
STATES = ("in_service", "terminating", "terminated")


@dataclass(slots=True)
class ServerEntry:
    """One server as discovery names it; `changed` is the version at which it last changed."""

    instance_id: str
    host_port: str
    zone: str = "z"
    cell: int = 0
    lifecycle: str = "in_service"
    weight: float = 1.0
    started_ms: int = 0
    changed: int = 0

    def to_json(self) -> dict[str, Any]:
        """The entry as discovery encodes it."""
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
        self.entries: dict[str, ServerEntry] = {}  # in the order they came
        self.calls = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """End the agent and all watches."""
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await super().close()

    def put(self, entry: ServerEntry) -> None:
        """Name a server, or change how it is named."""
        self._bump()
        entry.changed = self.generation
        self.entries[entry.instance_id] = entry

    def drain(self, instance_id: str) -> None:
        """The server wants nothing new and finishes what it has."""
        self._set(instance_id, "terminating")

    def remove(self, instance_id: str) -> None:
        """The server is gone."""
        self._set(instance_id, "terminated")

    def complete_list(self) -> dict[str, Any]:
        """All servers that have not terminated."""
        live = [entry.to_json() for entry in self.entries.values() if entry.lifecycle != "terminated"]
        return {"generation": self.generation, "reset": True, "instances": live}

    def changes_since(self, version: int) -> dict[str, Any]:
        """The servers that have changed after a version."""
        entries = [entry.to_json() for entry in self.entries.values() if entry.changed > version]
        return {"generation": self.generation, "reset": False, "instances": entries}

    def _set(self, instance_id: str, lifecycle: str) -> None:
        entry = self.entries[instance_id]
        self._bump()
        entry.lifecycle, entry.changed = lifecycle, self.generation

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

    async def _handle(self, request: http.Request) -> http.Response:
        self.calls += 1
        if request.method != "GET" or request.path != "/discovery/hosts":
            return http.Response(404)
        query = request.query()
        if "since" not in query:
            update = self.complete_list()
        else:
            try:
                version = int(query["since"])
                wait_ms = min(int(query.get("timeout_ms", "0")), MAX_WATCH_MS)
            except ValueError:
                return http.Response(400, b"since and timeout_ms are whole numbers")
            if version >= self.generation and wait_ms > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
            update = self.changes_since(version)
        body = json.dumps(update).encode()
        return http.Response(200, body, (("Content-Type", "application/json"),))
