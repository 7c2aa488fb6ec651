"""The project's stand-ins for counter and discovery, which write down what they are asked and tell."""

import contextlib
import json
from lapisgrade.lab.fleet import history as h
from lapisgrade.fakes import http
from lapisgrade.fakes.counter import Counter
from lapisgrade.fakes.discovery import Discovery


class SeenCounter(Counter):
    """The stand-in counter, which writes down each call."""

    writer: h.Writer

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.Opened(at=h.now_us(), to="counter"))
        await super()._accept(reader, writer)

    async def _answer(self, words, half: int) -> bytes:
        said = await super()._answer(words, half)
        if isinstance(words, list) and len(words) == 4 and words[0] == b"INCRTTL":
            with contextlib.suppress(ValueError):
                added = said.startswith(b"$")
                total = float(said.split(b"\r\n")[1]) if added else 0.0
                self.writer.put(
                    h.Counted(
                        at=h.now_us(),
                        name=words[1].decode("latin-1"),
                        amount=float(words[2]),
                        total=total,
                        added=added,
                    )
                )
        return said


class Agent(Discovery):
    """One limiter's discovery agent: tells of servers by the addresses that this limiter reaches them at, and
    writes down what it has told, and when."""

    def __init__(self, writer: h.Writer, limiter: int) -> None:
        super().__init__()
        self.writer, self.limiter = writer, limiter
        self._last_told: dict[str, str] = {}

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.Opened(at=h.now_us(), to="discovery"))
        await super()._accept(reader, writer)

    async def _handle(self, request: http.Request) -> http.Response:
        self.writer.put(h.Asked(at=h.now_us(), limiter=self.limiter))
        reply = await super()._handle(request)
        if reply.status == 200:
            for row in json.loads(reply.body)["instances"]:
                name, state = row["instanceId"], row["lifecycle"]
                if self._last_told.get(name) != state:
                    self._last_told[name] = state
                    told = h.Told(at=h.now_us(), limiter=self.limiter, server=name, state=state)
                    self.writer.put(told)
        return reply

    def anew(self) -> None:
        """A new process asks: what was told to the last one is not told to it."""
        self._last_told.clear()
