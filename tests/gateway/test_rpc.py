"""Calls between processes: replies, failures that tell whether a call may have run, and bad peers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
from returns.result import Failure, Success

from lapisgrade.fakes.site import free_port
from lapisgrade.gateway import rpc_connection
from lapisgrade.gateway.call_failure import CallFailure
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.rpc_connection import Codec

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.2


class Question(msgspec.Struct, array_like=True, tag="q"):
    text: str


class Answer(msgspec.Struct, array_like=True, tag="a"):
    text: str


UNION = Question | Answer


async def answer(question: Question) -> Answer:
    return Answer(question.text.upper())


async def never(question: Question) -> None:
    await asyncio.sleep(TIMEOUT_S)


def free_address() -> tuple[str, int]:
    return ("127.0.0.1", free_port())


def run(
    scenario: Callable[[RpcEndpoint, RpcEndpoint, tuple[str, int]], Awaitable[None]],
    on_call: Callable[[Any], Awaitable[Any]] = answer,
    on_message: Callable[[Any], None] = lambda message: None,
) -> None:
    """Play a scenario with a caller, and a callee that listens at the address."""

    async def play() -> None:
        caller, callee, address = (
            RpcEndpoint(UNION, never),
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

    asyncio.run(play())


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


def test_a_call_that_was_sent_and_not_answered_may_have_run():
    async def scenario(caller, callee, address):
        assert await caller.call(address, Question("a"), SHORT_TIMEOUT_S) == Failure(CallFailure.MAY_HAVE_RUN)

    run(scenario, on_call=never)


def test_a_call_whose_connection_breaks_may_have_run():
    async def scenario(caller, callee, address):
        call = asyncio.ensure_future(caller.call(address, Question("a"), TIMEOUT_S))
        while not callee.metrics.calls_received:
            await asyncio.sleep(0.01)
        callee.close()
        assert await call == Failure(CallFailure.MAY_HAVE_RUN)

    run(scenario, on_call=never)


def test_a_call_to_a_machine_that_refuses_did_not_run():
    async def scenario(caller, callee, address):
        nobody = free_address()
        assert await caller.call(nobody, Question("a"), TIMEOUT_S) == Failure(CallFailure.NOT_RUN)
        assert caller.peer(nobody).is_refusing
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
def test_a_peer_that_sends_no_frames_loses_its_connection(sent):
    async def scenario(caller, callee, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(sent)
        assert await reader.read() == b""
        writer.close()
        assert await caller.call(address, Question("a"), TIMEOUT_S) == Success(Answer("A"))

    run(scenario)


def test_a_frame_may_arrive_in_any_pieces():
    codec = Codec(UNION)
    data = codec.encode(1, Question("a")) + codec.encode(0, Answer("b"))
    for cut in range(len(data)):
        buffer = bytearray(data[:cut])
        frames = codec.decode(buffer)
        buffer += data[cut:]
        assert frames + codec.decode(buffer) == [(1, Question("a")), (0, Answer("b"))]
        assert not buffer
