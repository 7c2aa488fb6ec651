"""The engine: which events resume a generator, in which order, and when it requests a wake-up."""

from typing import Any

import pytest

from lapisgrade.engine import Engine
from lapisgrade.interface import (
    AddToCounter,
    AttemptOutcome,
    AttemptResult,
    Call,
    Cancel,
    Category,
    Clock,
    CounterOutcome,
    CounterReply,
    LogMessage,
    Operation,
    Plan,
    Reject,
    RejectReason,
    RepeatSafety,
    Resume,
    Send,
    Sleep,
    Spawn,
    WakeReason,
)


class RecordingHost:
    """Records the commands that the engine passes on, the counter calls and the requested wake-ups."""

    def __init__(self) -> None:
        self.commands: list[Any] = []
        self.tasks: list[Any] = []
        self.wakeups_us: list[int] = []

    def send(self, attempt: Any) -> None:
        self.commands.append(("send", attempt))

    def cancel(self, attempt: Any) -> None:
        self.commands.append(("cancel", attempt))

    def reject(self, operation: Operation, answer: Reject) -> None:
        self.commands.append(("reject", operation, answer.reason))

    def add_to_counter(self, task: Any, add: AddToCounter) -> None:
        self.tasks.append(task)

    def log(self, text: str) -> None:
        self.commands.append(("log", text))

    def schedule_wakeup(self, when_us: int) -> None:
        self.wakeups_us.append(when_us)


class Setup:
    """An engine at time 1000 us, its host, and the events that its generators were resumed with."""

    def __init__(self) -> None:
        self.host = RecordingHost()
        self.clock = Clock(1_000)
        self.engine = Engine(self.host, self.clock)
        self.events: list[Any] = []

    def operation(self) -> Operation:
        category = Category("c", RepeatSafety.IDEMPOTENT, 1, 1, 1.0)
        return Operation("u", Plan("p", 0.0, 0.0), category, 1.0, 1_000, 9_000, 1)

    def sleeper(self, *times_us: int):
        """Sleep until each time in turn, and record the events that end the sleeps."""
        for until_us in times_us:
            self.events.append((yield Sleep(until_us)))

    def advance(self, now_us: int) -> None:
        """Advance the clock, and run the due timers as a wake-up does."""
        self.clock.now_us = now_us
        self.engine.run_due_timers(is_wakeup=True)


@pytest.fixture
def setup() -> Setup:
    return Setup()


def test_a_sleep_ends_at_its_time_and_not_before(setup: Setup) -> None:
    setup.engine.run(setup.sleeper(5_000))
    setup.advance(4_999)
    assert setup.events == []
    setup.advance(5_000)
    assert setup.events == [WakeReason.TIMER]


def test_a_task_waits_for_the_result_of_its_call_and_drops_events() -> None:
    setup = Setup()
    calls: list[Any] = []

    class RecordingCaller:
        def call(self, task: Any, call: Call) -> None:
            calls.append((task, call))

    def calling():
        setup.events.append((yield Call()))

    operation = setup.operation()
    engine = Engine(setup.host, setup.clock, RecordingCaller())
    engine.run(calling(), operation)
    engine.wake(operation, WakeReason.CLIENT_DISCONNECTED)
    assert (len(calls), setup.events) == (1, [])
    engine.call_finished(calls[0][0], "result")
    assert setup.events == ["result"]
    with pytest.raises(TypeError):
        setup.engine.run(calling())  # an engine without a caller


def test_a_sleep_until_the_past_ends_after_one_us(setup: Setup) -> None:
    setup.engine.run(setup.sleeper(0))
    assert setup.host.wakeups_us == [1_001]


def test_only_the_earliest_timer_requests_a_wakeup(setup: Setup) -> None:
    for until_us in (5_000, 7_000, 3_000):
        setup.engine.run(setup.sleeper(until_us))
    assert setup.host.wakeups_us == [5_000, 3_000]


def test_a_timer_of_a_sleep_that_ended_early_resumes_nothing(setup: Setup) -> None:
    operation = setup.operation()
    setup.engine.run(setup.sleeper(5_000, 8_000), operation)
    setup.engine.wake(operation, WakeReason.RESPONSE_STARTED)
    setup.advance(5_000)
    assert setup.events == [WakeReason.RESPONSE_STARTED]
    setup.advance(8_000)
    assert setup.events == [WakeReason.RESPONSE_STARTED, WakeReason.TIMER]


def test_a_finished_attempt_is_delivered_with_its_result(setup: Setup) -> None:
    class AttemptStub:
        operation = setup.operation()

    attempt, result = AttemptStub(), AttemptResult(AttemptOutcome.OK, 7)
    setup.engine.run(setup.sleeper(5_000), attempt.operation)
    setup.engine.attempt_finished(attempt, result)
    assert setup.events[0].attempt is attempt
    assert setup.events[0].result is result


def test_an_event_is_dropped_while_the_task_waits_for_the_counter(setup: Setup) -> None:
    def adding():
        setup.events.append((yield AddToCounter(1, 1.0, 1)))

    operation = setup.operation()
    setup.engine.run(adding(), operation)
    setup.engine.wake(operation, WakeReason.CLIENT_DISCONNECTED)
    assert setup.events == []
    reply = CounterReply(CounterOutcome.ADDED, 1.0)
    setup.engine.counter_replied(setup.host.tasks[0], reply)
    assert setup.events == [reply]


def test_spawned_and_resumed_generators_run_after_the_current_one_waits(setup: Setup) -> None:
    other = setup.operation()

    def spawned():
        yield LogMessage("spawned")

    def first():
        yield Spawn(spawned())
        yield Resume(other)
        yield LogMessage("first")

    setup.engine.run(setup.sleeper(9_000), other)
    setup.engine.run(first())
    assert setup.host.commands == [("log", "first"), ("log", "spawned")]
    assert setup.events == [WakeReason.RESUMED]


def test_a_rejection_is_passed_to_the_host_with_its_operation(setup: Setup) -> None:
    operation = setup.operation()

    def rejecting():
        yield Reject(RejectReason.FAILED)

    setup.engine.run(rejecting(), operation)
    assert setup.host.commands == [("reject", operation, RejectReason.FAILED)]
    assert operation.task.is_finished


def test_an_exception_finishes_its_generator_and_reaches_the_caller(setup: Setup) -> None:
    def failing():
        yield LogMessage("about to fail")
        raise ZeroDivisionError

    operation = setup.operation()
    with pytest.raises(ZeroDivisionError):
        setup.engine.run(failing(), operation)
    assert operation.task.is_finished


def test_a_yielded_value_that_is_not_a_command_is_rejected(setup: Setup) -> None:
    def yielding_text():
        yield "sleep"

    with pytest.raises(TypeError, match="yielded 'sleep', which this engine can't execute"):
        setup.engine.run(yielding_text())


class FailingHost(RecordingHost):
    """Fails to execute one kind of command."""

    def __init__(self, failing: str) -> None:
        super().__init__()
        self.failing = failing

    def __getattribute__(self, name: str) -> Any:
        if name != "failing" and name == object.__getattribute__(self, "__dict__").get("failing"):
            return self.fail
        return object.__getattribute__(self, name)

    def fail(self, *_: Any) -> None:
        raise ValueError("failed")


COMMANDS = {
    "send": Send("attempt"),
    "cancel": Cancel("attempt"),
    "reject": Reject(RejectReason.FAILED),
    "add_to_counter": AddToCounter(1, 1.0, 1),
    "log": LogMessage("text"),
    "schedule_wakeup": Sleep(5_000),
}


@pytest.mark.parametrize("name", COMMANDS)
def test_a_command_that_fails_raises_in_its_generator_and_never_leaves_a_task_waiting(name: str) -> None:
    setup = Setup()
    engine = Engine(FailingHost(name), setup.clock)
    operation = setup.operation()

    def failing():
        try:
            yield COMMANDS[name]
        finally:
            setup.events.append("cleaned up")

    with pytest.raises(ValueError, match="failed"):
        engine.run(failing(), operation)
    assert operation.task.is_finished
    assert setup.events == ["cleaned up"]

    def handling():
        try:
            yield COMMANDS[name]
        except ValueError:
            setup.events.append("handled")

    engine.run(handling(), other := setup.operation())
    assert other.task.is_finished
    assert setup.events == ["cleaned up", "handled"]


def test_an_operation_whose_generator_yields_no_command_is_finished(setup: Setup) -> None:
    def wrong():
        yield "no command"

    with pytest.raises(TypeError, match="no command"):
        setup.engine.run(wrong(), operation := setup.operation())
    assert operation.task.is_finished


def test_a_failed_task_doesnt_keep_other_ready_tasks_from_being_resumed(setup: Setup) -> None:
    def spawned(number: int):
        setup.events.append(number)
        if number == 1:
            raise ValueError("failed")
        yield Sleep(5_000)

    def spawning():
        for number in range(3):
            yield Spawn(spawned(number))

    with pytest.raises(ValueError, match="failed"):
        setup.engine.run(spawning())
    assert setup.events == [0, 1, 2]
