"""A fake discovery agent on loopback: the server list in the platform's format, and watches for changes.

Each change of the list increments its generation.

- `GET /discovery/hosts` returns the complete list, with `reset: true`.
- `GET /discovery/hosts?since=G&timeout_ms=T` is a watch: it returns the changes since generation G as soon as
  there are any, or an empty list after T ms. Servers that have left remain among the changes as `terminated`.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import Any

from lapisgrade.fakes import http
from lapisgrade.fakes.listener import Listener

MAX_WATCH_MS = 60_000  # upper bound of a watch's requested timeout_ms
LIFECYCLES = ("in_service", "terminating", "terminated")


@dataclass(slots=True)
class ServerEntry:
    """One server in the list."""

    instance_id: str
    host_port: str
    zone: str = "z"
    cell: int = 0
    lifecycle: str = "in_service"  # one of LIFECYCLES
    weight: float = 1.0
    started_ms: int = 0
    changed_generation: int = 0  # generation of the list at the last change of this server

    def to_json(self) -> dict[str, Any]:
        """Return the entry in the wire format of discovery."""
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
    """The fake discovery agent. `put`, `drain` and `remove` change the list and wake all watches.

    Attributes:
        generation: Generation of the list.
        entries: Servers by instance id, in the order added, including terminated ones.
        calls: Number of requests received.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port)
        self.generation = 1
        self.entries: dict[str, ServerEntry] = {}
        self.calls = 0
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Stop the agent and cancel all watches."""
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await super().close()

    def put(self, entry: ServerEntry) -> None:
        """Add or replace a server."""
        self._increment_generation()
        entry.changed_generation = self.generation
        self.entries[entry.instance_id] = entry

    def drain(self, instance_id: str) -> None:
        """Mark the server as terminating: it accepts no new requests."""
        self._set_lifecycle(instance_id, "terminating")

    def remove(self, instance_id: str) -> None:
        """Mark the server as terminated."""
        self._set_lifecycle(instance_id, "terminated")

    def complete_list(self) -> dict[str, Any]:
        """Return the reply with all servers that have not terminated."""
        live = [entry.to_json() for entry in self.entries.values() if entry.lifecycle != "terminated"]
        return {"generation": self.generation, "reset": True, "instances": live}

    def changes_since(self, generation: int) -> dict[str, Any]:
        """Return the reply with the servers that changed after `generation`."""
        changed = [
            entry.to_json() for entry in self.entries.values() if entry.changed_generation > generation
        ]
        return {"generation": self.generation, "reset": False, "instances": changed}

    def _set_lifecycle(self, instance_id: str, lifecycle: str) -> None:
        entry = self.entries[instance_id]
        self._increment_generation()
        entry.lifecycle, entry.changed_generation = lifecycle, self.generation

    def _increment_generation(self) -> None:
        """Increment the generation and wake all watches."""
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
                generation = int(query["since"])
                wait_ms = min(int(query.get("timeout_ms", "0")), MAX_WATCH_MS)
            except ValueError:
                return http.Response(400, b"since and timeout_ms are whole numbers")
            if generation >= self.generation and wait_ms > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
            update = self.changes_since(generation)
        body = json.dumps(update).encode()
        return http.Response(200, body, (("Content-Type", "application/json"),))
