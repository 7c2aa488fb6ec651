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
        self._instances: dict[int, LimiterInstance] = {}  # by limiter id
        self._endpoint_lists: dict[int, list[ServerEndpoint]] = {}  # by number
        self._now_us = 0
        self.output_lines: list[str] = []  # messages to the bench

    def advance(self, fields: Fields) -> None:
        """Set the time to that of a batch."""
        if "SimTime" not in fields:
            raise MalformedInputError("SimTime is missing")
        self._now_us = fields.duration_us("SimTime")

    def set_endpoints(self, list_number: int, endpoints: list[ServerEndpoint]) -> None:
        """Store an endpoint list, which TOPOLOGY messages refer to by number."""
        self._endpoint_lists[list_number] = endpoints

    def handle(self, name: str, fields: Fields) -> None:
        """Handle a message to one limiter.

        Raises:
            MalformedInputError: The message or one of its fields is unknown or malformed.
        """
        limiter_id = fields.integer("LimiterId")
        if name == "CONFIGURE":
            self._instances[limiter_id] = LimiterInstance(
                limiter_id, fields, Clock(self._now_us), self.output_lines
            )
        elif name == "DOWN":
            self._instances.pop(limiter_id, None)
        elif name == "TOPOLOGY":
            form = fields.text("Form")
            endpoints = self._topology_endpoints(form, fields)
            self._run(limiter_id, name, partial(LimiterInstance.on_topology, form=form, endpoints=endpoints))
        elif name in HANDLERS:
            handler = HANDLERS[name]
            self._run(limiter_id, name, lambda instance: handler(instance, fields))
        else:
            raise MalformedInputError(f"unknown message {name!r}")

    def _topology_endpoints(self, form: str, fields: Fields) -> list[ServerEndpoint]:
        if form not in wire.TOPOLOGY_FORMS:
            raise MalformedInputError(f"Form has the unknown value {form!r}")
        if form == "unavailable":
            return []
        list_number = fields.integer("Buffer")
        if list_number not in self._endpoint_lists:
            raise MalformedInputError(f"Buffer refers to an unknown endpoint list: {list_number}")
        return self._endpoint_lists[list_number]

    def _run(self, limiter_id: int, name: str, handler: Callable[[LimiterInstance], None]) -> None:
        """Advance a limiter's clock and handle the message `name`; exceptions are reported to the bench."""
        instance = self._instances.get(limiter_id)
        if instance is None:
            raise MalformedInputError(f"LimiterId {limiter_id} has not been configured")
        try:
            if instance.clock.now_us != self._now_us:
                instance.clock.now_us = self._now_us
                instance.engine.run_due_timers()
            handler(instance)
        except MalformedInputError:
            raise
        except Exception as error:
            self.output_lines.append(f"BUG LimiterId={limiter_id} Words={_describe(error, name)}")


def _describe(error: Exception, name: str) -> str:
    """Format an exception, the place that raised it and the message's name as one line."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    location = (
        f"{traceback.tb_frame.f_code.co_name} line {traceback.tb_lineno}" if traceback is not None else "?"
    )
    return " ".join(f"{type(error).__name__} in {location} on {name}: {error}".split())
