"""A limiter of the quota exploration: a proxy with the production code of quota client and count owner."""

from collections.abc import Callable, Generator
from typing import Any, Protocol

from lapisgrade.engine import Engine
from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.configuration import Tenant
from lapisgrade.gateway.quota.client import QuotaClient
from lapisgrade.gateway.quota.owner import QuotaOwner
from lapisgrade.gateway.quota.ownership import OWNERSHIP_LEASE_US, owner_of
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock, CounterOutcome, CounterReply, Operation
from lapisgrade.lab.explore.watch_proxy import MS, Proxy, ProxyWorld, WatchCall

SLO = Slo()
TENANT = "t"
COUNT_TIMEOUT_US = 150 * MS  # time-out of an add to the count, as in a proxy
HAND_OVER_TIMEOUT_US = 100 * MS  # time-out of the count's hand-over, as in a proxy


class QuotaWorld(ProxyWorld, Protocol):
    """The simulated environment of a limiter."""

    @property
    def tenant(self) -> Tenant:
        """The tenant whose quota is explored."""

    def limiter_named(self, name: str) -> "Limiter | None":
        """Return the limiter with that name, or None."""

    def deliver_between(
        self, sender: "Limiter", receiver: "Limiter", handler: Callable[..., object], *args: Any
    ) -> None:
        """Call a handler after a network delay, unless the message is lost."""

    def on_request_decided(self, is_admitted: bool) -> None:
        """Record the decision on a request of the tenant."""

    def on_granted(self, name: str, fencing_token: int) -> None:
        """Check a grant of the count's owner with that name."""


class Limiter(Proxy):
    """A proxy with a quota client and a count owner; the host of the engine that runs them."""

    world: QuotaWorld

    def start(self) -> None:
        """Start a new incarnation, which owns no count and has no lease."""
        now = self.world.sim.now
        self.clock = Clock(now)
        self.lease_expires_us = 0  # end of its lease as a count owner
        self.engine = Engine(self, self.clock)
        super().start()
        self.quota_owner = QuotaOwner(self.name, str(self.incarnation), now)
        self.quota_client = QuotaClient(self.clock, self.world.tenant, SLO, 1, now)

    def on_watch_reply(self, reply: rpc_messages.WatchReply, call: WatchCall) -> None:
        """Apply a reply as a proxy does, then the list of live proxies to owner and client."""
        is_handled = self.is_awake() and self.is_pending(call)
        super().on_watch_reply(reply, call)
        if not is_handled:
            return
        self.quota_owner.on_watch_reply(self.world.sim.now, reply)
        if reply.fencing_token == self.quota_owner.fencing_token:
            self.lease_expires_us = call.sent_us + OWNERSHIP_LEASE_US
            self.clock.now_us = self.world.sim.now
            self.quota_client.set_proxy_count(len(self.quota_owner.proxies))

    def is_awake(self) -> bool:
        """Whether the process is running, not frozen."""
        return self.world.sim.now >= self.frozen_until_us

    def when_awake(self, incarnation: int, handler: Callable[..., object], *args: Any) -> None:
        """Call a handler now or when the process wakes, unless it has restarted by then."""
        if not self.is_awake():
            self.world.sim.at(self.frozen_until_us, self.when_awake, incarnation, handler, *args)
        elif incarnation == self.incarnation:
            self.clock.now_us = max(self.clock.now_us, self.world.sim.now)
            handler(*args)

    # ---- client of the count

    def request(self) -> None:
        """Have the quota client admit or reject a request of the tenant."""
        unused: Any = None  # the quota client reads neither plan nor category
        now_us = self.clock.now_us
        operation = Operation(TENANT, unused, unused, 1.0, now_us, now_us + 2 * SECOND, 1)

        def run() -> Generator[Any, Any, None]:
            admission: Any = self.quota_client.admit(operation)
            retry_after = yield from admission
            self.world.on_request_decided(retry_after is None)

        self.engine.run(run(), operation)

    def add_to_counter(self, task: Any, add: Any) -> None:
        """Send an add to the count's owner; its result is the reply or the time-out, whichever is first."""
        world, incarnation = self.world, self.incarnation
        owner = world.limiter_named(owner_of(TENANT, self.quota_owner.eligible_owners))
        request = self.quota_client.quota_request(self.name, self.quota_owner.fencing_token)
        replies: list[CounterReply] = []

        def on_first_reply(reply: CounterReply) -> None:
            if not replies:
                replies.append(reply)
                self.on_counter_reply(task, reply)

        def on_quota_reply(reply: rpc_messages.QuotaReply) -> None:
            on_first_reply(self._counter_reply(reply))

        if owner is None:
            rejected = CounterReply(CounterOutcome.REJECTED)
            world.sim.after(0, self.when_awake, incarnation, on_first_reply, rejected)
        elif owner is self:
            self.after_hand_over(
                request,
                lambda: world.sim.after(0, self.when_awake, incarnation, on_quota_reply, self.add(request)),
            )
        else:
            timed_out = CounterReply(CounterOutcome.TIMED_OUT)
            world.sim.after(COUNT_TIMEOUT_US, self.when_awake, incarnation, on_first_reply, timed_out)
            world.deliver_between(
                self, owner, self._on_request_at, owner, request, incarnation, on_quota_reply
            )

    def _counter_reply(self, reply: rpc_messages.QuotaReply) -> CounterReply:
        if not reply.is_accepted:
            return CounterReply(CounterOutcome.REJECTED)
        self.quota_client.sharing_limiter_count = max(1, reply.active_limiters)
        return CounterReply(CounterOutcome.ADDED, reply.total)

    def on_counter_reply(self, task: Any, reply: CounterReply) -> None:
        """Pass the result of an add to the engine."""
        self.engine.counter_replied(task, reply)

    # ---- owner of the count

    def _on_request_at(
        self,
        owner: "Limiter",
        request: rpc_messages.QuotaRequest,
        incarnation: int,
        on_reply: Callable[[rpc_messages.QuotaReply], None],
    ) -> None:
        """Handle this limiter's add at the count's owner, and send the reply back.

        Args:
            owner: The owner of the count, at which the request has arrived.
            request: The request.
            incarnation: This limiter's incarnation when it sent the request; another one gets no reply.
            on_reply: Called with the reply.
        """

        def add_and_reply() -> None:
            reply = owner.add(request)
            self.world.deliver_between(owner, self, self.when_awake, incarnation, on_reply, reply)

        owner.when_awake(owner.incarnation, owner.after_hand_over, request, add_and_reply)

    def after_hand_over(self, request: rpc_messages.QuotaRequest, then: Callable[[], object]) -> None:
        """Call `then` once the previous owner has handed the count over, or on a time-out."""
        world, owner, incarnation = self.world, self.quota_owner, self.incarnation
        token = owner.fencing_token
        name = owner.predecessor(world.sim.now, request.tenant) if owner.owns(request.tenant) else ""
        predecessor = world.limiter_named(name)
        if predecessor is None or predecessor is self:
            then()
            return
        # Not empty once `then` was called, by the reply or the time-out, whichever was first.
        calls: list[bool] = []

        def call_once() -> None:
            if not calls:
                calls.append(True)
                then()

        def on_reply(reply: rpc_messages.HandOverReply) -> None:
            if owner is self.quota_owner and owner.fencing_token == token:
                owner.on_hand_over_reply(world.sim.now, hand_over, reply, name)
            call_once()

        hand_over = rpc_messages.HandOverRequest(
            request.tenant, self.name, token, request.rate, request.burst, owner.incarnation
        )

        def on_request() -> None:
            reply = predecessor.quota_owner.answer_hand_over(world.sim.now, hand_over)
            world.deliver_between(predecessor, self, self.when_awake, incarnation, on_reply, reply)

        world.deliver_between(self, predecessor, predecessor.when_awake, predecessor.incarnation, on_request)
        world.sim.after(HAND_OVER_TIMEOUT_US, self.when_awake, incarnation, call_once)

    def add(self, request: rpc_messages.QuotaRequest) -> rpc_messages.QuotaReply:
        """Add to the count that this limiter owns."""
        reply = self.quota_owner.add(self.world.sim.now, request, self.lease_expires_us)
        if reply.is_accepted:
            self.world.on_granted(self.name, self.quota_owner.fencing_token)
        return reply

    # ---- other methods of the engine's host

    def schedule_wakeup(self, when_us: int) -> None:
        """Run the engine's timers at that time."""
        self.world.sim.at(when_us, self.when_awake, self.incarnation, self.engine.run_due_timers, True)

    def reject(self, operation: Any, answer: Any) -> None:
        """Do nothing; clients are not simulated."""

    def send(self, attempt: Any) -> None:
        """Do nothing; servers are not simulated."""

    def cancel(self, attempt: Any) -> None:
        """Do nothing; servers are not simulated."""

    def log(self, text: str) -> None:
        """Discard a log line."""
