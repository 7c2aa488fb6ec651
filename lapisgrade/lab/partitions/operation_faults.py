"""Signals, restarts and configuration changes in series that overlap, for plays of keyed operations."""

import asyncio
import contextlib
import math
import os
import shutil
import signal
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway.http_client import post_to_any
from lapisgrade.gateway.local_cluster import SAMPLE
from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.partitions.operation_history import LEEWAY_S, History

GRACE_S = 6.0  # that a process may take to end after SIGTERM, as in the operators' deployments
STARTUP_S = 3.0  # that a process's code may take to load on a busy machine
SYNC_S = 6.0  # for which a machine counts as lost after it is back, as in the operators' deployments
RESTART_DELAY_S = 0.5  # at most, from the end of a process until it is started again
STEP_INTERVAL_S = 0.8  # at most, from one fault to the next
HERD_PAUSE_S = 3.0  # after all proxies were killed at once
SAMPLE_INTERVAL_S = 0.25  # between looks at the processes
STALL_S = 1.0  # that a look may be late until the play counts as having stood still
CHANGE_INTERVAL_S = 0.3  # between two sendings of a change that is not acknowledged
SHOWN_LINES = 8  # of the log of a process that ended by itself
MAX_RESIDENT_MB = 200  # what the operators' machines have
MAX_DESCRIPTORS = 475

# How often each fault is drawn; the names say what is done to a process of that role.
PROXY_FAULTS = {"terminate proxy": 3, "kill proxy": 2, "reload proxy": 2, "terminate and kill proxy": 1}
CONTROLLER_FAULTS = {"terminate controller": 1, "kill controller": 1, "reload controller": 1}
DISK_FAULTS = {"empty controller": 2}
BLACKOUTS = {"kill everything": 2}
CHANGES = {"change configuration": 3}


@dataclass(slots=True)
class Usage:
    """The most that any process has used."""

    resident_mb: float = 0.0
    descriptors: int = 0


@dataclass(slots=True)
class ProcessFaults:
    """Does the faults of one case to a fleet, and watches its processes.

    Attributes:
        done: How often each fault was done.
        usage: The most that any process has used.
    """

    fleet: Fleet
    history: History
    random: Random
    done: Counter[str] = field(default_factory=Counter)
    usage: Usage = field(default_factory=Usage)
    _ended_by_us: set[int] = field(default_factory=set)  # process ids
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _locks: dict[tuple[str, str], asyncio.Lock] = field(default_factory=dict)
    _lost_until_s: dict[str, float] = field(default_factory=dict)  # by machine whose disk was lost
    _started_s: dict[int, float] = field(default_factory=dict)  # by process id
    _version: int = 1
    _changes: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def run(self, weights: dict[str, int], count: int) -> None:
        """Draw and start so many faults by their weights; they overlap. Returns when all have ended."""
        for _ in range(count):
            await asyncio.sleep(self.random.uniform(0, STEP_INTERVAL_S))
            fault = self.random.choices(list(weights), list(weights.values()))[0]
            self._start(fault)
            if fault in ("kill all proxies", "kill everything"):
                await asyncio.sleep(HERD_PAUSE_S)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def watch(self) -> None:
        """Note what the processes use, those that end by themselves, and our own stalls, until cancelled."""
        looked_s = time.monotonic()
        while True:
            for (role, name), process in list(self.fleet.running.items()):
                self._look_at(role, name, process)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            before_s, looked_s = looked_s, time.monotonic()
            if looked_s - before_s > SAMPLE_INTERVAL_S + STALL_S:
                self.history.stalls.append((before_s, looked_s))

    # ---- the faults

    def _start(self, fault: str) -> None:
        if fault == "change configuration":
            doing = [self._change_configuration()]
        elif fault == "kill all proxies":
            doing = [self._kill("proxy", name) for name in self.fleet.ip]
        elif fault == "kill everything":
            doing = [self._kill(role, name) for role, name in self.fleet.running]
        else:
            action, role = fault.rsplit(" ", 1)
            name = self.random.choice(self.fleet.controllers if role == "controller" else list(self.fleet.ip))
            if role == "controller" and self._is_another_controller_down(name):
                return
            act = {
                "terminate": self._terminate,
                "kill": self._kill,
                "empty": self._empty,
                "reload": self._reload,
                "terminate and kill": self._terminate_and_kill,
            }[action]
            doing = [act(role, name)]
        self.done[fault] += 1
        for each in doing:
            self._start_task(each)

    def _start_task(self, doing: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(doing)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.history.process_faults.append(f"a fault of the play's own failed: {error!r}")

    def _is_another_controller_down(self, name: str) -> bool:
        """Whether a majority would be lost with this one."""
        now_s = asyncio.get_running_loop().time()
        others = [each for each in self.fleet.controllers if each != name]
        if any(now_s < self._lost_until_s.get(each, 0.0) for each in others):
            return True
        processes = [self.fleet.running["controller", each] for each in others]
        return any(each.returncode is not None or each.pid in self._ended_by_us for each in processes)

    async def _terminate(self, role: str, name: str) -> None:
        process = self.fleet.running[role, name]
        if process.returncode is not None:
            return
        self._ended_by_us.add(process.pid)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + LEEWAY_S):
                status = await process.wait()
        except TimeoutError:
            self.history.process_faults.append(
                f"{role} of {name} still ran {GRACE_S + LEEWAY_S} s after SIGTERM"
            )
            await self._kill(role, name)
            return
        if self._is_starting(process) and status == -signal.SIGTERM:
            status = 0  # it had no handler yet
        if status and process.pid not in self.history.killed:
            self.history.process_faults.append(f"{role} of {name} ended with {status} after SIGTERM")
        await self._start_again(role, name, process)

    async def _kill(self, role: str, name: str) -> None:
        process = self.fleet.running[role, name]
        if process.returncode is not None:
            return
        self._ended_by_us.add(process.pid)
        self.history.killed.add(process.pid)
        process.kill()
        await process.wait()
        await self._start_again(role, name, process)

    async def _empty(self, role: str, name: str) -> None:
        """The machine loses its disk; it counts as lost until some time after it is back."""
        process = self.fleet.running[role, name]
        if process.returncode is not None or process.pid in self._ended_by_us:
            return  # it ends already, and may be started again at any moment
        self._lost_until_s[name] = math.inf
        self._ended_by_us.add(process.pid)
        self.history.killed.add(process.pid)
        process.kill()
        await process.wait()
        shutil.rmtree(os.path.join(self.fleet.folder, name), ignore_errors=True)  # it may have none yet
        await self._start_again(role, name, process)
        self._lost_until_s[name] = asyncio.get_running_loop().time() + SYNC_S

    async def _terminate_and_kill(self, role: str, name: str) -> None:
        """The kill comes while the process shuts down."""
        terminating = asyncio.get_running_loop().create_task(self._terminate(role, name))
        await asyncio.sleep(self.random.uniform(0, GRACE_S))
        await self._kill(role, name)
        await terminating

    async def _reload(self, role: str, name: str) -> None:
        """Other peers in the settings file, and SIGHUP, or twice at once; also while it shuts down."""
        process = self.fleet.running[role, name]
        controllers = list(self.fleet.controllers)
        self.random.shuffle(controllers)
        self.fleet.write_settings(role, name, controllers[: self.random.randint(1, 3)])
        for _ in range(self.random.randint(1, 2)):
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)

    async def _start_again(self, role: str, name: str, process: asyncio.subprocess.Process) -> None:
        """Start a process anew unless that has been done since `process` ended."""
        await asyncio.sleep(self.random.uniform(0, RESTART_DELAY_S))
        async with self._locks.setdefault((role, name), asyncio.Lock()):
            if self.fleet.running[role, name] is process:
                await self.fleet.start(role, name)
                self._started_s[self.fleet.running[role, name].pid] = asyncio.get_running_loop().time()

    def _is_starting(self, process: asyncio.subprocess.Process) -> bool:
        """Whether it was started so lately that its code may not be loaded."""
        started_s = self._started_s.get(process.pid, 0.0)
        return asyncio.get_running_loop().time() - started_s < STARTUP_S

    async def _change_configuration(self) -> None:
        """Another time-out and another route, sent until it is acknowledged."""
        async with self._changes:
            base, self._version = self._version, self._version + self.random.randint(1, 5)
            body = msgspec.json.encode(self._change(base, self._version))
            while await post_to_any(self.fleet.controller_addresses, "/-/rpc?call=conf.update", body) != 200:
                await asyncio.sleep(CHANGE_INTERVAL_S)

    def _change(self, base: int, version: int) -> dict[str, Any]:
        rules: list[dict[str, Any]] = [dict(each) for each in self.fleet.sample["Ports"][0]["Policy"]]
        for rule in rules:
            rule["Action"] = {**rule["Action"], "Timeout": f"{self.random.randint(1500, 2500)}ms"}
        added = {
            **SAMPLE["Ports"][0]["Policy"][0],
            "Name": f"r-{version}",
            "Match": {"Pfx": f"/added-{version}/"},
        }
        upsert = {"Ports": [{"Vhost": "a.example", "Policy": [*rules, added]}]}
        return {"Ver": version, "Base": base, "Upsert": upsert}

    # ---- the processes

    def _look_at(self, role: str, name: str, process: asyncio.subprocess.Process) -> None:
        if process.returncode is not None:
            if process.pid not in self._ended_by_us:
                self._ended_by_us.add(process.pid)
                self._on_unexpected_end(role, name, process)
            return
        with contextlib.suppress(OSError):  # it ends as we look
            self._note_usage(f"{role} of {name}", Path("/proc") / str(process.pid))

    def _on_unexpected_end(self, role: str, name: str, process: asyncio.subprocess.Process) -> None:
        """Note a process that ended by itself; only a SIGHUP before any of our code ran may do that."""
        if process.returncode == -signal.SIGHUP and self._is_starting(process):
            self.done["SIGHUP before the interpreter was up"] += 1
        else:
            last = self._last_lines(role, name)
            fault = f"{role} of {name} ended by itself with {process.returncode}: {last}"
            self.history.process_faults.append(fault)
        self._start_task(self._start_again(role, name, process))

    def _last_lines(self, role: str, name: str) -> str:
        """What its log says at the end."""
        log = Path(self.fleet.folder) / f"{name}-{role}.log"
        return " | ".join(log.read_text(errors="replace").splitlines()[-SHOWN_LINES:])

    def _note_usage(self, process: str, folder: Path) -> None:
        descriptors = len(os.listdir(folder / "fd"))
        status = (folder / "status").read_text()
        lines = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        resident_mb = int(lines[0].split()[1]) / 1024 if lines else 0.0
        if descriptors > MAX_DESCRIPTORS >= self.usage.descriptors:
            self.history.process_faults.append(f"{process} has {descriptors} descriptors")
        if resident_mb > MAX_RESIDENT_MB >= self.usage.resident_mb:
            self.history.process_faults.append(f"{process} takes {resident_mb:.0f} MB")
        self.usage.descriptors = max(self.usage.descriptors, descriptors)
        self.usage.resident_mb = max(self.usage.resident_mb, resident_mb)
