"""Fakes of the counter and of discovery that record calls in the history."""

import contextlib
import json

from lapisgrade.fakes import http
from lapisgrade.fakes.counter import Counter
from lapisgrade.fakes.discovery import Discovery
from lapisgrade.lab.fleet import history as h


class RecordingCounter(Counter):
    """A fake counter that records each connection and each call that adds units.

    Attributes:
        writer: Writer of the history; set it before `open`.
    """

    writer: h.Writer

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.ConnectionOpened(at=h.now_us(), to="counter"))
        await super()._accept(reader, writer)

    async def _answer(self, words, half: int) -> bytes:
        reply = await super()._answer(words, half)
        if isinstance(words, list) and len(words) == 4 and words[0] == b"INCRTTL":
            with contextlib.suppress(ValueError):
                added = reply.startswith(b"$")
                total = float(reply.split(b"\r\n")[1]) if added else 0.0
                self.writer.put(
                    h.CounterCalled(
                        at=h.now_us(),
                        name=words[1].decode("latin-1"),
                        amount=float(words[2]),
                        total=total,
                        added=added,
                    )
                )
        return reply


class RecordingDiscovery(Discovery):
    """The discovery agent of a limiter, which records each server state that it returns to the limiter.

    It lists the servers with the addresses at which this limiter reaches them.
    """

    def __init__(self, writer: h.Writer, limiter: int) -> None:
        """Create the agent of the limiter with the index `limiter`; `open` makes it listen."""
        super().__init__()
        self.writer, self.limiter = writer, limiter
        self._last_notified: dict[str, str] = {}

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.ConnectionOpened(at=h.now_us(), to="discovery"))
        await super()._accept(reader, writer)

    async def _handle(self, request: http.Request) -> http.Response:
        self.writer.put(h.DiscoveryCalled(at=h.now_us(), limiter=self.limiter))
        reply = await super()._handle(request)
        if reply.status == 200:
            for row in json.loads(reply.body)["instances"]:
                name, state = row["instanceId"], row["lifecycle"]
                if self._last_notified.get(name) != state:
                    self._last_notified[name] = state
                    event = h.ServerStateNotified(
                        at=h.now_us(), limiter=self.limiter, server=name, state=state
                    )
                    self.writer.put(event)
        return reply

    def forget_notified(self) -> None:
        """Forget the states returned so far, since a restarted limiter has learned none."""
        self._last_notified.clear()
