"""Hosts the instances of a drill: carries the wire's events to them and their actions back."""

from lapisgrade.bench_adapter import wire
from lapisgrade.bench_adapter.wire import format_ms
from lapisgrade.engine import Engine, Task
from lapisgrade.interface import (
    AddToCounter,
    AttemptOutcome,
    AttemptResult,
    Clock,
    CounterOutcome,
    CounterReply,
    Operation,
    Reject,
    RejectReason,
    ServerEndpoint,
    WakeReason,
)
from lapisgrade.policy import Limiter
from lapisgrade.settings import (
    Fields,
    MalformedInputError,
    read_categories,
    read_counter_settings,
    read_permissions,
    read_placement,
    read_plans,
    read_server_rules,
)


class Instance:
    """One limiter: its module, its engine, and what its ids stand for."""

    __slots__ = (
        "_calls",
        "_categories",
        "_held",
        "_hops",
        "_line",
        "_must_ask",
        "_plans",
        "_tag",
        "clock",
        "engine",
        "lines",
        "module",
    )

    def __init__(self, number: int, fields: Fields, clock: Clock, lines: list[str]) -> None:
        self._line = f" LimiterId={number}"
        self._tag = 0
        self.lines = lines
        self._held: dict[int, Operation] = {}  # by ticket; owed a final answer
        self._hops: dict[tuple[int, int], object] = {}
        self._calls: dict[int, list[Task]] = {}
        categories = read_categories(fields)
        self._categories = {each.name: each for each in categories}
        self._plans = {each.name: each for each in read_plans(fields)}
        self._must_ask = fields.get("RegistryMode", "automatic") == "subscribe"
        self.clock = clock
        self.engine = Engine(self, clock)
        self.module = Limiter(
            clock,
            fields.integer("Entropy", 0),
            read_placement(fields),
            read_counter_settings(fields),
            categories,
            read_server_rules(fields),
            read_permissions(fields),
        )

    # ---- what the engine wants carried out

    def send(self, hop) -> None:
        ticket = hop.operation.handle
        self._hops[ticket, hop.number] = hop
        self.lines.append(f"PLACE{self._line} Ticket={ticket} Server={hop.server.address}")

    def cancel(self, hop) -> None:
        ticket = hop.operation.handle
        if (ticket, hop.number) in self._hops:
            self.lines.append(f"WITHDRAW{self._line} Ticket={ticket} SendNo={hop.number}")

    def reject(self, operation: Operation, answer: Reject) -> None:
        ticket = operation.handle
        if self._held.pop(ticket, None) is None:
            raise RuntimeError("a second final answer for one operation")
        if answer.reason is RejectReason.FAILED:
            self.lines.append(f"RESPOND_ERROR{self._line} Ticket={ticket}")
        else:
            advice = f" StayAway={format_ms(answer.retry_after_us)}" if answer.retry_after_us > 0 else ""
            self.lines.append(f"OVERLOAD_REPLY{self._line} Ticket={ticket}{advice}")

    def add_to_counter(self, task: Task, add: AddToCounter) -> None:
        self._calls.setdefault(add.counter_id, []).append(task)
        self.lines.append(
            f"POST_AMOUNT{self._line} Lives={format_ms(add.ttl_us)} Counter={add.counter_id} "
            f"Step={add.amount:.6g}"
        )

    def log(self, text: str) -> None:
        self.lines.append(f"RECORD{self._line} Words={text}")

    def schedule_wakeup(self, when_us: int) -> None:
        self._tag += 1
        self.lines.append(f"DEFER{self._line} Time={format_ms(when_us)} Tag={self._tag}")

    def subscribe_to_changes(self) -> None:
        self.lines.append(f"STREAM_CHANGES{self._line} Want=1")

    # ---- what the wire brings

    def _on_order(self, fields: Fields) -> None:
        now = self.clock.now_us
        ticket = fields.integer("Ticket")
        plan = fields.choice("Terms", self._plans)
        operation = Operation(
            customer=fields.text("UserKey"),
            plan=plan,
            category=fields.choice("Category", self._categories),
            units=fields.number("CostUnits", 1.0),
            arrived_us=now,
            deadline_us=now + fields.duration_us("TimeBudget"),
            gateway_count=max(1, fields.integer("EntryPoints", 1)),
            first_gateway_index=fields.integer("FirstDoor", 0),
            is_client_retry=fields.boolean("AgainByClient"),
            handle=ticket,
        )
        self._held[ticket] = operation
        self.engine.run(self.module.handle(operation), operation)

    def _on_completed(self, fields: Fields) -> None:
        ticket, number = fields.integer("Ticket"), fields.integer("SendNo", 0)
        outcome = fields.choice("StateCode", wire.OUTCOMES)
        hop = self._hops.pop((ticket, number), None)
        if hop is None:
            return
        closed = fields.boolean("DoneFlag") or outcome is AttemptOutcome.OK
        report = AttemptResult(
            outcome,
            fields.duration_us("Duration"),
            closed,
            wire.load_report(fields.get("Stats")),
            fields.number("FinalUnits"),
            fields.integer("Metered", 0),
        )
        self.module.on_attempt_finished(hop, report)
        if ticket in self._held:
            if closed:
                del self._held[ticket]
            self.engine.attempt_finished(hop, report)

    def _on_opened(self, fields: Fields) -> None:
        operation = self._held.get(fields.integer("Ticket"))
        if operation is not None:
            self.engine.wake(operation, WakeReason.RESPONSE_STARTED)

    def _on_expired(self, fields: Fields) -> None:
        operation = self._held.pop(fields.integer("Ticket"), None)
        if operation is not None:
            operation.is_abandoned = True
            self.engine.wake(operation, WakeReason.CLIENT_GONE)

    def _on_counter_reply(self, fields: Fields) -> None:
        waiting = self._calls.get(fields.integer("Counter"))
        if not waiting:
            return
        tally = fields.choice("StateCode", wire.COUNTER_OUTCOMES)
        if tally is CounterOutcome.ADDED and "ResultValue" not in fields:
            raise MalformedInputError("ResultValue is missing")
        name = fields.integer("Counter")
        task = waiting.pop(0)
        if not waiting:
            del self._calls[name]
        self.engine.counter_replied(task, CounterReply(tally, fields.number("ResultValue")))

    def _on_topology(self, form: str, entries: list[ServerEndpoint]) -> None:
        if form != "unavailable":
            self.module.update_servers(entries, form != "update")
        if self._must_ask and form in ("restored", "unavailable"):
            # The bench sends changes only to those that asked, and stops after a failure.
            self.subscribe_to_changes()

    def _on_status(self, fields: Fields) -> None:
        fields.text("Server")

    def _on_peer(self, fields: Fields) -> None:
        fields.integer("Neighbour")

    def _on_wakeup(self, fields: Fields) -> None:
        self.engine.run_due_timers(ticked=fields.integer("Tag") == self._tag)


class Host:
    """All instances of one process."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._pools: dict[int, list[ServerEndpoint]] = {}
        self._now = 0
        self.lines: list[str] = []

    def clock(self, fields: Fields) -> None:
        if "SimTime" not in fields:
            raise MalformedInputError("SimTime is missing")
        self._now = fields.duration_us("SimTime")

    def pool(self, number: int, entries: list[ServerEndpoint]) -> None:
        self._pools[number] = entries

    def event(self, name: str, fields: Fields) -> None:
        number = fields.integer("LimiterId")
        if name == "CONFIGURE":
            self._instances[number] = Instance(number, fields, Clock(self._now), self.lines)
            return
        method = _METHODS.get(name)
        if name == "TOPOLOGY":
            form = fields.text("Form")
            if form not in wire.TOPOLOGY_FORMS:
                raise MalformedInputError(f"Form is unknown: {form!r}")
            entries = []
            if form != "unavailable":
                pool = fields.integer("Buffer")
                if pool not in self._pools:
                    raise MalformedInputError(f"Buffer names no list: {pool}")
                entries = self._pools[pool]
        elif name == "DOWN":
            self._instances.pop(number, None)
            return
        elif method is None:
            wire.reject_unknown_message(name)
        instance = self._instances.get(number)
        if instance is None:
            raise MalformedInputError(f"LimiterId {number} has not been configured")
        try:
            if instance.clock.now_us != self._now:
                instance.clock.now_us = self._now
                instance.engine.run_due_timers()
            if name == "TOPOLOGY":
                instance._on_topology(form, entries)
            else:
                method(instance, fields)
        except MalformedInputError:
            raise
        except Exception as fault:
            where = fault.__traceback__
            while where.tb_next is not None:
                where = where.tb_next
            place = f"{where.tb_frame.f_code.co_name} line {where.tb_lineno}"
            words = " ".join(f"{type(fault).__name__} in {place} on {name}: {fault}".split())
            self.lines.append(f"BUG LimiterId={number} Words={words}")


_METHODS = {
    "ORDER": Instance._on_order,
    "COMPLETED": Instance._on_completed,
    "OPENED": Instance._on_opened,
    "EXPIRED": Instance._on_expired,
    "TALLY_BACK": Instance._on_counter_reply,
    "STATUS_BACK": Instance._on_status,
    "PEER": Instance._on_peer,
    "TICK_DUE": Instance._on_wakeup,
}
