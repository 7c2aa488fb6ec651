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
    """A fake server that records its connections and requests in the history.

    Attributes:
        writer: Writer of the history; set it before `open`.
    """

    writer: h.Writer

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.ConnectionOpened(at=h.now_us(), to=self.name))
        await super()._accept(reader, writer)

    def on_request(self, request: http.Request, arrived_s: float, ran: bool) -> None:
        """Record a request that arrived at `arrived_s` (monotonic); `ran` is whether it was accepted."""
        at, op = round(arrived_s * h.SECOND), request.headers["x-request-id"]
        self.writer.put(h.RequestReceived(at=at, op=op, server=self.name, ran=ran))


class Servers:
    """All servers of the run, and the commands that control them.

    Each method `do_NAME` runs the command NAME with the command's fields, and returns the reply.

    Attributes:
        all: The servers, by number.
        default_behavior: Behavior of a server without a fault.
        writer: Writer of the history; None before the command `open`.
    """

    def __init__(self) -> None:
        """Create no servers; the command `open` does."""
        self.all: list[RecordingServer] = []
        self.default_behavior: servers.ServerBehavior = servers.ServerBehavior()
        self.writer: h.Writer | None = None

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Run the command whose name is in the field `do`; return its reply."""
        return await getattr(self, f"do_{command.pop('do')}")(**command)

    async def do_open(self, history: str, count: int, seed: int, knobs: dict[str, Any]) -> dict[str, Any]:
        """Start the servers; reply with their addresses.

        Args:
            history: File of the history.
            count: Number of servers.
            seed: Seed of the servers' random choices.
            knobs: Behavior of each server, as the fields of `ServerBehavior`.
        """
        self.writer = h.Writer(history)
        self.default_behavior = servers.ServerBehavior(**knobs)
        for number in range(count):
            server = RecordingServer(f"s{number}", servers.ServerBehavior(**knobs), seed * 1_000_003 + number)
            server.writer = self.writer
            self.all.append(await server.open())
        return {"addresses": [each.address for each in self.all]}

    async def do_mode(self, which: list[int], mode: str, factor: float = 1.0) -> dict[str, Any]:
        """Set the mode of the servers `which`.

        Args:
            which: Numbers of the servers.
            mode: `well` (no fault), `slow` (service times multiplied by `factor`), `failing` (the share
                `factor` of the operations ends in 500), `fast_errors` (500 at once), `silent` (no response).
            factor: As the mode says; other modes ignore it.
        """
        for i in which:
            behavior, default_behavior = self.all[i].behavior, self.default_behavior
            behavior.silent = mode == "silent"
            behavior.median_s = {"slow": default_behavior.median_s * factor, "fast_errors": 0.0}.get(
                mode, default_behavior.median_s
            )
            behavior.error_share = {"failing": factor, "fast_errors": 1.0}.get(mode, 0.0)
        return {}

    async def do_kill(self, which: list[int]) -> dict[str, Any]:
        """Kill servers: stop listening and reset all connections."""
        for i in which:
            await self.all[i].kill()
        return {}

    async def do_drain(self, which: list[int]) -> dict[str, Any]:
        """Make servers reject new requests and finish those that they have."""
        for i in which:
            self.all[i].drain()
        return {}

    async def do_restart(self, which: list[int]) -> dict[str, Any]:
        """Restart servers in slow start and with empty queues; reply with their addresses, which stay."""
        for i in which:
            if self.all[i].is_running:
                await self.all[i].kill()
            await self.all[i].open()
        return {"addresses": [self.all[i].address for i in which]}

    async def do_close(self) -> dict[str, Any]:
        """Kill all servers and close the history."""
        for server in self.all:
            await server.kill()
        if self.writer is not None:
            self.writer.close()
        return {}


if __name__ == "__main__":
    serve_commands(Servers().handle)
