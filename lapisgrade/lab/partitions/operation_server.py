"""Stand-in servers of a play of keyed operations: each run has an answer of its own, and some go wrong."""

import asyncio
from dataclasses import dataclass
from random import Random

from lapisgrade.gateway.fake_server import FakeServer
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.lab.partitions.operation_history import History, Run
from lapisgrade.net.http import Message

WORK_S = (0.01, 0.08)  # that a run takes, least and most
LATE_S = 1.2  # that a run takes whose answer comes too late
# How often a request is treated so. All but "not run" run it.
BEHAVIOR_WEIGHTS = {
    "answered": 60,
    "failed": 2,  # 500 with a seal
    "reset": 1,
    "silent": 1,
    "late": 1,
    "cut short": 1,
    "not run": 2,
}


@dataclass(slots=True, frozen=True)
class OperationRequest:
    """What a server reads of a request."""

    try_id: str
    tenant: str
    key: str


class OperationServer(FakeServer):
    """A server that notes each run in the play's history."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        history: History,
        random: Random,
        slots: int,
        is_unruly: bool,
    ) -> None:
        """Answer all requests well unless `is_unruly`."""
        super().__init__(name, "garantie", address, slots=slots)
        self._history = history
        self._random = random
        self._is_unruly = is_unruly

    async def _answer_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        self._history.arrived.add(message.headers().get(b"try-id", b"").decode())
        return await super()._answer_request(message, writer)

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        fields = {name: value.decode() for name, value in message.headers().items()}
        request = OperationRequest(
            fields.get(b"try-id", ""), fields.get(b"tenant", ""), fields.get(b"op-key", "")
        )
        load = f"Server-Load: {self.running},0,{self.slots}\r\n"
        own = f"Try-Id: {request.try_id}\r\nInstance: {self.name}\r\n{load}"
        if fields.get(b"want-instance", self.name) != self.name:
            return encode_response(421, b"", own.encode())
        behavior = self._behavior()
        if self.running >= self.slots or self.state != "up" or behavior == "not run":
            return encode_response(503, b"", (own + "Not-Run: 1\r\n").encode())
        return await self._run(request, own, behavior, writer)

    def _behavior(self) -> str:
        if not self._is_unruly:
            return "answered"
        return self._random.choices(list(BEHAVIOR_WEIGHTS), list(BEHAVIOR_WEIGHTS.values()))[0]

    async def _run(
        self, request: OperationRequest, own: str, behavior: str, writer: asyncio.StreamWriter
    ) -> bytes:
        number = len(self._history.runs)
        seal, body = f"{self.name}.{number}", f"run {number} of {request.key}".encode()
        self._history.runs.append(Run(request.try_id, request.tenant, request.key, seal, body))
        self.work_s = LATE_S if behavior == "late" else self._random.uniform(*WORK_S)
        self.running += 1
        try:
            await self._execute(request.try_id, writer)
        finally:
            self.running -= 1
        whole = encode_response(
            500 if behavior == "failed" else 200, body, f"{own}Server-Seal: {seal}\r\n".encode()
        )
        if behavior == "silent":
            await self._wait_for_disconnect(writer)
        if behavior == "cut short":
            whole = whole[:-3]
            asyncio.get_running_loop().call_soon(writer.close)
        if behavior == "reset":
            writer.transport.abort()
        return whole
