"""Random, overlapping signals, restarts and configuration changes, for cases of keyed operations."""

import asyncio
import math
import os
import shutil
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway.http_client import post_to_any
from lapisgrade.gateway.local_cluster import SAMPLE
from lapisgrade.lab.partitions.fleet import Fleet
from lapisgrade.lab.partitions.limit_history import LimitChange, LimitHistory
from lapisgrade.lab.partitions.operation_history import LEEWAY_S, History
from lapisgrade.lab.partitions.process_monitor import ProcessMonitor

GRACE_PERIOD_S = 6.0  # maximum shutdown time after SIGTERM, as in the operators' deployments
STARTUP_S = 3.0  # maximum time from a process's start until it has loaded its code, on a busy machine
# For this time after its restart, a machine that lost its disk counts as down, as in the operators'
# deployments.
RECOVERY_S = 6.0
MAX_RESTART_DELAY_S = 0.5  # from the end of a process until its restart
MAX_FAULT_INTERVAL_S = 0.8  # from one fault to the next
MASS_KILL_PAUSE_S = 3.0  # after all proxies or all processes are killed at once
CHANGE_RETRY_INTERVAL_S = 0.3  # between two attempts of a configuration change that is not acknowledged
MAX_CHANGE_INTERVAL_S = 0.3  # between two changes of a series

# Relative frequency of each fault: an action and the role of the process, or a special fault.
PROXY_FAULTS = {"terminate proxy": 3, "kill proxy": 2, "reload proxy": 2, "terminate and kill proxy": 1}
CONTROLLER_FAULTS = {"terminate controller": 1, "kill controller": 1, "reload controller": 1}
DISK_FAULTS = {"empty controller": 2}
BLACKOUTS = {"kill everything": 2}
CHANGES = {"change configuration": 3}
LIMIT_CHANGES = {"change limits": 3}
FREEZES = {"freeze controller": 2}

MAX_FREEZE_S = 1.2  # longer than an election time-out
MAX_CHANGES_IN_SERIES = 4
BODY_BYTES_RANGE = (1_000, 48_000)  # smallest and largest limit on bodies


@dataclass(slots=True)
class FaultInjector:
    """Injects the faults of one case into a fleet.

    Attributes:
        fleet: Fleet under test.
        history: Where killed processes, violations and stalls are recorded.
        random: Source of all random choices.
        monitor: Monitor of the processes; it learns which ends are expected.
        injected: Number of injections of each fault.
        limits: The limits on requests of all versions that were sent.
    """

    fleet: Fleet
    history: History
    random: Random
    monitor: ProcessMonitor
    injected: Counter[str] = field(default_factory=Counter)
    limits: LimitHistory = field(default_factory=LimitHistory)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _locks: dict[tuple[str, str], asyncio.Lock] = field(default_factory=dict)
    # Event loop times: until when a machine that lost its disk counts as down, and restarts by process id.
    _recovering_until_s: dict[str, float] = field(default_factory=dict)
    _started_s: dict[int, float] = field(default_factory=dict)
    _newest_version: int = 1
    _change_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def run(self, weights: dict[str, int], count: int) -> None:
        """Inject random faults, which overlap, and wait until all have ended.

        Args:
            weights: Relative frequency of each fault, by its name.
            count: Number of faults.
        """
        for _ in range(count):
            await asyncio.sleep(self.random.uniform(0, MAX_FAULT_INTERVAL_S))
            fault = self.random.choices(list(weights), list(weights.values()))[0]
            self._inject(fault)
            if fault in ("kill all proxies", "kill everything"):
                await asyncio.sleep(MASS_KILL_PAUSE_S)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    # ---- faults

    def _inject(self, fault: str) -> None:
        """Start a fault; one of a controller is skipped while another controller is down."""
        if fault == "change configuration":
            actions = [self._change_configuration()]
        elif fault == "change limits":
            actions = [self._change_limits()]
        elif fault == "kill all proxies":
            actions = [self._kill("proxy", name) for name in self.fleet.ip]
        elif fault == "kill everything":
            actions = [self._kill(role, name) for role, name in self.fleet.running]
        else:
            action, role = fault.rsplit(" ", 1)
            name = self.random.choice(self.fleet.controllers if role == "controller" else list(self.fleet.ip))
            if role == "controller" and self._is_another_controller_down(name):
                return
            method = {
                "terminate": self._terminate,
                "kill": self._kill,
                "empty": self._wipe,
                "reload": self._reload,
                "freeze": self._freeze,
                "terminate and kill": self._terminate_and_kill,
            }[action]
            actions = [method(role, name)]
        self.injected[fault] += 1
        if fault.endswith(" controller"):
            self.limits.controller_faults_s.append(time.monotonic())
        for each in actions:
            self._start_task(each)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.history.process_violations.append(f"the injection of a fault failed: {error!r}")

    def _is_another_controller_down(self, name: str) -> bool:
        """Return whether another controller is down; with both down the quorum could be lost."""
        now_s = asyncio.get_running_loop().time()
        others = [each for each in self.fleet.controllers if each != name]
        if any(now_s < self._recovering_until_s.get(each, 0.0) for each in others):
            return True
        processes = [self.fleet.running["controller", each] for each in others]
        return any(
            each.returncode is not None or each.pid in self.monitor.expected_ends for each in processes
        )

    async def _terminate(self, role: str, name: str) -> None:
        """Send SIGTERM, check that the process exits with 0 in time, and restart it."""
        process = self.fleet.running[role, name]
        if process.returncode is not None:
            return
        self.monitor.expected_ends.add(process.pid)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_PERIOD_S + LEEWAY_S):
                status = await process.wait()
        except TimeoutError:
            self.history.process_violations.append(
                f"{role} of {name} was still running {GRACE_PERIOD_S + LEEWAY_S} s after SIGTERM"
            )
            await self._kill(role, name)
            return
        if self._is_starting(process) and status == -signal.SIGTERM:
            status = 0  # it had not installed its SIGTERM handler yet
        if status and process.pid not in self.history.killed_ids:
            self.history.process_violations.append(
                f"{role} of {name} exited with status {status} after SIGTERM"
            )
        await self._restart(role, name, process)

    async def _kill(self, role: str, name: str) -> None:
        """Kill a process and restart it."""
        process = self.fleet.running[role, name]
        if process.returncode is not None:
            return
        self.monitor.expected_ends.add(process.pid)
        self.history.killed_ids.add(process.pid)
        process.kill()
        await process.wait()
        await self._restart(role, name, process)

    async def _wipe(self, role: str, name: str) -> None:
        """Kill a controller, delete its data and restart it; it counts as down for another `RECOVERY_S`."""
        process = self.fleet.running[role, name]
        if process.returncode is not None or process.pid in self.monitor.expected_ends:
            return  # it is ending, and may be restarted on its disk at any moment
        self._recovering_until_s[name] = math.inf
        self.monitor.expected_ends.add(process.pid)
        self.history.killed_ids.add(process.pid)
        process.kill()
        await process.wait()
        shutil.rmtree(os.path.join(self.fleet.folder, name), ignore_errors=True)  # it may not exist yet
        await self._restart(role, name, process)
        self._recovering_until_s[name] = asyncio.get_running_loop().time() + RECOVERY_S

    async def _terminate_and_kill(self, role: str, name: str) -> None:
        """Send SIGTERM, and kill the process at a random time of its grace period."""
        terminating = asyncio.get_running_loop().create_task(self._terminate(role, name))
        await asyncio.sleep(self.random.uniform(0, GRACE_PERIOD_S))
        await self._kill(role, name)
        await terminating

    async def _reload(self, role: str, name: str) -> None:
        """Change the peers in the settings file and send one or two SIGHUPs, possibly during a shutdown."""
        process = self.fleet.running[role, name]
        controllers = list(self.fleet.controllers)
        self.random.shuffle(controllers)
        self.fleet.write_settings(role, name, controllers[: self.random.randint(1, 3)])
        for _ in range(self.random.randint(1, 2)):
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)

    async def _freeze(self, role: str, name: str) -> None:
        """Stop a process for up to `MAX_FREEZE_S`, so that another leader may be elected."""
        process = self.fleet.running[role, name]
        if process.returncode is not None:
            return
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, MAX_FREEZE_S))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _restart(self, role: str, name: str, process: asyncio.subprocess.Process) -> None:
        """Restart a process unless that has been done since `process` ended."""
        await asyncio.sleep(self.random.uniform(0, MAX_RESTART_DELAY_S))
        async with self._locks.setdefault((role, name), asyncio.Lock()):
            if self.fleet.running[role, name] is process:
                await self.fleet.start(role, name)
                self._started_s[self.fleet.running[role, name].pid] = asyncio.get_running_loop().time()

    def on_unexpected_end(self, role: str, name: str, process: asyncio.subprocess.Process) -> None:
        """Record a process that ended by itself, and restart it.

        Only a SIGHUP before the interpreter ran any of our code may end a process.
        """
        if process.returncode == -signal.SIGHUP and self._is_starting(process):
            self.injected["SIGHUP before the interpreter had started"] += 1
        else:
            log_tail = self.monitor.log_tail(role, name)
            violation = f"{role} of {name} exited unexpectedly with status {process.returncode}: {log_tail}"
            self.history.process_violations.append(violation)
        self._start_task(self._restart(role, name, process))

    def _is_starting(self, process: asyncio.subprocess.Process) -> bool:
        """Return whether the process was restarted so recently that it may not have loaded its code."""
        started_s = self._started_s.get(process.pid, 0.0)
        return asyncio.get_running_loop().time() - started_s < STARTUP_S

    async def _change_configuration(self) -> None:
        """Send a change of time-outs and routes until it is acknowledged."""
        async with self._change_lock:
            await self._send_change(self._change)

    async def _change_limits(self) -> None:
        """Raise and lower the limit on bodies in quick succession."""
        async with self._change_lock:
            for _ in range(self.random.randint(1, MAX_CHANGES_IN_SERIES)):
                change = LimitChange(self.random.randint(*BODY_BYTES_RANGE), time.monotonic())
                self.limits.changes.append(change)
                caps = {**SAMPLE["Caps"], "BodyBytes": change.body_bytes}
                await self._send_change(partial(_limits_change, caps))
                change.acknowledged_s = time.monotonic()
                await asyncio.sleep(self.random.uniform(0, MAX_CHANGE_INTERVAL_S))

    async def _send_change(self, make_change: Callable[[int, int], dict[str, Any]]) -> None:
        """Send the change that `make_change` makes of the base and the next version until acknowledged."""
        base = self._newest_version
        self._newest_version += self.random.randint(1, 5)
        body = msgspec.json.encode(make_change(base, self._newest_version))
        while await post_to_any(self.fleet.controller_addresses, "/-/rpc?call=conf.update", body) != 200:
            await asyncio.sleep(CHANGE_RETRY_INTERVAL_S)

    def _change(self, base: int, version: int) -> dict[str, Any]:
        """Return a change from version `base` with random time-outs of all routes and one added route."""
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


def _limits_change(caps: dict[str, Any], base: int, version: int) -> dict[str, Any]:
    """Return a change of the limits alone."""
    return {"Ver": version, "Base": base, "Upsert": {"Caps": caps}}
