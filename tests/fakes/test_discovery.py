"""The fake discovery agent: the complete list, and watches for changes."""

import asyncio
import json

from lapisgrade.fakes import discovery


async def get(port, target):
    """Return the status and body of the response to a GET on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(size)
    writer.transport.abort()
    return int(head.split(b" ")[1]), body


async def test_discovery_returns_the_complete_list_and_a_watch_returns_the_changes():
    fake = await discovery.Discovery().open()
    fake.put(discovery.ServerEntry("s0", "127.0.0.1:1"))
    fake.put(discovery.ServerEntry("s1", "127.0.0.1:2"))
    status, body = await get(fake.port, "/discovery/hosts")
    complete = json.loads(body)
    assert status == 200
    assert complete["reset"]
    assert [row["instanceId"] for row in complete["instances"]] == ["s0", "s1"]
    target = f"/discovery/hosts?since={complete['generation']}&timeout_ms=5000"
    watch = asyncio.create_task(get(fake.port, target))
    await asyncio.sleep(0.1)
    assert not watch.done()  # no changes yet
    fake.drain("s1")
    changes = json.loads((await watch)[1])
    assert changes["reset"] is False
    assert changes["instances"][0]["lifecycle"] == "terminating"
    unchanged = await get(fake.port, f"/discovery/hosts?since={changes['generation']}&timeout_ms=50")
    assert json.loads(unchanged[1])["instances"] == []
    fake.remove("s1")
    assert [row["instanceId"] for row in fake.complete_list()["instances"]] == ["s0"]
    assert (await get(fake.port, "/discovery/hosts?since=x"))[0] == 400
    assert (await get(fake.port, "/elsewhere"))[0] == 404
    await fake.close()
