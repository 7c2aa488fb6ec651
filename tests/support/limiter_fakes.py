"""Stand-ins for the tests: a host and a counter on a hand-moved clock, and all parties on loopback."""

import asyncio
import contextlib
import heapq
import json
import socket
import time
from random import Random

from lapisgrade.decide import Limiter
from lapisgrade.engine import Engine
from lapisgrade.interface import (
    Category,
    Clock,
    Desk,
    Duties,
    Entry,
    Group,
    Leave,
    Listed,
    Operation,
    Outcome,
    Plan,
    Post,
    Repeat,
    Report,
    Tally,
    Total,
    Verdict,
    Word,
)
from lapisgrade.net.service import Service

SECOND = 1_000_000
DUTIES = Duties(250_000, 15 * SECOND, 0.2, SECOND, 3.0)
CATEGORIES = [
    Category("look", Repeat.IDEMPOTENT, SECOND, 2 * SECOND, 1.0),
    Category("file", Repeat.DEDUPLICATED, 2 * SECOND, 5 * SECOND, 4.0, 0.2, Group.ZONE, 900_000),
    Category("burn", Repeat.UNREPEATABLE, 2 * SECOND, 8 * SECOND, 3.0, 0.2),
]
PLANS = [
    Plan("small", 2.0, 8.0, beyond_costs=0.5),
    Plan("capped", 9.0, 20.0, ceiling_rate=18.0, ceiling_burst=40.0, ceiling_slack=4.0),
    Plan("narrow", 5.0, 10.0, open_cap=2),
    Plan("quick", 12.0, 14.0),
]


class World:
    """Clients, counter and servers of chance around real limiters; checks each rule at each step."""

    def __init__(self, seed, limiters=3, servers=6, second_copies=True, chances=(70, 8, 6, 6, 5, 5)):
        self.random, self.now, self.queue, self.order = Random(seed), 7 * SECOND, [], 0
        self.limiters, self.second_copies, self.chances = limiters, second_copies, chances
        self.counts, self.silent, self.lossy, self.gates = {}, False, 0.0, [None] * limiters
        self.entries = {
            f"s{i}": Entry(f"s{i}", Listed.READY, f"z{i % 2}", i % 3, 1.0) for i in range(servers)
        }
        self.stores, self.answers, self.ran = {}, [], []
        for i in range(limiters):
            self.start(i)

    def at(self, delay, call, *args):
        self.order += 1
        heapq.heappush(self.queue, (self.now + max(1, int(delay)), self.order, call, args))

    def start(self, i):
        self.gates[i] = Gate(self, i)

    def list(self, **states):
        for name, state in states.items():
            old = self.entries[name]
            started = self.now if state is Listed.READY and old.state is not Listed.READY else old.started_us
            self.entries[name] = Entry(name, state, old.zone, old.cell, old.size, "", started)
            for gate in self.gates:
                gate.told[name] = (state, self.now)
                gate.module.listed([self.entries[name]], False)

    def arrive(self, i, category=0, plan=0, customer="c0", units=1, budget=None):
        kind = CATEGORIES[category]
        gate, ends = self.gates[i], self.now + (budget or kind.hard_stop_us)
        op = Operation(customer, PLANS[plan], kind, units, self.now, ends, self.limiters)
        gate.owed[id(op)] = op
        gate.hops[id(op)] = []
        self.at(ends - self.now + 8_000, gate.overdue, op)
        gate.engine.run(gate.module.operation(op), op)
        return op

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            owner = getattr(call, "__self__", None)
            if isinstance(owner, Gate):
                if self.gates[owner.index] is not owner:
                    continue  # of an earlier life
                owner.clock.now_us = self.now
                owner.engine.time()
            call(*args)
        self.now = until
        for gate in self.gates:
            gate.clock.now_us = until
            gate.engine.time()

    def chance(self):
        """How a hop ends, and when."""
        ends = [Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.NO_CONNECTION, Outcome.BROKEN, None]
        outcome = self.random.choices(ends, self.chances)[0]
        return outcome, self.random.expovariate(1 / 120_000) + 1_000


class Gate:
    """One limiter under test, and what the rules say of it."""

    def __init__(self, world, index):
        self.world, self.index, self.clock = world, index, Clock(world.now)
        self.engine = Engine(self, self.clock)
        self.owed, self.hops, self.told, self.said = {}, {}, {}, []
        self.module = Limiter(
            self.clock,
            world.random.getrandbits(40),
            Post(index, world.limiters, "z0"),
            Desk(True, 30_000),
            CATEGORIES,
            DUTIES,
            Leave(4, True, world.second_copies, False, 500_000),
        )
        self.module.listed(list(world.entries.values()), True)

    def send(self, hop):
        op, world, name = hop.operation, self.world, hop.server.address
        hops = self.hops[id(op)]
        assert id(op) in self.owed and world.now < op.ends_us, "rule 1: a hop for what has its answer"
        live = [each for each in hops if not (each.ended and each.ended.never_ran)]
        if op.category.repeat is Repeat.UNREPEATABLE:
            assert not live, "rule 2: an unrepeatable operation sent twice"
        if op.category.repeat is Repeat.DEDUPLICATED and live:
            first, zone = live[0], world.entries[name].zone
            assert zone == world.entries[first.name].zone, "rule 2: sent outside the group"
            assert world.now <= first.sent + op.category.remembered_us, "rule 2: sent after it is forgotten"
        assert world.second_copies or all(each.ended for each in hops), "two hops out at once"
        state, since = self.told.get(name, (Listed.READY, 0))
        assert state is Listed.READY or world.now <= since + DUTIES.drain_grace_us, "rule 3"
        if not hops and op.plan.ceiling_rate:
            store = world.stores.setdefault(op.customer, [op.plan.ceiling_burst, world.now])
            filled = store[0] + op.plan.ceiling_rate * (world.now - store[1]) / SECOND
            store[:] = min(op.plan.ceiling_burst, filled) - op.units, world.now
            assert store[0] >= -op.plan.ceiling_slack, "rule 5"
        sent = Sent(hop, name, world.now)
        hops.append(sent)
        world.ran.append(sent)
        outcome, after = world.chance()
        if outcome is None or after > op.ends_us - world.now:
            outcome, after = Outcome.TIMED_OUT, op.ends_us - world.now
        world.at(after, self.land, op, sent, outcome)

    def land(self, op, sent, outcome):
        if sent.ended is not None:
            return
        sent.ended = outcome
        closed = outcome is Outcome.OK or id(op) not in self.owed
        report = Report(outcome, self.world.now - sent.sent, closed)
        self.module.landed(sent.hop, report)
        if id(op) in self.owed:
            if closed:
                del self.owed[id(op)]
                self.world.answers.append((op, Outcome.OK, self.world.now))
            self.engine.landed(sent.hop, report)

    def cancel(self, hop):
        for sent in self.hops[id(hop.operation)]:
            if sent.hop is hop:
                self.world.at(2_000, self.land, hop.operation, sent, Outcome.CANCELLED)

    def answer(self, op, answer):
        assert self.owed.pop(id(op), None) is op, "rule 1: a second final answer"
        live = [each for each in self.hops[id(op)] if not (each.ended and each.ended.never_ran)]
        if answer.verdict is Verdict.TURN_BACK and live:
            assert op.category.repeat is Repeat.IDEMPOTENT, "rule 2: turned back what may have run"
        self.world.answers.append((op, answer, self.world.now))

    def overdue(self, op):
        assert id(op) not in self.owed, "rule 1: no final answer in time"

    def leave(self, op):
        """The client goes early."""
        if self.owed.pop(id(op), None) is not None:
            op.over = True
            self.engine.told(op, Word.GONE)

    def add(self, task, add):
        world = self.world
        assert abs(add.amount) <= 1e9, "more than the counter takes"
        if world.silent:
            world.at(30_000, self.counted, task, Total(Tally.SILENT))
            return
        world.counts[add.name] = world.counts.get(add.name, 0.0) + add.amount
        total = Total(Tally.ADDED, world.counts[add.name])
        if world.random.random() < world.lossy:
            total = Total(Tally.SILENT)
        world.at(world.random.randrange(800, 4_000), self.counted, task, total)

    def counted(self, task, total):
        self.engine.added(task, total)

    def say(self, text):
        self.said.append(text)

    def wake_at(self, when_us):
        self.world.at(when_us - self.world.now, self.tick)

    def tick(self):
        self.engine.time(ticked=True)


class Sent:
    """A hop as the world saw it."""

    def __init__(self, hop, name, sent):
        self.hop, self.name, self.sent, self.ended = hop, name, sent, None


# ---- stand-ins on loopback, from the operators' protocol


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


class Site:
    """One limiter on loopback among stand-ins for all that it talks to."""

    def __init__(self, servers=2, sockets=1024):
        self.backends = [Backend() for _ in range(servers)]
        self.till, self.sockets = Till(), sockets

    async def __aenter__(self):
        for each in (*self.backends, self.till):
            await each.open()
        self.agent = await Agent(
            [
                {
                    "instanceId": f"s{i}",
                    "hostPort": f"127.0.0.1:{each.port}",
                    "zone": "z",
                    "cell": 1,
                    "lifecycle": "in_service",
                    "weight": 1.0,
                    "startedAtMs": 0,
                }
                for i, each in enumerate(self.backends)
            ]
        ).open()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.service = Service(self.told())
        self.run = asyncio.create_task(self.service.run())
        while (await self.ask(path="/up"))[0] != 200:
            pass
        return self

    async def __aexit__(self, *_):
        self.run.cancel()
        await asyncio.wait([self.run])
        for each in (*self.backends, self.till, self.agent):
            each.close()

    def told(self):
        kinds = [("look", "repeatable"), ("file", "by_key"), ("burn", "once")]
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": "8c1f30d27a5be964",
            "counter": f"127.0.0.1:{self.till.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": self.agent.told(),
            "settings": {
                "SelfIndex": 0,
                "NInstances": 1,
                "Zone": "z",
                "Zones": ["z"],
                "RequestClasses": [
                    {
                        "Name": name,
                        "Idempotency": repeat,
                        "Aim": 400.0,
                        "Deadline": 1000.0,
                        "Worth": 1.0,
                        "Group": "all",
                        "KeyTtl": 4000.0,
                    }
                    for name, repeat in kinds
                ],
                "TiersOfService": [
                    {"Name": "wide", "UnitsPerS": 500, "Burst": 900},
                    {"Name": "none", "UnitsPerS": 0.1, "Burst": 1},
                ],
                "Ceilings": {
                    "AttemptsCap": 4,
                    "Cancel": True,
                    "ParallelTries": True,
                    "RetryAfter": True,
                    "MaxRetryAfter": 500.0,
                    "DialTimeout": 100.0,
                    "Keepalive": 30000.0,
                },
                "Rules": {
                    "DrainGrace": 250.0,
                    "Cold": 5000.0,
                    "ColdFrom": 0.3,
                    "Fall": 1000.0,
                    "FallMultiple": 4.0,
                },
                "Specifics": {"SharedCounter": True, "CountLimit": 30.0, "UnitsTop": 6},
            },
        }

    async def connect(self):
        while True:
            with contextlib.suppress(OSError):
                return await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(0.01)

    def request(self, kind="look", number="1", body=b"", path="/api?q=1", timeout="0.800", **more):
        headers = {
            "Host": "api.internal",
            "X-Request-ID": number,
            "X-Priority-Class": kind,
            "X-Plan": "wide",
            "X-Customer": "00000000b4d65521",
            "X-Timeout": timeout,
            "X-Quota": "units=2,spread=1,first=0",
        }
        if kind == "file":
            headers["Idempotency-Key"] = "k" + number
        if kind != "look" or body:
            headers["Content-Length"] = str(len(body))
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
        return f"{'GET' if kind == 'look' else 'POST'} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body

    async def ask(self, *args, on=None, **more):
        """One request on a connection, its own if none is given; status, headers and body of the answer."""
        reader, writer = on or await self.connect()
        writer.write(self.request(*args, **more))
        first, headers, body = await heard(reader)
        if on is None:
            writer.close()
        return int(first.split(" ")[1]), headers, body

    def sent(self, number):
        """The hops of a request that came whole to servers."""
        return [seen for each in self.backends for seen in each.seen if seen[1]["x-request-id"] == number]
