"""The limiter on loopback, among stand-ins: the failures that connections meet, and the rules by chance."""

import asyncio
import contextlib
import functools
import heapq
import json
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest
from helpers import Agent, Backend, Site, Till, heard

from lapisgrade import start
from lapisgrade.interface import Add, Lines, Outcome, Tally
from lapisgrade.net import front, loop
from lapisgrade.net.counter import Counter as Calls
from lapisgrade.net.discovery import Turns
from lapisgrade.net.ending import Ending
from lapisgrade.net.events import Asked, Landed
from lapisgrade.net.hops import Pool, load_report
from lapisgrade.net.host import wall
from lapisgrade.net.log import LINES_A_SECOND, Log

SECOND = 1_000_000


def on_loopback(test):
    """Run a test that is a coroutine, for a while at most."""

    @functools.wraps(test)
    def run(**kwargs):
        run_on_loop(test(**kwargs))

    return run


def run_on_loop(work):
    with asyncio.Runner(loop_factory=loop.new) as runner:
        runner.run(asyncio.wait_for(work, 30))


async def until(true):
    while not true():
        await asyncio.sleep(0.01)


# ---- clients


@on_loopback
async def test_requests_and_answers_pass_on_unchanged():
    async with Site(servers=1) as site:
        on = await site.connect()
        body = bytes(range(256)) * 200
        for number, manner in enumerate(["well", "chunks", "early", "end", "well"]):
            site.backends[0].manner = manner
            status, _, answer = await site.ask("file", str(number), body, on=on, path="/api/a?b=c%20d")
            assert (status, answer) == (200, b"for " + body), manner
            first, headers, came, *_ = site.backends[0].seen[-1]
            assert first == "POST /api/a?b=c%20d HTTP/1.1" and came == body
            assert headers["x-request-id"] == str(number) and headers["idempotency-key"] == f"k{number}"
            assert 0.5 < float(headers["x-timeout"]) <= 0.8
        assert len(site.backends[0].writers) == 2  # "end" closed one; the others were used again


@on_loopback
async def test_a_request_may_come_in_pieces_and_in_chunks():
    async with Site() as site:
        reader, writer = await site.connect()
        for byte in site.request("burn", "7", b"abc"):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert (await heard(reader))[2] == b"for abc"
        how = {"Content_Length": None, "Transfer_Encoding": "chunked", "Expect": "100-continue"}
        writer.write(site.request("burn", "8", **how))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        assert (await heard(reader))[2] == b"for abc"


@on_loopback
async def test_a_request_that_comes_before_its_turn_waits_for_it():
    async with Site() as site:
        reader, writer = await site.connect()
        writer.write(site.request("burn", "1", b"one") + site.request("burn", "2", b"two"))
        assert [(await heard(reader))[2] for _ in range(2)] == [b"for one", b"for two"]


@on_loopback
async def test_bad_requests_get_400_and_no_traceback(capfd):
    async with Site() as site:
        for bad in [
            {"X_Plan": "other"},
            {"X_Plan": None},
            {"X_Customer": "zz"},
            {"X_Timeout": "soon"},
            {"X_Timeout": "-1"},
            {"X_Timeout": "1e400"},
            {"X_Quota": "units=0"},
            {"X_Quota": "units=x"},
            {"X_Quota": "spread=1e9"},
            {"X_Quota": "units=7,spread=1,first=0"},
            {"X_Timeout": "1e300"},
            {"X_Quota": "units=1,spread=2,first=0"},
            {"X_Quota": "units=1,spread=1,first=1"},
            {"X_Quota": "units=1,spread=0,first=0"},
            {"X_Customer": "00000002b4d65521"},
            {"kind": "look", "body": b"x"},
            {"X_Quota": "units=nan,spread=1,first=0"},
            {"X_Request_ID": "a b"},
            {"X_Priority_Class": "look"},
            {"X_Priority_Class": "none"},
            {"X_Request_ID": None},
            {"X_Customer": "\xff" * 8},
            {"Content_Length": "many"},
            {"Host": None},
            {"bad header": "1"},
            {"kind": "file", "Idempotency_Key": None},
        ]:
            status, headers, _ = await site.ask(**{"kind": "burn", **bad})
            assert status == 400 and headers["connection"] == "close", bad
        assert (await site.ask("burn", body=bytes(70_000)))[0] == 413
        assert (await site.ask(timeout="900000.0"))[0] == 200  # no longer than the hard stop
        hidden = site.request("burn", "hidden", b"x")
        for bad in [
            {"Transfer_Encoding": "chunked", "Content_Length": str(len(hidden) + 5)},
            {"Content_Length": "60000000"},
            {"Content_Length": "-5"},
        ]:
            reader, writer = await site.connect()
            writer.write(site.request("burn", "outer", **bad) + b"0\r\n\r\n" + hidden)
            assert (await reader.readuntil(b"\r\n"))[9:12] in (b"400", b"413"), bad
            await reader.read()
        assert not site.sent("outer") and not site.sent("hidden")
        reader, writer = await site.connect()
        writer.write(b"\x16\x03\x01\x02\r\n\r\n")
        assert (await heard(reader))[0].startswith("HTTP/1.1 400")
        assert len(site.sent("1")) == 1 and not site.service.counts["faults"]
    assert "Traceback" not in capfd.readouterr().err


@on_loopback
async def test_refusals_say_when_to_come_back():
    async with Site() as site:
        answers = [await site.ask(number=str(i), X_Plan="none") for i in range(3)]
        status, headers, _ = answers[-1]
        assert status == 429 and 0 < float(headers["retry-after"]) <= 0.5 and not site.sent("2")


@on_loopback
async def test_a_client_that_goes_takes_its_hops_along():
    async with Site(servers=1) as site:
        site.backends[0].manner = "silent"
        _, writer = await site.connect()
        writer.write(site.request("burn", "5"))
        await until(lambda: site.sent("5"))
        writer.close()
        await until(lambda: site.service.counts["operations whose client left"] == 1)
        await until(lambda: site.service.counts["hops called off"] == 1)
        assert not site.service.host.owed


@on_loopback
async def test_idle_clients_make_room_and_busy_ones_keep_theirs():
    async with Site(sockets=16) as site:
        kept = [await site.connect() for _ in range(8)]
        await site.ask(path="/up", on=kept[0])  # the one used last is the last to go
        await asyncio.sleep(front.SURELY)
        more = [await site.connect() for _ in range(4)]
        assert [await reader.read(1) for reader, _ in kept[1:5]] == [b""] * 4
        left = [kept[0], *kept[5:], *more]
        for each in site.backends:
            each.manner = 0.3
        site.service.host.module.fleet.bound = 99.0
        site.service.host.pool.most = 8
        for i, (_, writer) in enumerate(left):
            writer.write(site.request("burn", f"{i}"))
        await until(lambda: len(site.service.host.owed) == 8)
        assert (await site.ask("burn", "over"))[0] == 503 and not site.sent("over")
        for reader, _ in left:
            assert (await heard(reader))[0].startswith("HTTP/1.1 200")


@on_loopback
async def test_connections_that_ask_nothing_end_and_others_stay():
    async with Site() as site:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(front.Front, "ask", 0.4)
            patch.setattr(front.Front, "rest", 1.0)
            silent, half, slow, asked = [await site.connect() for _ in range(4)]
            half[1].write(site.request()[:40])
            for each in site.backends:
                each.manner = 0.5
            busy = asyncio.create_task(site.ask("burn", "1", on=slow))
            assert (await site.ask(path="/up", on=asked))[0] == 200
            assert await silent[0].read() == b""
            assert (await heard(half[0]))[0].startswith("HTTP/1.1 408")
            assert (await busy)[0] == 200  # longer than either, but something is owed
            assert (await site.ask(path="/up", on=asked))[0] == 200
            assert await asked[0].read() == b"" and not site.service._front.clients


@on_loopback
async def test_connections_at_rest_leave_room_for_those_that_ask():
    """Found in an incident: clients that asked once and stayed held all that clients may hold."""
    async with Site(sockets=64) as site:  # 32 for clients, a quarter of them at rest
        kept = [await site.connect() for _ in range(24)]
        for on in kept:
            assert (await site.ask(path="/up", on=on))[0] == 200
        await asyncio.sleep(front.SURELY + 2 * front.LOOK + 0.1)
        assert len(site.service._front.idle) == 8
        assert [await reader.read(1) for reader, _ in kept[:16]] == [b""] * 16
        assert [(await site.ask(path="/up", on=on))[0] for on in kept[16:]] == [200] * 8


@on_loopback
async def test_an_id_that_is_open_is_not_sent_again():
    async with Site() as site:
        for each in site.backends:
            each.manner = 0.2
        first = asyncio.create_task(site.ask("burn", "same"))
        await until(lambda: site.sent("same"))
        assert (await site.ask("burn", "same"))[0] == 409
        assert (await first)[0] == 200 and len(site.sent("same")) == 1
        assert (await site.ask("burn", "same"))[0] == 200


@on_loopback
async def test_what_a_server_can_not_use_goes_to_no_other_and_is_not_held_against_it():
    async with Site() as site:
        for each in site.backends:
            each.manner = "rejected"
        assert [(await site.ask(kind, kind))[0] for kind in ("look", "file", "burn")] == [400] * 3
        assert [len(site.sent(kind)) for kind in ("look", "file", "burn")] == [1] * 3
        fleet = site.service.host.module.fleet
        assert not fleet.out and all(each.health(0, 1.0) == 1.0 for each in fleet.servers.values())


@on_loopback
async def test_requests_by_the_hundred_on_one_connection_and_a_client_that_does_not_read():
    async with Site() as site:
        reader, writer = await site.connect()
        writer.write(site.request(path="/up") * 400)
        for _ in range(400):
            assert (await heard(reader))[0].startswith("HTTP/1.1 200")
        with socket.socket() as deaf:
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            deaf.connect(("127.0.0.1", site.port))
            deaf.setblocking(False)
            with contextlib.suppress(ConnectionError):
                for i in range(200):
                    asked = site.request("burn", f"{i}", bytes(60_000))
                    await asyncio.get_running_loop().sock_sendall(deaf, asked)
                    await until(lambda i=i: site.sent(f"{i}") or site.service.counts["clients overdue"])
                    await until(lambda: not site.service.host.owed)
        assert site.service.counts["clients overdue"] == 1 and not site.sent("199")


# ---- the end of a limiter


@on_loopback
async def test_what_is_owed_at_the_end_is_answered():
    async with Site() as site:
        for each in site.backends:
            each.manner = 0.6
        idle, busy = await site.connect(), await site.connect()
        asked = asyncio.create_task(site.ask("burn", "1", on=busy))
        await asyncio.sleep(0.05)
        site.service.end()
        await asyncio.sleep(0.1)
        late = asyncio.create_task(site.ask("burn", "2"))  # still comes, on a new connection
        silent = await site.connect()  # and asks nothing: it is not waited for

        async def insist():  # one that never stops to ask whether it is up, on a new connection each time
            seen = set()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                    writer.write(site.request(path="/up"))
                    seen.add((await heard(reader))[0].split(" ")[1])
            return seen

        insisting = asyncio.create_task(insist())
        assert (await site.ask("look", "3", on=idle, timeout="0.1"))[0] == 502  # or on one that was kept
        assert (await asked)[0] == 200
        assert (await late)[0] == 200
        assert (await late)[1]["connection"] == "close" and await idle[0].read() == b""
        await asyncio.wait_for(site.run, 1)
        assert await insisting == {"503"}
        assert await silent[0].read() == b""
        ends = {name: n for name, n in site.service.counts.items() if name.startswith("clients ")}
        # The others by their answers, or as idle.
        assert ends["clients answered"] >= 2 and ends["clients idle"] >= 2


def test_as_a_process_it_says_what_is_wrong_and_prints_its_counters(tmp_path):
    told = tmp_path / "config.json"

    def run():
        return subprocess.Popen(
            [sys.executable, "-m", "lapisgrade"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "ROUTER_CONFIG": str(told)},
        )

    for text, words in [("{", "the configuration: "), ('{"name": 3}', "name is"), ("[]", "not an object")]:
        told.write_text(text)
        process = run()
        _, said = process.communicate(timeout=20)
        assert process.returncode == 2 and words in said and said.count("\n") == 1
    site = Site()
    site.agent = SimpleNamespace(port=1, told=lambda: {"generation": 1, "reset": True, "instances": []})
    site.till.port = 1
    site.port = Random(os.getpid()).randrange(20_000, 30_000)
    told.write_text(json.dumps(site.told()))
    process = run()

    async def ask():
        return (await site.ask(path="/up"))[0], (await site.ask())[0]

    assert asyncio.run(asyncio.wait_for(ask(), 10)) == (200, 429)  # no server is known
    for text in ["{", json.dumps({**site.told(), "counter": "nowhere"}), json.dumps(site.told())]:
        told.write_text(text)
        process.send_signal(signal.SIGHUP)
        assert asyncio.run(asyncio.wait_for(ask(), 10)) == (200, 429)
    process.send_signal(signal.SIGTERM)
    _, said = process.communicate(timeout=5)
    assert process.returncode == 0 and "operations 4" in said and "answered 429 4" in said
    assert said.count("goes on as before: ") == 2 and "reloads 1" in said
    assert "told to end by SIGTERM" in said


@on_loopback
async def test_a_new_configuration_moves_discovery_and_counter_under_open_work():
    async with Site() as site:
        pool, rows = site.service.host.pool, site.agent.rows
        agent, till = await Agent(rows).open(), await Till().open()
        with pytest.raises(start.Malformed):
            site.service.reload({**site.told(), "counter": 7})
        site.service.reload({**site.told(), "discovery": "127.0.0.1:1"})  # nobody listens there yet
        site.agent.change(s0="terminating")
        await until(lambda: list(pool.addresses) == ["s1"])  # so the one before is still followed
        site.till.manner = site.backends[1].manner = 0.02
        early = [asyncio.create_task(site.ask("burn", f"early-{i}")) for i in range(4)]
        await until(lambda: site.till.seen)
        site.service.reload(
            {**site.told(), "discovery": f"127.0.0.1:{agent.port}", "counter": f"127.0.0.1:{till.port}"}
        )
        for each in (site.agent, site.till):
            each.server.close()  # takes no new connections; open ones stay
        assert [(await each)[0] for each in early] == [200] * 4
        assert site.service.counts["counter calls answered"] >= 1
        await until(lambda: agent.calls)
        assert agent.calls[0][0] == "/discovery/hosts"
        agent.change(s0="in_service", s1="terminated")
        await until(lambda: list(pool.addresses) == ["s0"])
        before = len(site.till.seen)
        site.agent.shut()
        site.till.shut()
        assert (await site.ask("burn", "after", X_Customer="0" * 16))[0] == 200
        assert len(site.till.seen) == before and till.seen and len(site.sent("after")) == 1
        agent.close()
        till.close()


# ---- hops


class Hop:
    """A hop as the pool needs it."""

    def __init__(self, now, body=b"x", server="s", lasts=0.5):
        asked = Asked(object(), b"POST", b"/api", b"h", b"1", None, [body])
        self.operation = SimpleNamespace(handle=asked, ends_us=now() + int(lasts * SECOND))
        self.server, self.sent = SimpleNamespace(address=server), now()


def pool(port, dial=1.0, idle=30.0):
    landed, now = asyncio.Queue(), wall()
    lines = Lines(int(dial * SECOND), int(idle * SECOND))
    made = Pool(landed.put_nowait, now, lambda text: None, Counter(), lines, 4)
    made.known({"s": ("127.0.0.1", port)})
    return made, landed, now


@on_loopback
async def test_each_ending_of_a_hop_is_told_for_what_it_is():
    backend = await Backend().open()
    made, landed, now = pool(backend.port)
    for manner, ending, outcome in [
        ("well", Ending.ANSWERED, Outcome.OK),
        ("error", Ending.ERRED, Outcome.ERROR),
        ("full", Ending.TURNED_AWAY, Outcome.FULL),
        ("rejected", Ending.REJECTED, Outcome.REJECTED),
        ("plain 503", Ending.ERRED, Outcome.ERROR),
        ("noise", Ending.GARBLED, Outcome.ERROR),
        ("short", Ending.BROKEN, Outcome.BROKEN),
        ("close", Ending.BROKEN, Outcome.BROKEN),
        ("silent", Ending.OVERDUE, Outcome.TIMED_OUT),
    ]:
        backend.manner = manner
        made.send(Hop(now))
        event: Landed = await landed.get()
        assert (event.ending, event.ending.outcome) == (ending, outcome), manner
        assert not outcome.never_ran or manner == "full"
    backend.manner = "load"
    made.send(Hop(now))
    assert load_report((await landed.get()).message) == {"inflight": 7.0, "util": 0.5}
    backend.manner = "silent"
    hop = Hop(now)
    made.send(hop)
    await asyncio.sleep(0.05)
    made.cancel(hop)
    assert (await landed.get()).ending is Ending.CALLED_OFF
    backend.close()
    made.send(Hop(now))
    assert (await landed.get()).ending.outcome is Outcome.NO_CONNECTION
    made.send(Hop(now, server="unknown"))
    assert (await landed.get()).ending.outcome is Outcome.NEVER_SENT


@on_loopback
async def test_a_connection_that_never_comes_up_has_run_nothing():
    async def nobody():
        await asyncio.sleep(30)

    made, landed, now = pool(1, dial=0.1)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("lapisgrade.net.hops.connect", lambda *_: nobody())
        made.send(Hop(now))
        assert (await landed.get()).ending is Ending.NEVER_UP
        hop = Hop(now)
        made.send(hop)
        made.cancel(hop)
        assert (await landed.get()).ending is Ending.WITHHELD


@on_loopback
async def test_nothing_is_written_for_what_has_its_answer_or_to_a_server_that_leaves():
    backend = await Backend().open()
    made, landed, now = pool(backend.port)
    over, leaving = Hop(now), Hop(now)
    made.send(over)
    over.operation.handle.client = None
    assert (await landed.get()).ending is Ending.WITHHELD
    made.send(leaving)
    made.known({"s": None})
    assert (await landed.get()).ending is Ending.WITHHELD and not backend.seen
    backend.close()


@on_loopback
async def test_a_connection_is_closed_by_us_before_the_server_does():
    """What is written to a connection that the server has closed may have run, for all that we know."""
    backend = await Backend().open()
    made, landed, now = pool(backend.port, idle=1.6)
    for wait, connections in [(0.0, 1), (0.0, 1), (0.65, 2)]:
        await asyncio.sleep(wait)
        made.send(Hop(now))
        assert (await landed.get()).ending is Ending.ANSWERED
        assert made.counts["server connections"] == connections
    await until(backend.writers[0].is_closing)  # by us, with nothing more to send
    backend.shut()
    await asyncio.sleep(0)  # it is closed, and its end is not yet read
    made.send(Hop(now))
    assert (await landed.get()).ending is Ending.ANSWERED and made.counts["server connections"] == 3
    backend.close()


@on_loopback
async def test_a_second_answer_that_comes_later_is_nobodys():
    """It lies read by asyncio, but not by us, when the connection is wanted for the next hop."""
    backend = await Backend().open()
    made, landed, now = pool(backend.port)
    made.send(Hop(now))
    assert (await landed.get()).ending is Ending.ANSWERED
    backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfor ")
    link = made._idle["s"][0]
    for _ in range(1000):
        if link._reader.unread or not made._idle["s"]:
            break
        await asyncio.sleep(0)
    made.send(Hop(now, body=b"two"))
    event = await landed.get()
    assert event.ending is Ending.ANSWERED and b"".join(event.message.body) == b"for two"
    assert made.counts["server connections"] == 2
    backend.close()


@on_loopback
async def test_an_address_passed_on_is_the_new_servers_alone_and_the_old_one_is_forgotten():
    backend = await Backend().open()
    made, landed, now = pool(backend.port)
    made.send(Hop(now))
    assert (await landed.get()).ending is Ending.ANSWERED
    made.known({"new": ("127.0.0.1", backend.port)})  # before the old one is told to be gone
    made.send(Hop(now))
    assert (await landed.get()).ending is Ending.WITHHELD
    made.send(Hop(now, server="new"))
    assert (await landed.get()).ending is Ending.ANSWERED and made.counts["server connections"] == 2
    assert list(made.addresses) == list(made.heard) == list(made._idle) == ["new"]
    backend.close()


@on_loopback
async def test_a_silent_server_must_take_a_new_connection_first():
    backend = await Backend(0.1).open()
    made, landed, now = pool(backend.port, dial=0.15)
    for _ in range(2):
        made.send(Hop(now))
    assert {(await landed.get()).ending for _ in range(2)} == {Ending.ANSWERED}
    backend.manner = "silent"
    made.send(Hop(now, lasts=0.2))
    assert (await landed.get()).ending is Ending.OVERDUE
    backend.manner = "well"
    made.send(Hop(now))
    assert (await landed.get()).ending is Ending.ANSWERED and made.counts["server connections"] == 3
    backend.close()


@on_loopback
async def test_what_came_while_we_slept_is_not_overdue():
    async with Site() as site:
        got, landed = asyncio.Queue(), asyncio.Queue()
        address = ("127.0.0.1", site.till.port)
        calls = Calls(got.put_nowait, lambda text: None, Counter(), address, 100_000, 100_000)
        made, landed, now = pool(site.backends[0].port)
        for _ in range(2):  # the first ones open the connections
            calls.add(SimpleNamespace(), Add(7, 1.0, 45_000_000))
            made.send(Hop(now, lasts=0.2))
            assert (await got.get()).ending is Ending.ANSWERED
            assert (await landed.get()).ending is Ending.ANSWERED
        site.till.asleep = site.backends[0].asleep = 0.4  # each answers, and we do not look for so long
        calls.add(SimpleNamespace(), Add(7, 1.0, 45_000_000))
        assert (await got.get()).ending is Ending.ANSWERED
        made.send(Hop(now, lasts=0.2))
        assert (await landed.get()).ending is Ending.ANSWERED


@on_loopback
async def test_a_request_half_written_has_not_run():
    """A server that stops reading and dies: the last byte never left this machine."""

    async def deaf(reader, writer):
        reader._transport.pause_reading()
        await asyncio.sleep(0.2)
        writer.transport.abort()

    server = await asyncio.start_server(deaf, "127.0.0.1", 0, limit=1024)
    made, landed, now = pool(server.sockets[0].getsockname()[1])
    made.send(Hop(now, body=bytes(30_000_000)))
    event = await landed.get()
    assert event.ending is Ending.UNWRITTEN and event.ending.outcome.never_ran
    server.close()


@on_loopback
async def test_the_pool_keeps_within_its_connections():
    parties = [await Backend(0.1).open() for _ in range(5)]
    made, landed, now = pool(1)
    made.known({f"s{i}": ("127.0.0.1", each.port) for i, each in enumerate(parties)})
    for i in range(5):
        made.send(Hop(now, server=f"s{i}"))
    endings = [(await landed.get()).ending for _ in range(5)]
    assert endings.count(Ending.WITHHELD) == 1 and endings.count(Ending.ANSWERED) == 4
    made.send(Hop(now, server="s4"))  # the one idle for longest makes room
    assert (await landed.get()).ending is Ending.ANSWERED
    for each in parties:
        each.close()


@on_loopback
async def test_an_operation_that_may_have_run_is_not_sent_again_by_itself():
    async with Site() as site:
        for each in site.backends:
            each.manner = "close"
        assert (await site.ask("burn", "9"))[0] == 502 and len(site.sent("9")) == 1


# ---- the counter


@on_loopback
async def test_each_ending_of_a_call_and_no_answer_for_another():
    """An answer that comes too late is not taken for the next call's."""
    async with Site() as site:
        got = asyncio.Queue()
        address = ("127.0.0.1", site.till.port)
        calls = Calls(got.put_nowait, lambda text: None, Counter(), address, 250_000, 100_000)

        async def tell(amount, manner):
            site.till.manner = manner
            calls.add(SimpleNamespace(), Add(7, amount, 45_000_000))
            event = await got.get()
            return event.ending.tally, event.total

        assert await tell(2.0, "well") == (Tally.ADDED, 2.0)
        assert site.till.seen[-1] == [b"INCRTTL", b"7", b"2.000000", b"45000"]
        assert await tell(1.0, "busy") == (Tally.TURNED_AWAY, 0.0)
        assert await tell(3.0, 0.4) == (Tally.SILENT, 0.0)
        await asyncio.sleep(0.2)
        assert await tell(-1.0, "well") == (Tally.ADDED, 4.0)
        assert await tell(1.0, "close") == (Tally.SILENT, 0.0)
        assert await tell(1.0, "silent") == (Tally.SILENT, 0.0)
        assert await tell(1.0, "well") == (Tally.ADDED, 5.0)  # on a new connection
        for spoilt in [
            b"$3\r\nnan\r\n",
            b"$4\r\n1e99",
            b"$4\r\nmany\r\n",
            b"$9999999\r\n",
            b":5\r\n",
            b"\r\n",
            b"$1\r\n55\r\n",
            b"$-1\r\n",
            b"-" + bytes(999),
        ]:
            assert await tell(1.0, spoilt) == (Tally.SILENT, 0.0)
        site.till.close()
        await asyncio.sleep(0.01)
        assert await tell(1.0, "well") == (Tally.TURNED_AWAY, 0.0)


# ---- discovery


@on_loopback
async def test_the_watch_goes_on_and_a_server_that_leaves_gets_nothing_new():
    async with Site() as site:
        await asyncio.sleep(0.7)
        paths = [path for path, _ in site.agent.calls]
        assert len(paths) >= 3 and all("since=3&timeout_ms=4000" in path for path in paths)
        site.agent.change(s0="terminating")
        await until(lambda: list(site.service.host.pool.addresses) == ["s1"])
        for i in range(20):
            assert (await site.ask("burn", str(i)))[0] == 200
        assert len(site.backends[0].seen) == 0 and len(site.backends[1].seen) == 20
        site.agent.change(s0="in_service", s1="terminated")
        await until(lambda: list(site.service.host.pool.addresses) == ["s0"])
        assert (await site.ask("burn", "back"))[0] == 200 and len(site.backends[0].seen) == 1
        before = len(site.agent.calls)
        site.agent.shut()
        await asyncio.sleep(0.18)
        assert len(site.agent.calls) > before  # within 200 ms
        site.agent.manner, before = "hasty", len(site.agent.calls)
        await until(lambda: len(site.agent.calls) > before + 4)
        times = [when for _, when in site.agent.calls[-4:]]
        assert 0.25 < times[-1] - times[0] < 0.6  # each within 200 ms, and no more often than it takes


def test_callers_of_a_crowded_discovery_all_get_through():
    """Found on sockets at size: of 40 limiters that came back at once, most never heard of a server again."""
    now, free, due, told = 0.0, 0.0, [], {}
    turns = {i: Turns(Random(i), 40) for i in range(40)}
    for i in turns:
        heapq.heappush(due, (0.0, i))  # all are started at once, and ask at once
    calls = 0
    while due:
        now, i = heapq.heappop(due)
        assert now < 40, "some are never served"
        calls += 1
        waits = max(0.0, free - now)
        free = max(now, free) + (1 / 8 if waits < 2.2 else 0)  # it works on those too who wait no longer
        if waits < 2:
            told[i] = now + waits
        else:
            heapq.heappush(due, (now + min(waits, 2.0) + turns[i].turned_away(), i))
    assert len(told) == 40 and max(told.values()) < 20 and calls < 100


@on_loopback
async def test_an_agent_that_turns_away_is_asked_less_and_less():
    async with Site() as site:
        site.agent.manner = "busy"
        await asyncio.sleep(1.0)
        before = len(site.agent.calls)
        await asyncio.sleep(1.0)
        assert len(site.agent.calls) - before <= 5  # ten if it came back at once
        site.agent.manner = "well"
        site.agent.change(s0="terminating")
        await until(lambda: "s0" not in site.service.host.pool.addresses)


# ---- by chance


@pytest.mark.parametrize("seed", range(3))
def test_rules_hold_on_sockets_under_chance(seed):
    run_on_loop(chance(Random(seed)))


async def chance(random):
    async with Site(servers=4) as site:
        time, done = asyncio.get_running_loop().time, {}
        ways = ["well"] * 6 + [0.05, 0.2, "error", "full", "close", "short", "noise", "silent", "chunks"]
        for each in site.backends:
            each.manner = lambda: random.choice(ways)
        site.till.manner = lambda: random.choice(["well"] * 6 + [0.04, "busy", "close"])

        async def client(name):
            on = None
            for turn in range(14):
                number, kind = f"{name}-{turn}", random.choice(["look", "file", "burn"])
                on = on or await site.connect()
                started, time_out = time(), random.choice([0.1, 0.5, 0.9])

                async def ask(*args, **more):
                    return *await site.ask(*args, **more), time()

                asking = asyncio.create_task(ask(kind, number, on=on, timeout=str(time_out)))
                if random.random() < 0.1:
                    await asyncio.sleep(random.random() * 0.2)
                    if not asking.done():
                        asking.cancel()
                        on[1].transport.abort()
                        on, done[number] = None, (kind, None, time())
                        continue
                status, headers, body, ended = await asyncio.wait_for(asking, 5)
                assert ended - started < time_out + 0.3, "rule 1: answered late"
                done[number] = kind, status, ended
                assert status in (200, 429, 502) and body == (b"for " if status == 200 else b"")
                if "connection" in headers:
                    on = None

        async def trouble():
            for _ in range(25):
                await asyncio.sleep(random.random() * 0.15)
                party = random.choice([*site.backends, site.till, site.agent])
                party.shut()
                if random.random() < 0.3:
                    states = ["in_service", "in_service", "terminating"]
                    site.agent.change(**{f"s{random.randrange(4)}": random.choice(states)})

        await asyncio.gather(trouble(), *(client(str(i)) for i in range(12)))
        for number, (kind, status, ended) in done.items():
            hops = site.sent(number)
            assert all(hop[3] < ended + 0.3 for hop in hops), "rule 1: sent after its answer"
            may_have_run = [hop for hop in hops if hop[4] != "full"]
            if kind == "burn":
                assert len(may_have_run) <= 1 and not (status == 429 and may_have_run), "rule 2"
        statuses = Counter(status for _, status, _ in done.values())
        assert statuses[200] > 60 and len(done) == 12 * 14
        assert not site.service.host.owed and not site.service.counts["faults"]


# ---- what is read at start, and said


def test_settings_read_the_same_from_a_line_and_from_a_tree():
    site = Site()
    site.port, site.agent = 1, SimpleNamespace(port=1, told=lambda: {})
    tree = start.flat(site.told()["settings"])
    line = start.Fields(
        {name: str(value).lower() if value in (True, False) else str(value) for name, value in tree.items()}
    )
    for read in (start.categories, start.plans, start.duties, start.leave, start.desk, start.lines):
        assert read(tree) == read(line)
    assert [each.name for each in start.categories(tree)] == ["look", "file", "burn"]
    with pytest.raises(start.Malformed):
        start.lines(start.flat({"Ceilings": {"DialTimeout": "soon"}}))


def test_lines_are_so_many_a_second(capfd, monkeypatch):
    now = [5.0]
    monkeypatch.setattr("lapisgrade.net.log.time.monotonic", lambda: now[0])
    log = Log("n0")
    for i in range(LINES_A_SECOND + 7):
        log.say(f"line {i}")
    now[0] = 6.0
    log.say("after")
    said = capfd.readouterr().err.splitlines()
    assert len(said) == LINES_A_SECOND + 2 and "7 lines left out" in said[-2]
