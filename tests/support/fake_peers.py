"""Fakes on loopback of all that a limiter talks to, from the operators' protocol."""

import asyncio
import contextlib
import json
import time


async def heard(reader):
    """One HTTP message: its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


class Party:
    """Whoever listens: `manner` says how it behaves, for each message or for all."""

    def __init__(self, manner="well"):
        self.manner, self.seen, self.writers, self.port, self.asleep = manner, [], [], 0, 0.0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while await self.turn(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.transport.abort()

    def sleep(self):
        """Keep this process from looking at its sockets, once."""
        asleep, self.asleep = self.asleep, 0.0
        time.sleep(asleep)

    def shut(self):
        """Close every connection, as a process that dies does."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def close(self):
        self.shut()
        self.server.close()

    def how(self):
        return self.manner() if callable(self.manner) else self.manner


class Backend(Party):
    """A server."""

    async def turn(self, reader, writer):
        first, headers, body = await heard(reader)
        how = self.how()
        self.seen.append((first, headers, body, asyncio.get_running_loop().time(), how))
        if isinstance(how, float):  # seconds that it takes
            await asyncio.sleep(how)
            how = "well"
        answer = {
            "well": f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) + 4}\r\n\r\nfor ".encode() + body,
            "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfor \r\n"
            + (b"%x\r\n%b\r\n" % (len(body), body) if body else b"")
            + b"0\r\n\r\n",
            "early": b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfor %b" % (len(body) + 4, body),
            "end": b"HTTP/1.1 200 OK\r\n\r\nfor " + body,
            "short": b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nfor ",
            "error": b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
            "full": b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            "rejected": b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n",
            "plain 503": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            "noise": b"what?\r\n\r\n",
            "load": b"HTTP/1.1 500 Oops\r\nX-Server-Load: TEXT inflight=7, util=0.5\r\n"
            b"Content-Length: 0\r\n\r\n",
            "close": b"",
        }.get(how)
        if answer is None:  # silent
            await asyncio.sleep(30)
        writer.write(answer)
        self.sleep()
        await writer.drain()
        return how not in ("short", "end", "close")


class Till(Party):
    """The counter."""

    def __init__(self, manner="well"):
        super().__init__(manner)
        self.counts = {}

    async def turn(self, reader, writer):
        words = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
        self.seen.append(words)
        how = self.how()
        if isinstance(how, float):
            await asyncio.sleep(how)
        if how == "silent":
            await asyncio.sleep(30)
        if how == "busy":
            writer.write(b"-BUSY try later\r\n")
        elif isinstance(how, bytes):
            writer.write(how)
        elif how != "close":
            name, amount = words[1], float(words[2])
            self.counts[name] = self.counts.get(name, 0.0) + amount
            total = b"%.3f" % self.counts[name]
            for part in (b"$%d\r" % len(total), b"\n" + total[:1], total[1:] + b"\r\n"):
                await asyncio.sleep(0)
                writer.write(part)
            self.sleep()
        return how != "close"


class Agent(Party):
    """Discovery."""

    def __init__(self, rows):
        super().__init__()
        self.rows, self.generation, self.calls, self.changed = rows, 3, [], asyncio.Event()

    def change(self, **states):
        for row in self.rows:
            row["lifecycle"] = states.get(row["instanceId"], row["lifecycle"])
        self.generation += 1
        self.changed.set()

    def told(self, reset=True):
        return {"generation": self.generation, "reset": reset, "instances": self.rows}

    async def turn(self, reader, writer):
        first, _, _ = await heard(reader)
        self.calls.append((first.split(" ")[1], asyncio.get_running_loop().time()))
        if self.manner == "well" and f"since={self.generation}&" in first:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), 0.3)
        if self.manner == "silent":
            await asyncio.sleep(30)
        if self.manner == "busy":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        told = {**self.told(False), "instances": []} if self.manner == "hasty" else self.told(False)
        body = json.dumps(told).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return True
