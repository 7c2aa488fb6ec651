"""Case 4: two machines lose their disks after an acknowledgement, as `Faults` allows: the change is lost."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loopback_site import SLO, Record, Site, configuration, route, run_case

# As the small twin of shared/obr-passerelle-shared: 21 machines, 2 with a disk in each zone, 2 may be lost.
MACHINES, DISKS_PER_ZONE, NODES = 21, 2, 2
BOUNDS = {**SLO, "Contact": "5000ms", "Ack": "6000ms", "Sync": "6s", "Apply": "3000ms", "Skew": "10000ms"}
DOWN_S = 1.5  # as `closing` in the site file
SETTLE_S = 6.5  # above `Sync` since the machines were started
RECOVER_S, CONTACT_S = 15.0, 5.0


async def case(record: Record, is_troubled: bool) -> bool:
    """Wipe two disks after an acknowledgement; return whether the configuration can be read back."""
    async with Site(record, MACHINES, DISKS_PER_ZONE, NODES, BOUNDS) as site:
        await site.start_all()
        for _ in range(3):
            await site.add_server("garantie")
        routes = [route("r-1", "/lohu930/", "garantie")]
        await site.configure("conf.replace", configuration(1, 0, routes, []))
        await site.until_ready()
        record.write(f"controllers, by the share of the deploy file: {site.controllers}")
        record.write(f"machines with a disk: {sorted(site.with_disk)}; `Faults` allows {site.nodes}")
        await asyncio.sleep(SETTLE_S)
        routes.append(route("r-2", "/pufi791/", "garantie"))
        answer = await site.configure("conf.replace", configuration(7, 1, routes, []))
        if answer.status != 200:
            raise TimeoutError("the change was not acknowledged")
        if is_troubled:
            await _strike(site)
        await asyncio.sleep(RECOVER_S if is_troubled else 1.0)
        deadline, newest = record.now() + CONTACT_S, 0
        while record.now() < deadline and newest < 7:
            shown = await site.call("conf.show", {}, rounds=1)
            newest = json.loads(shown.body)["Ver"] if shown.status == 200 else 0
            record.write(f"conf.show answers {shown.status} {shown.body[:80]!r} {shown.error}")
        record.write(f"version 7 was acknowledged; read back: {newest or 'nothing'}")
        return newest == 7


async def _strike(site: Site) -> None:
    """End all processes of all machines; two controllers' machines come back with empty disks."""
    keys = list(site.processes)
    for name, role in keys:
        site.signal(name, role, signal.SIGKILL)
    for key in keys:
        site.processes[key].wait()
    for name in site.controllers[:NODES]:
        site.wipe(name)
    await asyncio.sleep(DOWN_S)
    for name, role in keys:
        site.start(name, role)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
