"""After a configuration has grown to 8 MiB, no controller survives its next start: all of it is lost.

The operator has a configuration with many API keys, about 7.4 MB. It adds tenants by small changes, each on
top of the one before, until one gets no clear answer. Then all processes are killed at once, and come back a
second later with their disks. The operator reads the configuration back.
"""

import asyncio
import json
import random
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stand_ins
from stand_ins import Fleet, Record

TENANTS = 198  # of the large configuration
KEYS = 560  # of each tenant
CHANGES = 16
TENANTS_ADDED = 2  # by each change
ORDER_S = 8.0  # how long the operator waits for the answer to one order
REPLACE_TRIES = 10
UPDATE_TRIES = 4
LAST_TRIES = 2  # of the change that takes the configuration over MAX_BYTES: the kill follows soon after it
MAX_BYTES = 8 * 1024 * 1024  # of a version, in the program
DOWN_S = 1.0  # after which the killed processes are started again
READ_BACK_S = 20.0  # how long it asks for the configuration; `Contact` is 3 s
RESTART_S = 0.5  # after which the platform starts a process that has ended


class Case:
    """One run of the case."""

    def __init__(self, record: Record, has_trouble: bool) -> None:
        self.record = record
        self.has_trouble = has_trouble
        self.fleet = Fleet(record, 4)
        self.acknowledged = 1
        self.is_killing = False
        self.ends = dict.fromkeys(self.fleet.core, 0)  # by machine: how often its controller ended by itself

    async def run(self) -> int:
        """Run and judge."""
        fleet = self.fleet
        fleet.add_server("stock")
        first = stand_ins.configuration([stand_ins.route("stock", "/stock/", "stock")], ["stock"])
        first["Tenants"] = [self._tenant(0, KEYS)]
        try:
            await fleet.start_all(first)
            platform = asyncio.create_task(self._restart_ended())
            version = await self._change_and_read_back(first)
            platform.cancel()
        finally:
            fleet.close()
        self.record.write(
            f"result: newest acknowledged version {self.acknowledged}, read back: {version or 'nothing'};"
            f" controllers ended by themselves: {self.ends}"
        )
        if self.acknowledged < 2:
            return stand_ins.NOT_RUN
        return stand_ins.HELD if version >= self.acknowledged else stand_ins.BROKEN

    async def _change_and_read_back(self, first: dict[str, Any]) -> int:
        large = {
            **first,
            "Ver": 2,
            "Base": 1,
            "Tenants": [self._tenant(each, KEYS) for each in range(TENANTS)],
        }
        size = len(json.dumps(large, separators=(",", ":")))
        is_taken = await self._order("conf.replace", large, REPLACE_TRIES)
        for number in range(CHANGES if is_taken else 0):
            start = TENANTS + number * TENANTS_ADDED
            added = [self._tenant(start + each, KEYS) for each in range(TENANTS_ADDED)]
            change = {"Ver": self.acknowledged + 1, "Base": self.acknowledged, "Upsert": {"Tenants": added}}
            size += sum(len(json.dumps(tenant, separators=(",", ":"))) for tenant in added)
            tries = UPDATE_TRIES if size < MAX_BYTES else LAST_TRIES
            if not await self._order("conf.update", change, tries):
                break
            await asyncio.sleep(0.3)
        if self.has_trouble:
            await self._kill_all()
        return await self._read_back()

    async def _kill_all(self) -> None:
        """Kill all processes at once, and start them again, with their disks."""
        self.is_killing = True
        for role, name in self.fleet.processes:
            self.fleet.signal(role, name, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for role, name in list(self.fleet.processes):
            await self.fleet.ended(role, name, 1.0)
            self.fleet.start(role, name)
        self.is_killing = False

    @staticmethod
    def _tenant(number: int, keys: int) -> dict[str, Any]:
        names = [f"{number:04d}{key:04d}{random.getrandbits(224):056x}" for key in range(keys)]
        return {"Name": f"tenant-{number:04d}", "Apikeys": names, "Prio": 1, "RateS": 50, "Burst": 50}

    async def _order(self, call: str, body: dict[str, Any], tries: int) -> bool:
        """Send one order until it has a clear answer; return whether it was acknowledged."""
        for _ in range(tries):
            reply = await self.fleet.call_any(f"/-/rpc?call={call}", body, ORDER_S)
            self.record.write(f"operator: {call}, version {body['Ver']}: {reply.status or 'no answer'}")
            if reply.status == 200:
                self.acknowledged = body["Ver"]
                return True
            if 400 <= reply.status < 500:
                return False
            await asyncio.sleep(0.5)
        return False

    async def _read_back(self) -> int:
        """Ask for the configuration again and again; return its version, 0 if it never comes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READ_BACK_S
        while loop.time() < until:
            reply = await self.fleet.call_any("/-/rpc?call=conf.show", {}, 3.0)
            found = stand_ins.version_of(reply.body) if reply.status == 200 else 0
            self.record.write(f"operator: conf.show: {reply.status or 'no answer'}, version {found}")
            if found >= self.acknowledged:
                return found
            await asyncio.sleep(0.5)
        return 0

    async def _restart_ended(self) -> None:
        """Start each controller that has ended again after a short delay, as the platform does."""
        while True:
            for name in self.fleet.core:
                if not self.is_killing and await self.fleet.ended("controller", name, 0.0):
                    self.ends[name] += 1
                    self.record.write(f"platform: controller {name} has ended by itself")
                    await asyncio.sleep(RESTART_S)
                    self.fleet.start("controller", name)
            await asyncio.sleep(0.1)


async def run(record: Record, has_trouble: bool) -> int:
    """Run the case."""
    return await Case(record, has_trouble).run()


if __name__ == "__main__":
    stand_ins.run_case(Path(__file__).resolve().parent, run)
