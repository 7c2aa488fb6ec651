"""The fake discovery service: its list, and watches for changes."""

import asyncio
import json

from lapisgrade.fakes import discovery


async def get(port, target):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(size)
    writer.transport.abort()
    return int(head.split(b" ")[1]), body


async def test_discovery_replies_the_full_list_and_then_changes():
    fake = await discovery.Discovery().open()
    fake.put(discovery.ServerEntry("s0", "127.0.0.1:1"))
    fake.put(discovery.ServerEntry("s1", "127.0.0.1:2"))
    status, body = await get(fake.port, "/discovery/hosts")
    whole = json.loads(body)
    assert status == 200
    assert whole["reset"]
    assert [row["instanceId"] for row in whole["instances"]] == ["s0", "s1"]
    target = f"/discovery/hosts?since={whole['generation']}&timeout_ms=5000"
    watch = asyncio.create_task(get(fake.port, target))
    await asyncio.sleep(0.1)
    assert not watch.done()  # nothing new yet: the watch waits
    fake.drain("s1")
    told = json.loads((await watch)[1])
    assert told["reset"] is False
    assert told["instances"][0]["lifecycle"] == "terminating"
    quiet = await get(fake.port, f"/discovery/hosts?since={told['generation']}&timeout_ms=50")
    assert json.loads(quiet[1])["instances"] == []
    fake.remove("s1")
    assert [r["instanceId"] for r in fake.complete_list()["instances"]] == ["s0"]
    assert (await get(fake.port, "/discovery/hosts?since=x"))[0] == 400
    assert (await get(fake.port, "/elsewhere"))[0] == 404
    await fake.close()
