"""The fake counter, its faults and its split halves."""

import asyncio

import pytest

from lapisgrade.fakes import counter


async def call(port, *calls):
    """Send RESP2 calls, pipelined on one connection, and return the raw bytes of the replies."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for arguments in calls:
        writer.write(
            b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in arguments)
        )
    received = b""
    while received.count(b"\r\n") < len(calls):
        chunk = await asyncio.wait_for(reader.read(4096), 2)
        if not chunk:
            break
        received += chunk
    writer.transport.abort()
    return received


def test_a_count_expires_by_the_lifetime_of_its_first_addition_and_restarts_at_zero():
    store = counter.Store()
    assert store.add(b"c1", 2.5, 1000, 10.0) == 2.5
    assert store.add(b"c1", -1.0, 99_000, 10.9) == 1.5  # a later call does not extend the lifetime
    assert store.add(b"c1", 1.0, 1000, 11.0) == 1.0
    assert store.add(b"c2", 1.0, 10**9, 0.0) == 1.0
    assert store.counts[b"c2"].expires_s == 60.0
    assert store.remove_expired(61.0) == 2
    assert not store.counts


async def test_the_counter_adds_rejects_calls_when_busy_and_rejects_invalid_commands():
    fake = await counter.Counter().open()
    received = await call(
        fake.port,
        [b"INCRTTL", b"k", b"2.5", b"4000"],
        [b"INCRTTL", b"k", b"-1", b"4000"],
        [b"PING"],
        [b"SELECT", b"0"],
        [b"GET", b"k"],
        [b"INCRTTL", b"k", b"lots", b"1"],
    )
    assert (
        received == b"$3\r\n2.5\r\n$3\r\n1.5\r\n+PONG\r\n+OK\r\n"
        b"-ERR unknown command 'GET'\r\n-ERR the amount or the life is not a number\r\n"
    )
    fake.mode = counter.CounterMode.BUSY
    assert await call(fake.port, [b"INCRTTL", b"k", b"1", b"9"]) == b"-BUSY try later\r\n"
    assert fake.store.counts[b"k"].total == 1.5
    assert fake.stats.busy == 1
    fake.mode = counter.CounterMode.NORMAL
    fake.restart()  # loses its counts
    assert await call(fake.port, [b"INCRTTL", b"k", b"1", b"9"]) == b"$3\r\n1.0\r\n"
    await fake.close()


async def test_a_silent_counter_does_not_reply_and_connections_beyond_the_limit_are_reset():
    fake = await counter.Counter(max_connections=1).open()
    fake.mode = counter.CounterMode.SILENT
    reader, writer = await asyncio.open_connection("127.0.0.1", fake.port)
    writer.write(b"*1\r\n$4\r\nPING\r\n")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(10), 0.3)
    with pytest.raises(ConnectionResetError):  # the second connection is reset
        await call(fake.port, [b"PING"])
    assert fake.stats.reset_connections == 1
    writer.transport.abort()
    await fake.close()


async def test_a_silent_counter_notices_closed_connections_and_recovers():
    fake = await counter.Counter(max_connections=4).open()
    fake.mode = counter.CounterMode.SILENT
    # As with ten limiters whose calls time out: each client closes its connection and opens a new one.
    for _ in range(3):
        connections = [await asyncio.open_connection("127.0.0.1", fake.port) for _ in range(4)]
        for _, writer in connections:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
        await asyncio.sleep(0.02)
        for _, writer in connections:
            writer.transport.abort()
        await asyncio.sleep(0.02)
    assert fake.connections == 0
    assert fake.stats.reset_connections == 0
    reader, writer = await asyncio.open_connection("127.0.0.1", fake.port)
    writer.write(b"*1\r\n$4\r\nPING\r\n")
    await asyncio.sleep(0.02)
    fake.mode = counter.CounterMode.NORMAL
    assert await call(fake.port, [b"PING"]) == b"+PONG\r\n"
    writer.write(b"*1\r\n$4\r\nPING\r\n")  # a connection with an unanswered call is closed, not answered
    assert await asyncio.wait_for(reader.read(10), 1.0) == b""
    await fake.close()


async def test_a_connection_whose_partial_command_exceeds_the_buffer_limit_is_closed():
    fake = await counter.Counter().open()
    reader, writer = await asyncio.open_connection("127.0.0.1", fake.port)
    writer.write(b"*2\r\n$%d\r\n" % (4 << 20))
    for _ in range(80):
        writer.write(b"x" * 65_536)

    async def read_reply() -> None:
        await writer.drain()
        await asyncio.wait_for(reader.readexactly(1), 5)

    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await read_reply()
    await fake.close()


def test_both_halves_of_a_split_accept_writes_and_a_heal_counts_each_once():
    store = counter.Store()
    store.add(b"a", 5.0, 60_000, 0.0)
    split_store = counter.split(store)
    split_store.halves[0].add(b"a", 2.0, 60_000, 1.0)
    split_store.halves[1].add(b"a", 3.0, 60_000, 1.0)
    split_store.halves[1].add(b"b", 1.0, 60_000, 1.0)
    assert split_store.halves[0].counts[b"a"].total == 7.0
    assert split_store.halves[1].counts[b"a"].total == 8.0
    healed = counter.heal(split_store)
    assert healed.counts[b"a"].total == 10.0
    assert healed.counts[b"b"].total == 1.0
    split_again = counter.split(store)  # the count expires and restarts in one half
    split_again.halves[0].add(b"a", 4.0, 1_000, 120.0)
    assert counter.heal(split_again).counts[b"a"].total == 9.0


async def test_split_healed_stale_and_corrupt_counters_reply_with_the_expected_totals():
    fake = await counter.Counter().open()
    assert await call(fake.port, [b"INCRTTL", b"k", b"5", b"60000"]) == b"$3\r\n5.0\r\n"
    fake.split()
    first_reply = await call(fake.port, [b"INCRTTL", b"k", b"1", b"60000"])
    second_reply = await call(fake.port, [b"INCRTTL", b"k", b"2", b"60000"])
    # Each half adds only its own calls.
    assert (first_reply, second_reply) == (b"$3\r\n6.0\r\n", b"$3\r\n7.0\r\n")
    fake.heal()
    assert await call(fake.port, [b"INCRTTL", b"k", b"0", b"60000"]) == b"$3\r\n8.0\r\n"
    fake.set_mode(counter.CounterMode.STALE)
    assert await call(fake.port, [b"INCRTTL", b"k", b"4", b"60000"]) == b"$3\r\n8.0\r\n"
    fake.set_mode(counter.CounterMode.SPOILT)
    assert await call(fake.port, [b"INCRTTL", b"k", b"1", b"60000"]) == b"$5\r\nfresh\r\n"
    assert fake.store.counts[b"k"].total == 13.0  # every addition was made, although the replies were wrong
    await fake.close()
