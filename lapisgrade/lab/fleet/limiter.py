"""A limiter of a run: its process, folder and links."""

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

SERVE = (sys.executable, "-m", "lapisgrade.cli", "serve")  # accepts the operator's file of peers (`--site`)
START_TIMEOUT_S = 20.0  # maximum time until a limiter answers `GET /up`, on a busy machine
POLL_INTERVAL_S = 0.03  # between checks whether a limiter is up
SEED_COUNT = 2  # limiters whose addresses all others get as seeds


class LimiterEnvironment(Protocol):
    """The parts of a run that a limiter uses."""

    scenario: Scenario
    folder: Path
    command: tuple[str, ...]
    writer: h.Writer
    supervisor: Supervisor
    limiters: "list[Limiter]"


class Limiter:
    """A limiter of the run: its process, folder and links."""

    def __init__(self, environment: LimiterEnvironment, index: int) -> None:
        self.environment = environment
        self.index = index
        self.folder = environment.folder / f"limiter-{index}"
        self.state = self.folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.port = free_port()
        self.agent = RecordingDiscovery(environment.writer, index)
        self.counter_address = ""
        self.links: dict[str, list[tuple[TcpRelay | UdpRelay, int]]] = {kind: [] for kind in scenarios.LINKS}
        self.config, self.site = self.folder / "config.json", self.folder / "site.toml"
        self.peer_port, self.reached_at = 0, ""  # for traffic from other limiters
        args = list(environment.command)
        if environment.scenario.peers:
            args = [*SERVE, str(self.config), "--site", str(self.site)]
        env = {"ROUTER_CONFIG": str(self.config)}
        self.process = Process(f"limiter {index}", args, self.folder / "log", env, self.folder)
        self.is_up = False  # it answers requests, so its signal handlers are set

    def record_event(self, what: str) -> None:
        """Record a change of the limiter's process in the history."""
        self.environment.writer.put(
            h.LimiterProcessChanged(at=h.now_us(), limiter=self.index, what=what, pid=self.process.pid)
        )

    def _clock_offset_ms(self) -> float:
        """Return the limiter's clock offset: by index, evenly from -1 to 1 times the scenario's offset."""
        scenario = self.environment.scenario
        if scenario.limiters <= 1:
            return 0
        return scenario.clock_offset_ms * (2 * self.index / max(1, scenario.limiters - 1) - 1)

    def _configuration(self) -> dict[str, Any]:
        """Return the contents of the limiter's configuration file."""
        scenario = self.environment.scenario
        relays = self.links["discovery"]
        return {
            "name": f"lg-{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": relays[0][0].address if relays else self.agent.address,
            "counter": self.counter_address,
            "seed": f"{(scenario.seed * 1_000_003 + self.index) % (1 << 64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": self.agent.complete_list(),
            "settings": settings(scenario, self.index),
            "state": str(self.state),
            "clock": {"offset_ms": self._clock_offset_ms()},
        }

    def write_config(self) -> None:
        """Write the limiter's configuration files."""
        self.config.write_text(json.dumps(self._configuration(), indent=1))
        if self.environment.scenario.peers:
            seeds = [each.reached_at for each in self.environment.limiters[:SEED_COUNT]]
            self.site.write_text(
                f'[peers]\nlisten = "127.0.0.1:{self.peer_port}"\n'
                f'reached_at = "{self.reached_at}"\nseeds = {json.dumps(seeds)}\n'
            )

    async def start(self) -> None:
        """Start a new process and wait until it serves requests.

        Raises:
            ProcessFailedError: The process ended, or was not up within START_TIMEOUT_S.
        """
        self.agent.forget_notified()
        self.write_config()
        self.is_up = False
        configuration = self.config.read_bytes()
        await self.environment.supervisor.start(self.process)
        self.record_event("started")
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if not self.process.is_running:
                raise ProcessFailedError(f"limiter {self.index} ended while starting, see {self.process.log}")
            if await is_ready(("127.0.0.1", self.port)):
                self.is_up = True
                self.record_event("up")
                if self.config.read_bytes() != configuration:
                    self.signal_reload()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise ProcessFailedError(
            f"limiter {self.index} did not answer GET /up with 200 within {START_TIMEOUT_S:g} s"
        )

    def signal_reload(self) -> None:
        """Make the process reload its configuration, unless it is still starting.

        SIGHUP would end a process that hasn't set its handlers yet. This happened when a fault replaced the
        counter while a limiter was starting.
        """
        if self.is_up:
            self.process.signal(signal.SIGHUP)
