"""All limiters of one process on the bench, and their endpoint lists."""

from collections.abc import Callable
from functools import partial

from lapisgrade.bench_adapter import wire
from lapisgrade.bench_adapter.instance import HANDLERS, LimiterInstance
from lapisgrade.interface import Clock, ServerEndpoint
from lapisgrade.settings import Fields, MalformedInputError


class Bench:
    """All limiters of one process."""

    def __init__(self) -> None:
        """Create a process without limiters, at time 0."""
        self._instances: dict[int, LimiterInstance] = {}
        self._endpoint_lists: dict[int, list[ServerEndpoint]] = {}
        self._now_us = 0
        self.output_lines: list[str] = []  # messages to the bench

    def advance(self, fields: Fields) -> None:
        """Set the clock to the time of a batch."""
        if "SimTime" not in fields:
            raise MalformedInputError("SimTime is missing")
        self._now_us = fields.duration_us("SimTime")

    def set_endpoints(self, number: int, endpoints: list[ServerEndpoint]) -> None:
        """Store an endpoint list, which TOPOLOGY messages refer to by number."""
        self._endpoint_lists[number] = endpoints

    def handle(self, name: str, fields: Fields) -> None:
        """Handle a message to one limiter."""
        number = fields.integer("LimiterId")
        if name == "CONFIGURE":
            self._instances[number] = LimiterInstance(number, fields, Clock(self._now_us), self.output_lines)
        elif name == "DOWN":
            self._instances.pop(number, None)
        elif name == "TOPOLOGY":
            form = fields.text("Form")
            endpoints = self._topology_endpoints(form, fields)
            self._run(number, name, partial(LimiterInstance.on_topology, form=form, endpoints=endpoints))
        elif name in HANDLERS:
            handler = HANDLERS[name]
            self._run(number, name, lambda instance: handler(instance, fields))
        else:
            raise MalformedInputError(f"unknown message {name!r}")

    def _topology_endpoints(self, form: str, fields: Fields) -> list[ServerEndpoint]:
        if form not in wire.TOPOLOGY_FORMS:
            raise MalformedInputError(f"Form has the unknown value {form!r}")
        if form == "unavailable":
            return []
        number = fields.integer("Buffer")
        if number not in self._endpoint_lists:
            raise MalformedInputError(f"Buffer refers to an unknown endpoint list: {number}")
        return self._endpoint_lists[number]

    def _run(self, number: int, name: str, handler: Callable[[LimiterInstance], None]) -> None:
        """Advance a limiter's clock and handle a message; reports exceptions to the bench."""
        instance = self._instances.get(number)
        if instance is None:
            raise MalformedInputError(f"LimiterId {number} has not been configured")
        try:
            if instance.clock.now_us != self._now_us:
                instance.clock.now_us = self._now_us
                instance.engine.run_due_timers()
            handler(instance)
        except MalformedInputError:
            raise
        except Exception as error:
            self.output_lines.append(f"BUG LimiterId={number} Words={_describe(error, name)}")


def _describe(error: Exception, message: str) -> str:
    """Format an exception, its place and the message as one line."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    location = (
        f"{traceback.tb_frame.f_code.co_name} line {traceback.tb_lineno}" if traceback is not None else "?"
    )
    return " ".join(f"{type(error).__name__} in {location} on {message}: {error}".split())
