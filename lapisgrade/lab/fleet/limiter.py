"""One limiter of a play: its process, its folder, its links."""

import asyncio
import json
import signal
import sys
import time
from lapisgrade.lab.emulator import scenario as scenarios
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet.process import Failed, Process
from lapisgrade.lab.fleet.relay import TcpRelay, UdpRelay
from lapisgrade.fakes.site import is_ready, free_port
from typing import TYPE_CHECKING

from lapisgrade.lab.fleet.limiter_settings import settings
from lapisgrade.lab.fleet.observed import Agent

if TYPE_CHECKING:
    from lapisgrade.lab.fleet.ground import Ground

SERVE = (sys.executable, "-m", "lapisgrade.cli", "serve")  # one that may read an operator's file
UP_S = 20.0  # how long a limiter's process may take to answer `GET /up`, on a machine busy with others'
LOOK_S = 0.03  # between looks whether it is up
SEEDS = 2  # limiters that every other meets the rest by


class Limiter:
    """One limiter of the play: its process, its folder, its links."""

    def __init__(self, ground: "Ground", index: int) -> None:
        self.ground, self.index = ground, index
        self.folder = ground.folder / f"limiter-{index}"
        self.state = self.folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.port = free_port()
        self.agent = Agent(ground.writer, index)
        self.counter_at = ""
        self.links: dict[str, list[tuple[TcpRelay | UdpRelay, int]]] = {kind: [] for kind in scenarios.LINKS}
        self.config, self.site = self.folder / "config.json", self.folder / "site.toml"
        self.peer_port, self.reached_at = 0, ""  # for what other limiters send it
        args = list(ground.command)
        if ground.sc.peers:
            args = [*SERVE, str(self.config), "--site", str(self.site)]
        env = {"ROUTER_CONFIG": str(self.config)}
        self.process = Process(f"limiter {index}", args, self.folder / "log", env, self.folder)
        self.up = False  # it answers, and so has its handlers of signals

    def life(self, what: str) -> None:
        self.ground.writer.put(h.Life(at=h.now_us(), limiter=self.index, what=what, pid=self.process.pid))

    def write_config(self) -> None:
        sc = self.ground.sc
        offset = sc.clock_offset_ms * (2 * self.index / max(1, sc.limiters - 1) - 1) if sc.limiters > 1 else 0
        discovery = self.links["discovery"][0][0].address if self.links["discovery"] else self.agent.address
        told = {
            "name": f"lg-{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "counter": self.counter_at,
            "seed": f"{(sc.seed * 1_000_003 + self.index) % (1 << 64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": self.agent.complete_list(),
            "settings": settings(sc, self.index),
            "state": str(self.state),
            "clock": {"offset_ms": offset},
        }
        self.config.write_text(json.dumps(told, indent=1))
        if sc.peers:
            seeds = [each.reached_at for each in self.ground.limiters[:SEEDS]]
            self.site.write_text(
                f'[peers]\nlisten = "127.0.0.1:{self.peer_port}"\n'
                f'reached_at = "{self.reached_at}"\nseeds = {json.dumps(seeds)}\n'
            )

    async def start(self) -> None:
        """A new process, and wait until it serves; Failed where it ends or is too slow."""
        self.agent.anew()
        self.write_config()
        self.up, told = False, self.config.read_bytes()
        await self.ground.supervisor.start(self.process)
        self.life("started")
        until = time.monotonic() + UP_S
        while time.monotonic() < until:
            if not self.process.running:
                raise Failed(f"limiter {self.index} ended while starting, see {self.process.log}")
            if await is_ready(("127.0.0.1", self.port)):
                self.up = True
                self.life("up")
                if self.config.read_bytes() != told:
                    self.reread()
                return
            await asyncio.sleep(LOOK_S)
        raise Failed(f"limiter {self.index} did not come up in {UP_S:g} s")

    def reread(self) -> None:
        """Its file is another: it is told, once it can hear. A process that has not yet set its handlers is
        ended by SIGHUP (guards plays in which a counter is swapped while a limiter starts)."""
        if self.up:
            self.process.signal(signal.SIGHUP)
