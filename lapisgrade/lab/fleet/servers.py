"""The servers of a run: a process (`python -m lapisgrade.lab.fleet.servers`) controlled by commands.

The first command is `open`; `mode`, `kill`, `restart` and `drain` then name servers by their numbers. Each
request that reaches a server is recorded in the history, with whether the server accepted it for execution.
"""

from typing import Any

from lapisgrade.fakes import http, servers
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet.process import serve_commands

KNOBS = ("capacity", "queue", "median_s", "sigma", "cold_from", "warm_s")


class RecordingServer(servers.Server):
    """A fake server that records its connections and requests in the history."""

    writer: h.Writer

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.ConnectionOpened(at=h.now_us(), to=self.name))
        await super()._accept(reader, writer)

    def on_request(self, request: http.Request, arrived_s: float, ran: bool) -> None:
        at, op = round(arrived_s * h.SECOND), request.headers["x-request-id"]
        self.writer.put(h.RequestReceived(at=at, op=op, server=self.name, ran=ran))


class Servers:
    """All servers of the run, and the commands that control them."""

    def __init__(self) -> None:
        self.all: list[RecordingServer] = []
        self.default_behavior: servers.ServerBehavior = servers.ServerBehavior()
        self.writer: h.Writer | None = None

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        return await getattr(self, f"do_{command.pop('do')}")(**command)

    async def do_open(self, history: str, count: int, seed: int, knobs: dict[str, Any]) -> dict[str, Any]:
        self.writer = h.Writer(history)
        self.default_behavior = servers.ServerBehavior(**knobs)
        for i in range(count):
            server = RecordingServer(f"s{i}", servers.ServerBehavior(**knobs), seed * 1_000_003 + i)
            server.writer = self.writer
            self.all.append(await server.open())
        return {"addresses": [each.address for each in self.all]}

    async def do_mode(self, which: list[int], mode: str, factor: float = 1.0) -> dict[str, Any]:
        """Set the mode: `well`, `slow` (by `factor`), `failing` (share `factor`), `fast_errors`, `silent`."""
        for i in which:
            knobs, default_behavior = self.all[i].behavior, self.default_behavior
            knobs.silent = mode == "silent"
            knobs.median_s = {"slow": default_behavior.median_s * factor, "fast_errors": 0.0}.get(
                mode, default_behavior.median_s
            )
            knobs.error_share = {"failing": factor, "fast_errors": 1.0}.get(mode, 0.0)
        return {}

    async def do_kill(self, which: list[int]) -> dict[str, Any]:
        for i in which:
            await self.all[i].kill()
        return {}

    async def do_drain(self, which: list[int]) -> dict[str, Any]:
        for i in which:
            self.all[i].drain()
        return {}

    async def do_restart(self, which: list[int]) -> dict[str, Any]:
        """Restart servers at the same addresses, in slow start and with empty queues."""
        for i in which:
            if self.all[i].is_running:
                await self.all[i].kill()
            await self.all[i].open()
        return {"addresses": [self.all[i].address for i in which]}

    async def do_close(self) -> dict[str, Any]:
        for each in self.all:
            await each.kill()
        if self.writer is not None:
            self.writer.close()
        return {}


if __name__ == "__main__":
    serve_commands(Servers().handle)
