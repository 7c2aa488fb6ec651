"""RPC between processes: replies, failures (not run or may have run), and invalid or flooding peers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
from returns.result import Failure, Success

from lapisgrade.fakes.site import free_port
from lapisgrade.gateway import rpc, rpc_connection
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.rpc_connection import Codec

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.2


class Question(msgspec.Struct, array_like=True, tag="q"):
    text: str


class Answer(msgspec.Struct, array_like=True, tag="a"):
    text: str


class LaterQuestion(msgspec.Struct, array_like=True, tag="n"):
    """A call that only a later release knows."""

    text: str


class LaterAnswer(msgspec.Struct, array_like=True, tag="l"):
    """A reply that only a later release knows."""

    text: str


UNION = Question | Answer
LATER_UNION = Question | LaterQuestion | Answer | LaterAnswer


async def answer(question: Question) -> Answer:
    return Answer(question.text.upper())


async def never_reply(question: Question) -> None:
    await asyncio.sleep(TIMEOUT_S)


def free_address() -> tuple[str, int]:
    return ("127.0.0.1", free_port())


def run(
    scenario: Callable[[RpcEndpoint, RpcEndpoint, tuple[str, int]], Awaitable[None]],
    on_call: Callable[[Any], Awaitable[Any]] = answer,
    on_message: Callable[[Any], None] = lambda message: None,
) -> None:
    """Run a scenario with a caller and a callee that listens at the address."""

    async def run_scenario() -> None:
        caller, callee, address = (
            RpcEndpoint(UNION, never_reply),
            RpcEndpoint(UNION, on_call, on_message),
            free_address(),
        )
        await callee.listen(address)
        try:
            async with asyncio.timeout(2 * TIMEOUT_S):
                await scenario(caller, callee, address)
        finally:
            caller.close()
            callee.close()

    asyncio.run(run_scenario())


def test_calls_on_one_connection_get_their_own_replies():
    async def scenario(caller, callee, address):
        calls = [caller.call(address, Question(text), TIMEOUT_S) for text in "abc"]
        assert await asyncio.gather(*calls) == [Success(Answer(text)) for text in "ABC"]
        assert (caller.metrics.calls_sent, callee.metrics.calls_received) == (3, 3)

    run(scenario)


def test_a_message_without_a_reply_is_delivered():
    received: list[Any] = []

    async def scenario(caller, callee, address):
        caller.post(address, Question("a"))
        while not received:
            await asyncio.sleep(0.01)
        assert received == [Question("a")]
        assert callee.metrics.calls_received == 0

    run(scenario, on_message=received.append)


def test_a_sent_call_without_a_reply_may_have_run():
    async def scenario(caller, callee, address):
        assert await caller.call(address, Question("a"), SHORT_TIMEOUT_S) == Failure(CallFailure.MAY_HAVE_RUN)

    run(scenario, on_call=never_reply)


def test_a_call_whose_connection_breaks_may_have_run():
    async def scenario(caller, callee, address):
        call = asyncio.ensure_future(caller.call(address, Question("a"), TIMEOUT_S))
        while not callee.metrics.calls_received:
            await asyncio.sleep(0.01)
        callee.close()
        assert await call == Failure(CallFailure.MAY_HAVE_RUN)

    run(scenario, on_call=never_reply)


def test_a_call_whose_connection_is_refused_did_not_run():
    async def scenario(caller, callee, address):
        unused_address = free_address()
        assert await caller.call(unused_address, Question("a"), TIMEOUT_S) == Failure(CallFailure.NOT_RUN)
        assert caller.peer(unused_address).is_refusing
        assert not caller.peer(address).is_refusing

    run(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        (rpc_connection.MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        b"\0\0\0\3abc",
    ],
    ids=["http", "frame-too-long", "not-a-message"],
)
def test_the_connection_of_a_peer_that_sends_no_frames_is_closed(sent):
    async def scenario(caller, callee, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(sent)
        assert await reader.read() == b""
        writer.close()
        assert await caller.call(address, Question("a"), TIMEOUT_S) == Success(Answer("A"))

    run(scenario)


def test_a_frame_split_at_any_position_is_decoded():
    codec = Codec(UNION)
    data = codec.encode(1, Question("a")) + codec.encode(0, Answer("b"))
    for cut in range(len(data)):
        buffer = bytearray(data[:cut])
        frames = codec.decode(buffer)
        buffer += data[cut:]
        assert frames + codec.decode(buffer) == [(1, Question("a")), (0, Answer("b"))]
        assert not buffer


async def test_a_call_unknown_to_this_release_fails_no_other_call() -> None:
    async def answer_slowly(question: Question) -> Answer:
        await asyncio.sleep(0.1)
        return Answer(question.text)

    address = free_address()
    caller, callee = RpcEndpoint(LATER_UNION, never_reply), RpcEndpoint(UNION, answer_slowly)
    await callee.listen(address)
    try:
        slow_call = asyncio.ensure_future(caller.call(address, Question("x"), 2.0))
        await asyncio.sleep(0.05)
        await caller.call(address, LaterQuestion("y"), 0.5)
        assert await slow_call == Success(Answer("x"))
    finally:
        caller.close()
        callee.close()


async def test_a_call_that_the_callee_can_not_decode_did_not_run_and_fails_before_its_time_out() -> None:
    address = free_address()
    caller, callee = RpcEndpoint(LATER_UNION, never_reply), RpcEndpoint(UNION, never_reply)
    await callee.listen(address)
    try:
        async with asyncio.timeout(TIMEOUT_S / 2):
            result = await caller.call(address, LaterQuestion("y"), TIMEOUT_S)
        assert result == Failure(CallFailure.NOT_RUN)
        assert callee.metrics.calls_received == 0
    finally:
        caller.close()
        callee.close()


async def test_a_reply_that_can_not_be_decoded_fails_only_its_call() -> None:
    async def answer_as_later(question: Question) -> Answer | LaterAnswer:
        if question.text == "later":
            return LaterAnswer("y")
        await asyncio.sleep(0.1)
        return Answer("x")

    address = free_address()
    caller, callee = RpcEndpoint(UNION, never_reply), RpcEndpoint(LATER_UNION, answer_as_later)
    await callee.listen(address)
    try:
        slow_call = asyncio.ensure_future(caller.call(address, Question("slow"), TIMEOUT_S))
        async with asyncio.timeout(TIMEOUT_S / 2):
            result = await caller.call(address, Question("later"), TIMEOUT_S)
        assert result == Failure(CallFailure.MAY_HAVE_RUN)
        assert await slow_call == Success(Answer("x"))
    finally:
        caller.close()
        callee.close()


async def test_a_message_without_a_reply_that_can_not_be_decoded_is_ignored() -> None:
    address = free_address()
    received: list[Any] = []
    caller, callee = RpcEndpoint(LATER_UNION, never_reply), RpcEndpoint(UNION, answer, received.append)
    await callee.listen(address)
    try:
        caller.post(address, LaterQuestion("y"))
        caller.post(address, Question("x"))
        assert await caller.call(address, Question("a"), TIMEOUT_S) == Success(Answer("A"))
        assert received == [Question("x")]
    finally:
        caller.close()
        callee.close()


def test_a_connection_with_too_many_undecodable_messages_is_closed():
    async def scenario(caller, callee, address):
        frame = Codec(LATER_UNION).encode(7, LaterQuestion("y"))
        refusal = Codec(UNION).encode(7, None)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(frame * rpc_connection.MAX_UNREADABLE_MESSAGES)
        refusals = await reader.readexactly(len(refusal) * rpc_connection.MAX_UNREADABLE_MESSAGES)
        assert refusals == refusal * rpc_connection.MAX_UNREADABLE_MESSAGES
        writer.write(frame)
        assert await reader.read() == b""
        writer.close()
        assert await caller.call(address, Question("a"), TIMEOUT_S) == Success(Answer("A"))

    run(scenario)


def test_undecodable_messages_of_a_connection_are_logged_once_in_one_short_line(
    caplog: pytest.LogCaptureFixture,
):
    async def scenario(caller, callee, address):
        message = msgspec.msgpack.encode((0, ["\n" * 1000, "y"]))
        reader, writer = await asyncio.open_connection(*address)
        writer.write((len(message).to_bytes(4, "big") + message) * 3 + Codec(UNION).encode(1, Question("a")))
        assert await reader.readexactly(4)
        writer.close()

    run(scenario)
    (line,) = [record.getMessage() for record in caplog.records if record.name == "rpc"]
    assert "a message of another release" in line
    assert "\n" not in line
    assert len(line) < 3 * rpc_connection.MAX_LOGGED_CHARACTERS


def test_a_message_too_long_for_a_frame_is_dropped_and_the_other_calls_are_answered(monkeypatch):
    """The receiver closes the connection at such a frame, which fails every call on it."""
    monkeypatch.setattr(rpc_connection, "MAX_FRAME_BYTES", 1000)

    async def scenario(caller, callee, address):
        await caller.call(address, Question("a"), TIMEOUT_S)
        other = asyncio.ensure_future(caller.call(address, Question("b"), TIMEOUT_S))
        caller.post(address, Question("a" * 2000))
        assert await other == Success(Answer("B"))
        assert callee.metrics.calls_received == 2

    run(scenario)


# Guards against a connection that is opened while the process ends, and is left behind with a traceback.
async def test_a_closed_endpoint_opens_no_connection() -> None:
    endpoint, caller = RpcEndpoint(UNION, answer), RpcEndpoint(UNION, answer)
    address = ("127.0.0.1", free_port())
    await endpoint.listen(address)
    assert isinstance(await caller.call(address, Question("a"), TIMEOUT_S), Success)
    caller.close()
    tasks = asyncio.all_tasks()
    caller.post(address, Question("b"))
    caller.post(("127.0.0.2", address[1]), Question("c"))
    assert await caller.call(address, Question("d"), SHORT_TIMEOUT_S) == Failure(CallFailure.NOT_RUN)
    assert asyncio.all_tasks() <= tasks
    endpoint.close()


def test_a_peer_in_use_is_not_closed_when_others_are_added(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that break off because their peer, the leader for example, was added first."""
    monkeypatch.setattr(rpc, "MAX_PEERS", 2)

    async def scenario(caller: RpcEndpoint, callee: RpcEndpoint, address: tuple[str, int]) -> None:
        slow_call = asyncio.create_task(caller.call(address, Question("slow"), TIMEOUT_S))
        for _ in range(3):
            await asyncio.sleep(SHORT_TIMEOUT_S / 10)
            caller.post(free_address(), Question("to nobody"))
            assert await caller.call(address, Question("a"), TIMEOUT_S) == Success(Answer("A"))
        assert await slow_call == Success(Answer("SLOW"))

    async def answer_late_if_slow(question: Question) -> Answer:
        await asyncio.sleep(SHORT_TIMEOUT_S if question.text == "slow" else 0)
        return await answer(question)

    run(scenario, answer_late_if_slow)
