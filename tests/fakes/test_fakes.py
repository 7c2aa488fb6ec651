"""The stand-ins, the load tool and the demo on loopback: each fault they are for, caused on purpose."""

import asyncio
import json
import os
import signal

import pytest
from click.testing import CliRunner

from lapisgrade.cli import demo
from lapisgrade.cli.main import cli
from lapisgrade.lab.load import client, schedule
from lapisgrade.fakes import counter, discovery, servers, site
from lapisgrade.fakes.listener import Listener
from lapisgrade.fakes.site import Plan, sample

SECOND = 1_000_000
MIX = schedule.mix_of(sample()["settings"])


def run(work, seconds=60):
    return asyncio.run(asyncio.wait_for(work, seconds))


async def call(port, *calls):
    """Raw RESP2 calls, pipelined on one connection; the raw bytes that came back, until they stop."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for words in calls:
        writer.write(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))
    heard = b""
    while heard.count(b"\r\n") < len(calls):
        chunk = await asyncio.wait_for(reader.read(4096), 2)
        if not chunk:
            break
        heard += chunk
    writer.transport.abort()
    return heard


# ---- counter


def test_a_count_lives_from_its_first_addition_and_starts_again_after():
    store = counter.Store()
    assert store.add(b"c1", 2.5, 1000, 10.0) == 2.5
    assert store.add(b"c1", -1.0, 99_000, 10.9) == 1.5  # a later life does not lengthen the first
    assert store.add(b"c1", 1.0, 1000, 11.0) == 1.0
    assert store.add(b"c2", 1.0, 10**9, 0.0) == 1.0 and store.counts[b"c2"].until_s == 60.0
    assert store.forget(61.0) == 2 and not store.counts


def test_the_counter_adds_turns_away_and_refuses_what_it_does_not_know():
    async def go():
        till = await counter.Counter().open()
        heard = await call(
            till.port,
            [b"INCRTTL", b"k", b"2.5", b"4000"],
            [b"INCRTTL", b"k", b"-1", b"4000"],
            [b"PING"],
            [b"SELECT", b"0"],
            [b"GET", b"k"],
            [b"INCRTTL", b"k", b"lots", b"1"],
        )
        assert (
            heard == b"$3\r\n2.5\r\n$3\r\n1.5\r\n+PONG\r\n+OK\r\n"
            b"-ERR unknown command 'GET'\r\n-ERR the amount or the life is not a number\r\n"
        )
        till.manner = counter.Manner.BUSY
        assert await call(till.port, [b"INCRTTL", b"k", b"1", b"9"]) == b"-BUSY try later\r\n"
        assert till.store.counts[b"k"].total == 1.5 and till.tally.busy == 1
        till.manner = counter.Manner.WELL
        till.restart()  # comes back empty
        assert await call(till.port, [b"INCRTTL", b"k", b"1", b"9"]) == b"$3\r\n1.0\r\n"
        await till.close()

    run(go())


def test_a_silent_counter_answers_nothing_and_one_full_holds_no_more_connections():
    async def go():
        till = await counter.Counter(most_connections=1).open()
        till.manner = counter.Manner.SILENT
        reader, writer = await asyncio.open_connection("127.0.0.1", till.port)
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(10), 0.3)
        with pytest.raises(ConnectionResetError):  # the second connection is reset
            await call(till.port, [b"PING"])
        assert till.tally.reset_connections == 1
        writer.transport.abort()
        await till.close()

    run(go())


def test_a_silent_counter_sees_its_callers_go_and_is_back_for_the_next():
    async def go():
        till = await counter.Counter(most_connections=4).open()
        till.manner = counter.Manner.SILENT
        for _ in range(3):  # ten limiters' worth of time-outs: each gives its connection up and opens another
            lines = [await asyncio.open_connection("127.0.0.1", till.port) for _ in range(4)]
            for _, writer in lines:
                writer.write(b"*1\r\n$4\r\nPING\r\n")
            await asyncio.sleep(0.02)
            for _, writer in lines:
                writer.transport.abort()
            await asyncio.sleep(0.02)
        assert till.connections == 0 and till.tally.reset_connections == 0
        reader, writer = await asyncio.open_connection("127.0.0.1", till.port)
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        await asyncio.sleep(0.02)
        till.manner = counter.Manner.WELL
        assert await call(till.port, [b"PING"]) == b"+PONG\r\n"
        writer.write(b"*1\r\n$4\r\nPING\r\n")  # the one that is owed an answer gets none for a later call
        assert await asyncio.wait_for(reader.read(10), 1.0) == b""
        await till.close()

    run(go())


def test_a_flood_of_half_calls_is_cut_off_at_a_bound():
    async def go():
        till = await counter.Counter().open()
        reader, writer = await asyncio.open_connection("127.0.0.1", till.port)
        writer.write(b"*2\r\n$%d\r\n" % (4 << 20))
        for _ in range(80):
            writer.write(b"x" * 65_536)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await writer.drain()
            await asyncio.wait_for(reader.readexactly(1), 5)
        await till.close()

    run(go())


# ---- discovery


async def get(port, target):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(size)
    writer.transport.abort()
    return int(head.split(b" ")[1]), body


def test_discovery_gives_the_list_then_watches_for_changes():
    async def go():
        agent = await discovery.Discovery().open()
        agent.put(discovery.Row("s0", "127.0.0.1:1"))
        agent.put(discovery.Row("s1", "127.0.0.1:2"))
        status, body = await get(agent.port, "/discovery/hosts")
        whole = json.loads(body)
        assert status == 200 and whole["reset"]
        assert [row["instanceId"] for row in whole["instances"]] == ["s0", "s1"]
        target = f"/discovery/hosts?since={whole['generation']}&timeout_ms=5000"
        watch = asyncio.create_task(get(agent.port, target))
        await asyncio.sleep(0.1)
        assert not watch.done()  # nothing new yet: the watch waits
        agent.drain("s1")
        told = json.loads((await watch)[1])
        assert told["reset"] is False and told["instances"][0]["lifecycle"] == "terminating"
        quiet = await get(agent.port, f"/discovery/hosts?since={told['generation']}&timeout_ms=50")
        assert json.loads(quiet[1])["instances"] == []
        agent.remove("s1")
        assert [r["instanceId"] for r in agent.whole()["instances"]] == ["s0"]
        assert (await get(agent.port, "/discovery/hosts?since=x"))[0] == 400
        assert (await get(agent.port, "/elsewhere"))[0] == 404
        await agent.close()

    run(go())


# ---- servers


async def ask(port, number="1", path="/api"):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"GET {path} HTTP/1.1\r\nHost: s\r\n" + (f"X-Request-ID: {number}\r\n" if number else "") + "\r\n"
    writer.write(head.encode())
    head = await reader.readuntil(b"\r\n\r\n")
    writer.transport.abort()
    return int(head.split(b" ")[1]), head


def test_a_full_or_draining_server_turns_away_as_not_processed():
    async def go():
        knobs = servers.Knobs(capacity=2, queue=1, median_s=0.3, sigma=0.0)
        server = await servers.Server("s0", knobs, 7).open()
        answers = await asyncio.gather(*(ask(server.port, str(i)) for i in range(5)))
        statuses = sorted(status for status, _ in answers)
        assert statuses == [200, 200, 200, 503, 503]
        assert all(b"X-Not-Processed: 1" in head for status, head in answers if status == 503)
        assert server.counts.most_at_work == 2
        assert (await ask(server.port, number=None))[0] == 404
        server.drain()
        assert (await ask(server.port, "9"))[0] == 503 and len(server.counts.after_drain) == 1
        await server.kill()
        with pytest.raises(OSError):
            await ask(server.port, "10")

    run(go())


def test_a_cold_server_takes_a_share_of_its_capacity_and_warms():
    server = servers.Server("s0", servers.Knobs(capacity=10, cold_from=0.3, warm_s=10.0), 1)
    assert [server.room(server.started_s + t) for t in (0, 5, 10, 60)] == [3, 6, 10, 10]


# ---- load


def test_a_schedule_is_the_same_for_a_seed_and_keeps_its_shape():
    burst = schedule.Shape("burst", rate=20, seconds=10, peak=200, at_s=4, length_s=2)
    one, two = schedule.plan(burst, MIX, 5), schedule.plan(burst, MIX, 5)
    assert one == two and one != schedule.plan(burst, MIX, 6)
    inside = sum(4 * SECOND <= each.due_us < 6 * SECOND for each in one)
    assert 300 < inside < 500 and 100 < len(one) - inside < 220
    assert len(schedule.arrivals(schedule.Shape("constant", 50, 2), None)) == 100
    with pytest.raises(schedule.BadShape, match="not one of"):
        schedule.arrivals(schedule.Shape("wave"), None)
    with pytest.raises(schedule.BadShape, match="trace row 2"):
        schedule.from_trace([{"t_s": 0, "customer": 1, "category": "read"}, {"t_s": "soon"}], MIX)


def test_a_stall_of_one_second_shows_across_the_distribution():
    async def go():
        server = await servers.Server("s0", servers.Knobs(capacity=500, queue=500, median_s=0.002), 3).open()
        planned = schedule.plan(schedule.Shape("constant", 100, 3), MIX, 1)
        tool = client.Client([("127.0.0.1", server.port)], 1)
        asyncio.get_running_loop().call_later(1.0, server.pause, 1.0)
        tally = await tool.run(planned)
        await server.kill()
        return tally

    tally = run(go())
    latency = tally.all_latency()
    assert tally.counts["finished"] == 300 and tally.counts["lost"] == 0
    assert latency.get_value_at_percentile(99) >= 900_000
    # Those due in the first half of the stall waited half a second or more: a sixth of all.
    slow = sum(
        count
        for value, count in (
            (v.value_iterated_to, v.count_added_in_this_iter_step) for v in latency.get_recorded_iterator()
        )
        if value >= 500_000
    )
    assert slow >= 0.13 * 300
    assert tally.lag.get_value_at_percentile(99) < 100_000  # the tool itself kept to its clock


# ---- the demo and the command line


def ask_demo(seconds=3.0, leave=1.0):
    shape = schedule.Shape("poisson", rate=60, seconds=seconds)
    return demo.Ask(Plan(limiters=2, servers=3, seed=4), shape, seconds, leave, 0.25)


def test_the_demo_under_load_with_a_server_leaving_keeps_the_rules():
    said = []
    assert run(demo.run(ask_demo(), said.append)) == 0
    end = next(line for line in said if line.startswith("sent ") and "lost" in line)
    counts = dict(part.rsplit(" ", 1) for part in end.split(": ")[1].split(" in ")[0].split(", "))
    assert counts["lost"] == "0" and int(counts["finished"]) > 100
    assert sum(map(int, counts.values())) == int(end.split(":")[0].split()[1])
    assert any("s0 is gone" in line for line in said) and "RULE BROKEN" not in " ".join(said)


def test_ctrl_c_mid_load_sends_no_more_and_answers_what_is_out():
    said = []

    async def go():
        asyncio.get_running_loop().call_later(1.5, os.kill, os.getpid(), signal.SIGINT)
        return await demo.run(ask_demo(seconds=6.0, leave=None), said.append)

    assert run(go()) == 0
    end = next(line for line in said if line.startswith("sent ") and "not sent" in line)
    assert "lost 0" in end and int(end.split("not sent ")[1].split()[0]) > 100
    assert any(line.startswith("stopping") for line in said)


def test_bad_words_on_the_command_line_get_one_plain_line():
    runner = CliRunner()
    wrong = (["load", "nowhere"], ["demo", "--load", "--shape", "wave"], ["demo", "--load", "--rate", "-3"])
    for words in wrong:
        result = runner.invoke(cli, words)
        assert result.exit_code == 2 and "Traceback" not in result.output, words
        assert "Error" in result.output
    assert runner.invoke(cli, ["--help"]).exit_code == 0


def test_a_trace_in_csv_or_json_lines_is_sent_as_recorded(tmp_path):
    runner = CliRunner()
    rows = "t_s,customer,category,units\n0.0,5,read,1\n0.2,6,read,2\n"
    (tmp_path / "t.csv").write_text(rows)
    (tmp_path / "t.jsonl").write_text('{"t_s": 0.1, "customer": 5, "category": "read"}\n{"t_s": "x"}\n')
    row = {"t_s": "0.0", "customer": "5", "category": "read"}  # as csv reads it: text
    assert len(schedule.from_trace([row], MIX)) == 1
    bad = runner.invoke(cli, ["load", "127.0.0.1:9", "--trace", str(tmp_path / "t.jsonl")])
    assert bad.exit_code == 2 and "trace row 2" in bad.output
    # Nothing listens at port 9 of loopback: both operations are given up at once, none lost.
    done = runner.invoke(cli, ["load", "127.0.0.1:9", "--trace", str(tmp_path / "t.csv")])
    assert done.exit_code == 0 and "sent 2: finished 0, turned back 0, given up 2, lost 0" in done.output


def test_a_split_counter_takes_writes_in_both_halves_and_a_heal_counts_each_once():
    store = counter.Store()
    store.add(b"a", 5.0, 60_000, 0.0)
    parted = counter.split(store)
    parted.halves[0].add(b"a", 2.0, 60_000, 1.0)
    parted.halves[1].add(b"a", 3.0, 60_000, 1.0)
    parted.halves[1].add(b"b", 1.0, 60_000, 1.0)
    assert parted.halves[0].counts[b"a"].total == 7.0 and parted.halves[1].counts[b"a"].total == 8.0
    healed = counter.heal(parted)
    assert healed.counts[b"a"].total == 10.0 and healed.counts[b"b"].total == 1.0
    late = counter.split(store)  # a half whose name lived out its life and began again
    late.halves[0].add(b"a", 4.0, 1_000, 120.0)
    assert counter.heal(late).counts[b"a"].total == 9.0


def test_on_loopback_the_halves_answer_apart_then_as_one_and_a_stale_or_spoilt_counter_lies():
    async def go():
        till = await counter.Counter().open()
        assert await call(till.port, [b"INCRTTL", b"k", b"5", b"60000"]) == b"$3\r\n5.0\r\n"
        till.split()
        one = await call(till.port, [b"INCRTTL", b"k", b"1", b"60000"])
        two = await call(till.port, [b"INCRTTL", b"k", b"2", b"60000"])
        assert (one, two) == (b"$3\r\n6.0\r\n", b"$3\r\n7.0\r\n")  # each half believes itself whole
        till.heal()
        assert await call(till.port, [b"INCRTTL", b"k", b"0", b"60000"]) == b"$3\r\n8.0\r\n"
        till.turn(counter.Manner.STALE)
        assert await call(till.port, [b"INCRTTL", b"k", b"4", b"60000"]) == b"$3\r\n8.0\r\n"
        till.turn(counter.Manner.SPOILT)
        assert await call(till.port, [b"INCRTTL", b"k", b"1", b"60000"]) == b"$5\r\nfresh\r\n"
        assert till.store.counts[b"k"].total == 13.0  # lies told, but every addition was made
        await till.close()

    run(go())


def test_limiters_keep_the_rules_while_the_counter_lies_and_is_swapped():
    said, seen = [], []

    async def faults(site):
        await asyncio.sleep(0.8)
        site.counter.turn(counter.Manner.SPOILT)
        await asyncio.sleep(0.8)
        seen.append(site.counter.tally.added)
        site.counter.restart()  # an empty counter in its place, as a swap to a fresh one
        site.counter.turn(counter.Manner.WELL)

    assert run(demo.run(ask_demo(seconds=3.0, leave=None), said.append, faults)) == 0
    assert seen and seen[0] > 0 and "RULE BROKEN" not in " ".join(said)


def test_a_free_port_is_none_that_the_system_may_give_to_somebody_else_meanwhile():
    ports = [site.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    assert all(1024 <= port < site._first_own_port() for port in ports)


class _Seen(Listener):
    """Counts the connections that it accepts."""

    accepted = 0

    async def _accept(self, reader, writer) -> None:
        self.accepted += 1
        writer.transport.abort()


def test_a_connection_that_was_accepted_as_the_listener_closes_is_broken_off_unseen():
    async def met() -> tuple[int, bool]:
        one = await _Seen().open()
        await asyncio.open_connection(one.host, one.port)
        await asyncio.sleep(0.05)
        await one.close()
        # What the loop does where it accepted the connection, and ran this only after the end.
        reader, writer = await asyncio.open_connection(one.host, (await _Seen().open()).port)
        await one._meet(reader, writer)
        return one.accepted, writer.transport.is_closing()

    assert asyncio.run(met()) == (1, True)
