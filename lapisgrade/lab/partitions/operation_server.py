"""Stand-in servers for keyed operations: each run has its own response, and some requests fail."""

import asyncio
from dataclasses import dataclass
from random import Random

from lapisgrade.gateway.fake_server import FakeServer
from lapisgrade.gateway.http_server import encode_response
from lapisgrade.lab.partitions.operation_history import History, Run
from lapisgrade.net.http import Message

WORK_RANGE_S = (0.01, 0.08)  # shortest and longest duration of a run
LATE_WORK_S = 1.2  # duration of a run that exceeds the deadline
# Relative frequency of each behavior. All but "not run" execute the request.
BEHAVIOR_WEIGHTS = {
    "answered": 60,
    "failed": 2,  # responds with 500 and a seal
    "reset": 1,  # resets the connection instead of responding
    "silent": 1,  # sends no response until the caller disconnects
    "late": 1,  # responds after `LATE_WORK_S`
    "cut short": 1,  # omits the last bytes of the response and closes the connection
    "not run": 2,  # rejects the request with 503
}


@dataclass(slots=True, frozen=True)
class OperationRequest:
    """The headers of a request that identify the run."""

    try_id: str
    tenant: str
    key: str


class OperationServer(FakeServer):
    """A server that records each run in the history."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        history: History,
        random: Random,
        slots: int,
        has_faults: bool,
    ) -> None:
        """Create a server; `start` makes it listen.

        Args:
            name: Instance name.
            address: Address to listen at.
            history: History that runs and arrivals are recorded in.
            random: Source of all random choices.
            slots: Requests that it runs at once.
            has_faults: Whether it fails some requests, by `BEHAVIOR_WEIGHTS`.
        """
        super().__init__(name, "garantie", address, slots=slots)
        self._history = history
        self._random = random
        self._has_faults = has_faults

    async def _answer_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        self._history.arrived_ids.add(message.headers().get(b"try-id", b"").decode())
        return await super()._answer_request(message, writer)

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bytes:
        fields = {name: value.decode() for name, value in message.headers().items()}
        request = OperationRequest(
            fields.get(b"try-id", ""), fields.get(b"tenant", ""), fields.get(b"op-key", "")
        )
        load_header = f"Server-Load: {self.running},0,{self.slots}\r\n"
        headers = f"Try-Id: {request.try_id}\r\nInstance: {self.name}\r\n{load_header}"
        if fields.get(b"want-instance", self.name) != self.name:
            return encode_response(421, b"", headers.encode())
        behavior = self._behavior()
        if self.running >= self.slots or self.state != "up" or behavior == "not run":
            return encode_response(503, b"", (headers + "Not-Run: 1\r\n").encode())
        return await self._run(request, headers, behavior, writer)

    def _behavior(self) -> str:
        if not self._has_faults:
            return "answered"
        return self._random.choices(list(BEHAVIOR_WEIGHTS), list(BEHAVIOR_WEIGHTS.values()))[0]

    async def _run(
        self, request: OperationRequest, headers: str, behavior: str, writer: asyncio.StreamWriter
    ) -> bytes:
        """Record a run, execute it, and return the bytes to send for the behavior."""
        number = len(self._history.runs)
        seal, body = f"{self.name}.{number}", f"run {number} of {request.key}".encode()
        self._history.runs.append(Run(request.try_id, request.tenant, request.key, seal, body))
        self.work_s = LATE_WORK_S if behavior == "late" else self._random.uniform(*WORK_RANGE_S)
        self.running += 1
        try:
            await self._execute(request.try_id, writer)
        finally:
            self.running -= 1
        response = encode_response(
            500 if behavior == "failed" else 200, body, f"{headers}Server-Seal: {seal}\r\n".encode()
        )
        if behavior == "silent":
            await self._wait_for_disconnect(writer)
        if behavior == "cut short":
            response = response[:-3]
            asyncio.get_running_loop().call_soon(writer.close)
        if behavior == "reset":
            writer.transport.abort()
        return response
