"""Case 8: after the caps were raised, proper requests on kept connections are refused by the old caps."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loopback_site import Connection, Record, Site, configuration, request, route, run_case

CLIENTS = 30
SETTLE_S = 4.0  # above `Contact` since the processes were started: all machines are in touch
AFTER_ACK_S = 4.0  # above `Apply` (2.5 s) after the acknowledgement; connections may rest for 12 s
SMALL, LARGE = b"c" * 200, b"C" * 4000
OLD_BODY_BYTES, NEW_BODY_BYTES = 1024, 67_108_864


async def case(record: Record, is_troubled: bool) -> bool:
    """Raise `BodyBytes` between two requests of each kept connection; return whether DENIED held."""
    async with Site(record, 3) as site:
        await site.start_all()
        for _ in range(4):
            await site.add_server("garantie", slots=8)
        tenants = [{"Name": "huka270", "Apikeys": ["key-1"], "Prio": 1}]
        routes = [route("r-1", "/pufi791/", "garantie", Mode="mutate")]
        before = configuration(1, 0, routes, tenants)
        before["Caps"]["BodyBytes"] = OLD_BODY_BYTES if is_troubled else NEW_BODY_BYTES
        await site.configure("conf.replace", before)
        await site.until_ready()
        await asyncio.sleep(SETTLE_S)
        denied = 0

        async def ask(connection: Connection, try_id: str, body: bytes) -> None:
            nonlocal denied
            head = request("POST", "/pufi791/2f", try_id, "key-1", 3000, body)
            answer = await connection.exchange(head, body, 3)
            record.write(f"{try_id} with {len(body)} bytes gets {answer.status} {answer.error}")
            denied += 300 <= answer.status < 500 and answer.status not in (408, 421, 429)

        clients = [site.client(site.names[number % 3]) for number in range(CLIENTS)]
        await asyncio.gather(*(ask(each, f"a-{number}", SMALL) for number, each in enumerate(clients)))
        if is_troubled:
            after = configuration(2, 1, routes, tenants)
            after["Caps"]["BodyBytes"] = NEW_BODY_BYTES
            await site.configure("conf.replace", after)
        await asyncio.sleep(AFTER_ACK_S)
        await asyncio.gather(*(ask(each, f"b-{number}", LARGE) for number, each in enumerate(clients)))
        allowed = 5 + 2 * CLIENTS / 500
        record.write(f"proper requests ended with a 3xx or 4xx: {denied}, allowed: {allowed:.2f}")
        return denied <= allowed


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
