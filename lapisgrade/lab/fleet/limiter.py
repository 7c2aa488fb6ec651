"""A limiter of a test bed's run: its process, its files, and the relays on its links."""

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

# Command of a limiter with peers, which accepts the operator's file of peers (`--site`).
SERVE = (sys.executable, "-m", "lapisgrade.cli", "serve")
START_TIMEOUT_S = 20.0  # maximum time until a limiter answers `GET /up`, on a busy machine
POLL_INTERVAL_S = 0.03  # between checks whether a limiter is up
SEED_COUNT = 2  # limiters whose addresses all others get as seeds


class LimiterEnvironment(Protocol):
    """The parts of a run that a limiter uses.

    Attributes:
        scenario: Scenario that is run.
        folder: Folder of the run.
        command: Command that starts a limiter without peers.
        writer: Writer of the history.
        supervisor: Starts the processes, and kills them at the end of the run.
        limiters: All limiters, by index.
    """

    scenario: Scenario
    folder: Path
    command: tuple[str, ...]
    writer: h.Writer
    supervisor: Supervisor
    limiters: "list[Limiter]"


class Limiter:
    """A limiter of the run.

    Attributes:
        environment: The run that it belongs to.
        index: Number of the limiter, from 0.
        folder: Folder of its files.
        state: Folder of its state, its "disk", on which the disk faults act.
        port: Port at which it serves requests.
        agent: Its discovery agent.
        counter_address: Address at which it reaches the counter.
        links: Relays on its links by kind, each with the number of its server (0 for the counter and the
            agent; the limiter's own for a link to other limiters).
        config: Its configuration file.
        site: Its file of peers, written only if the scenario has peers.
        peer_port: Port at which it receives from other limiters; 0 without peers.
        reached_at: Address at which other limiters reach it; empty without peers.
        process: Its process.
        is_up: Whether it answers requests, so that its signal handlers are set.
    """

    def __init__(self, environment: LimiterEnvironment, index: int) -> None:
        """Create the limiter's folders and choose its port; `start` starts its process."""
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
        self.peer_port, self.reached_at = 0, ""
        args = list(environment.command)
        if environment.scenario.peers:
            args = [*SERVE, str(self.config), "--site", str(self.site)]
        env = {"ROUTER_CONFIG": str(self.config)}
        self.process = Process(f"limiter {index}", args, self.folder / "log", env, self.folder)
        self.is_up = False

    def record_event(self, what: str) -> None:
        """Record a change of the process in the history; `what` is as in `LimiterProcessChanged`."""
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
        """Write the limiter's configuration file and, if the scenario has peers, its file of peers."""
        self.config.write_text(json.dumps(self._configuration(), indent=1))
        if self.environment.scenario.peers:
            seeds = [each.reached_at for each in self.environment.limiters[:SEED_COUNT]]
            self.site.write_text(
                f'[peers]\nlisten = "127.0.0.1:{self.peer_port}"\n'
                f'reached_at = "{self.reached_at}"\nseeds = {json.dumps(seeds)}\n'
            )

    async def start(self) -> None:
        """Start a new process and wait until it serves requests.

        A configuration that was changed while the process started is reloaded once it serves.

        Raises:
            ProcessFailedError: The process ended, or did not serve requests within `START_TIMEOUT_S`.
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
