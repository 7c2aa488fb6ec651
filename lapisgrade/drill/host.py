"""Hosts the instances of a drill: carries the wire's events to them and their actions back."""

from lapisgrade import start
from lapisgrade.decide import Limiter
from lapisgrade.drill import wire
from lapisgrade.drill.wire import ms
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
from lapisgrade.start import Fields, Malformed


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
        categories = start.categories(fields)
        self._categories = {each.name: each for each in categories}
        self._plans = {each.name: each for each in start.plans(fields)}
        self._must_ask = fields.get("RegistryMode", "automatic") == "subscribe"
        self.clock = clock
        self.engine = Engine(self, clock)
        self.module = Limiter(
            clock,
            fields.whole("Entropy", 0),
            start.post(fields),
            start.desk(fields),
            categories,
            start.duties(fields),
            start.leave(fields),
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

    def answer(self, operation: Operation, answer: Reject) -> None:
        ticket = operation.handle
        if self._held.pop(ticket, None) is None:
            raise RuntimeError("a second final answer for one operation")
        if answer.reason is RejectReason.FAILED:
            self.lines.append(f"RESPOND_ERROR{self._line} Ticket={ticket}")
        else:
            advice = f" StayAway={ms(answer.retry_after_us)}" if answer.retry_after_us > 0 else ""
            self.lines.append(f"OVERLOAD_REPLY{self._line} Ticket={ticket}{advice}")

    def add(self, task: Task, add: AddToCounter) -> None:
        self._calls.setdefault(add.counter_id, []).append(task)
        self.lines.append(
            f"POST_AMOUNT{self._line} Lives={ms(add.ttl_us)} Counter={add.counter_id} Step={add.amount:.6g}"
        )

    def say(self, text: str) -> None:
        self.lines.append(f"RECORD{self._line} Words={text}")

    def wake_at(self, when_us: int) -> None:
        self._tag += 1
        self.lines.append(f"DEFER{self._line} Time={ms(when_us)} Tag={self._tag}")

    def watch(self) -> None:
        self.lines.append(f"STREAM_CHANGES{self._line} Want=1")

    # ---- what the wire brings

    def order(self, fields: Fields) -> None:
        now = self.clock.now_us
        ticket = fields.whole("Ticket")
        plan = fields.among("Terms", self._plans)
        operation = Operation(
            customer=fields.text("UserKey"),
            plan=plan,
            category=fields.among("Category", self._categories),
            units=fields.number("CostUnits", 1.0),
            arrived_us=now,
            deadline_us=now + fields.micros("TimeBudget"),
            gateway_count=max(1, fields.whole("EntryPoints", 1)),
            first_gateway_index=fields.whole("FirstDoor", 0),
            is_client_retry=fields.flag("AgainByClient"),
            handle=ticket,
        )
        self._held[ticket] = operation
        self.engine.run(self.module.operation(operation), operation)

    def completed(self, fields: Fields) -> None:
        ticket, number = fields.whole("Ticket"), fields.whole("SendNo", 0)
        outcome = fields.among("StateCode", wire.OUTCOMES)
        hop = self._hops.pop((ticket, number), None)
        if hop is None:
            return
        closed = fields.flag("DoneFlag") or outcome is AttemptOutcome.OK
        report = AttemptResult(
            outcome,
            fields.micros("Duration"),
            closed,
            wire.load_report(fields.get("Stats")),
            fields.number("FinalUnits"),
            fields.whole("Metered", 0),
        )
        self.module.landed(hop, report)
        if ticket in self._held:
            if closed:
                del self._held[ticket]
            self.engine.landed(hop, report)

    def opened(self, fields: Fields) -> None:
        operation = self._held.get(fields.whole("Ticket"))
        if operation is not None:
            self.engine.told(operation, WakeReason.RESPONSE_STARTED)

    def expired(self, fields: Fields) -> None:
        operation = self._held.pop(fields.whole("Ticket"), None)
        if operation is not None:
            operation.is_abandoned = True
            self.engine.told(operation, WakeReason.CLIENT_GONE)

    def tally_back(self, fields: Fields) -> None:
        waiting = self._calls.get(fields.whole("Counter"))
        if not waiting:
            return
        tally = fields.among("StateCode", wire.TALLIES)
        if tally is CounterOutcome.ADDED and "ResultValue" not in fields:
            raise Malformed("ResultValue is missing")
        name = fields.whole("Counter")
        task = waiting.pop(0)
        if not waiting:
            del self._calls[name]
        self.engine.added(task, CounterReply(tally, fields.number("ResultValue")))

    def topology(self, form: str, entries: list[ServerEndpoint]) -> None:
        if form != "unavailable":
            self.module.listed(entries, form != "update")
        if self._must_ask and form in ("restored", "unavailable"):
            self.watch()  # the wire sends changes only to those that asked, and stops after a failure

    def status_back(self, fields: Fields) -> None:
        fields.text("Server")

    def peer(self, fields: Fields) -> None:
        fields.whole("Neighbour")

    def tick_due(self, fields: Fields) -> None:
        self.engine.time(ticked=fields.whole("Tag") == self._tag)


class Host:
    """All instances of one process."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._pools: dict[int, list[ServerEndpoint]] = {}
        self._now = 0
        self.lines: list[str] = []

    def clock(self, fields: Fields) -> None:
        if "SimTime" not in fields:
            raise Malformed("SimTime is missing")
        self._now = fields.micros("SimTime")

    def pool(self, number: int, entries: list[ServerEndpoint]) -> None:
        self._pools[number] = entries

    def event(self, name: str, fields: Fields) -> None:
        number = fields.whole("LimiterId")
        if name == "CONFIGURE":
            self._instances[number] = Instance(number, fields, Clock(self._now), self.lines)
            return
        method = _METHODS.get(name)
        if name == "TOPOLOGY":
            form = fields.text("Form")
            if form not in wire.FORMS:
                raise Malformed(f"Form is unknown: {form!r}")
            entries = []
            if form != "unavailable":
                pool = fields.whole("Buffer")
                if pool not in self._pools:
                    raise Malformed(f"Buffer names no list: {pool}")
                entries = self._pools[pool]
        elif name == "DOWN":
            self._instances.pop(number, None)
            return
        elif method is None:
            wire.unknown(name)
        instance = self._instances.get(number)
        if instance is None:
            raise Malformed(f"LimiterId {number} has not been configured")
        try:
            if instance.clock.now_us != self._now:
                instance.clock.now_us = self._now
                instance.engine.time()
            if name == "TOPOLOGY":
                instance.topology(form, entries)
            else:
                method(instance, fields)
        except Malformed:
            raise
        except Exception as fault:
            where = fault.__traceback__
            while where.tb_next is not None:
                where = where.tb_next
            place = f"{where.tb_frame.f_code.co_name} line {where.tb_lineno}"
            words = " ".join(f"{type(fault).__name__} in {place} on {name}: {fault}".split())
            self.lines.append(f"BUG LimiterId={number} Words={words}")


_METHODS = {
    "ORDER": Instance.order,
    "COMPLETED": Instance.completed,
    "OPENED": Instance.opened,
    "EXPIRED": Instance.expired,
    "TALLY_BACK": Instance.tally_back,
    "STATUS_BACK": Instance.status_back,
    "PEER": Instance.peer,
    "TICK_DUE": Instance.tick_due,
}
