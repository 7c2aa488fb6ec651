"""One limiter of a run: its process, its folder, its links."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any, Protocol

from lapisgrade.fakes.site import free_port, is_ready
from lapisgrade.lab.emulator import scenario as scenarios
from lapisgrade.lab.emulator.scenario import Scenario
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet.limiter_settings import settings
from lapisgrade.lab.fleet.process import Process, ProcessFailedError, Supervisor
from lapisgrade.lab.fleet.recorders import RecordingDiscovery
from lapisgrade.lab.fleet.relay import TcpRelay, UdpRelay

SERVE = (sys.executable, "-m", "lapisgrade.cli", "serve")  # one that may read an operator's file
START_TIMEOUT_S = 20.0  # for a limiter's process to answer `GET /up`, on a busy machine
POLL_INTERVAL_S = 0.03  # between checks whether it is up
SEEDS = 2  # limiters by which every other finds the rest


class LimiterEnvironment(Protocol):
    """What a limiter needs of the run that it belongs to."""

    scenario: Scenario
    folder: Path
    command: tuple[str, ...]
    writer: h.Writer
    supervisor: Supervisor
    limiters: "list[Limiter]"


class Limiter:
    """One limiter of the run: its process, its folder, its links."""

    def __init__(self, environment: LimiterEnvironment, index: int) -> None:
        self.environment = environment
        self.index = index
        self.folder = environment.folder / f"limiter-{index}"
        self.state = self.folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.port = free_port()
        self.agent = RecordingDiscovery(environment.writer, index)
        self.counter_at = ""
        self.links: dict[str, list[tuple[TcpRelay | UdpRelay, int]]] = {kind: [] for kind in scenarios.LINKS}
        self.config, self.site = self.folder / "config.json", self.folder / "site.toml"
        self.peer_port, self.reached_at = 0, ""  # for what other limiters send it
        args = list(environment.command)
        if environment.scenario.peers:
            args = [*SERVE, str(self.config), "--site", str(self.site)]
        env = {"ROUTER_CONFIG": str(self.config)}
        self.process = Process(f"limiter {index}", args, self.folder / "log", env, self.folder)
        self.is_up = False  # it answers, and so has its handlers of signals

    def record_event(self, what: str) -> None:
        """Record a change of the limiter's process in the history."""
        self.environment.writer.put(
            h.LimiterProcessChanged(at=h.now_us(), limiter=self.index, what=what, pid=self.process.pid)
        )

    def _clock_offset_ms(self) -> float:
        """Return the limiter's share of the scenario's clock offsets, evenly from -1 to 1 times it."""
        scenario = self.environment.scenario
        if scenario.limiters <= 1:
            return 0
        return scenario.clock_offset_ms * (2 * self.index / max(1, scenario.limiters - 1) - 1)

    def _configuration(self) -> dict[str, Any]:
        """Return the limiter's configuration, as its process reads it."""
        scenario = self.environment.scenario
        relays = self.links["discovery"]
        return {
            "name": f"lg-{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": relays[0][0].address if relays else self.agent.address,
            "counter": self.counter_at,
            "seed": f"{(scenario.seed * 1_000_003 + self.index) % (1 << 64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": self.agent.complete_list(),
            "settings": settings(scenario, self.index),
            "state": str(self.state),
            "clock": {"offset_ms": self._clock_offset_ms()},
        }

    def write_config(self) -> None:
        """Write the limiter's files of configuration."""
        self.config.write_text(json.dumps(self._configuration(), indent=1))
        if self.environment.scenario.peers:
            seeds = [each.reached_at for each in self.environment.limiters[:SEEDS]]
            self.site.write_text(
                f'[peers]\nlisten = "127.0.0.1:{self.peer_port}"\n'
                f'reached_at = "{self.reached_at}"\nseeds = {json.dumps(seeds)}\n'
            )

    async def start(self) -> None:
        """Start a new process, and wait until it serves.

        Raises:
            ProcessFailedError: It ended, or did not serve in time.
        """
        self.agent.forget_notified()
        self.write_config()
        self.is_up = False
        configuration = self.config.read_bytes()
        await self.environment.supervisor.start(self.process)
        self.record_event("started")
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if not self.process.is_running:
                raise ProcessFailedError(f"limiter {self.index} ended while starting, see {self.process.log}")
            if await is_ready(("127.0.0.1", self.port)):
                self.is_up = True
                self.record_event("up")
                if self.config.read_bytes() != configuration:
                    self.signal_reload()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise ProcessFailedError(f"limiter {self.index} did not come up in {START_TIMEOUT_S:g} s")

    def signal_reload(self) -> None:
        """Have the process read its changed configuration.

        A process that has not yet set its handlers is ended by SIGHUP (guards runs in which a counter is
        replaced while a limiter starts).
        """
        if self.is_up:
            self.process.signal(signal.SIGHUP)
