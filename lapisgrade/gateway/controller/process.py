"""One controller as a process: the core, its disk, the talk with other controllers, proxies, servers,
operators."""

import asyncio
import logging
import os
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

import msgspec

from lapisgrade.net.http import Message as Http
from lapisgrade.gateway import SECOND, STARTED_US, api, rpc_messages, configuration
from lapisgrade.gateway.clock import now_us
from lapisgrade.gateway.consensus.membership import MIN_VOTERS
from lapisgrade.gateway.consensus.messages import Entry, JoinRequest, LeaveRequest
from lapisgrade.gateway.consensus.messages import Message as ConsensusMessage
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite, Effects, Record
from lapisgrade.gateway.storage.log_store import Damaged, LogStore
from lapisgrade.gateway.http_server import HttpServer
from lapisgrade.gateway.settings import Address, Bad, Settings, address
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.controller.state_machine import (
    Answer,
    MergeDraft,
    Change,
    CloseDraft,
    Item,
    StateMachine,
    ServerLeaving,
    encoded,
)
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.controller.drafts import DraftService
from lapisgrade.gateway.controller.replies import named, said
from lapisgrade.gateway.storage.draft_store import DraftStore
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.rpc import DIAL, RpcEndpoint

log = logging.getLogger("controller")

LEAVE = 0.6  # s that a node which shuts down waits to be taken out of the voters
COMMIT = 0.85  # s that a caller waits for a majority; callers move on after a second of silence
LEADER = 0.7  # s that a call waits for a leader to be there
RELAY = 0.9  # s that a call passed on may take
JOIN = 0.3  # s between offers of a disk that hears no leader

TOLD_US = 200  # us of the leader's processor that one proxy's answer takes, at most
MAX_FAN_OUT_US = 250_000  # us between two rounds of news, at most: far inside all bounds on news

_RECORD = msgspec.msgpack.Decoder(Record)
_DRAFT = msgspec.msgpack.Decoder(Draft)


class Controller:
    """`run` until `end` is called."""

    def __init__(self, settings: Settings, clock: Callable[[], int] = now_us) -> None:
        """`clock` tells the steady time in us."""
        self.settings, self.now = settings, clock
        self._started = STARTED_US if clock is now_us else clock()
        self.inner = settings.inner(0)
        self.counts: Counter[str] = Counter()
        self.random = Random(int.from_bytes(os.urandom(8), "big"))
        self.state_machine = StateMachine()
        self.node: Node | None = None
        self._writer: LogWriter | None = None
        self.log_store = LogStore(settings.datadir) if settings.datadir else None
        self.watch = Watch(int(settings.heartbeat), self.now())
        self.rpc = RpcEndpoint(rpc_messages.Message, self._answer, self._word)
        self.ctl = HttpServer(self._called, configuration.MOST_BYTES)
        self.readyz = HttpServer(self._asked_ready, 4096)
        self._disk = ThreadPoolExecutor(1, "disk")
        self.draft_store = DraftStore(settings.datadir, self._disk) if settings.datadir else None
        self.drafts = DraftService(self)
        self._waiting: dict[tuple[int, int], asyncio.Future] = {}  # proposals, by index and term
        self._turned = asyncio.Event()  # set, and made anew, when a proxy may have news
        self._turned_us = 0  # when it was set last
        self._turning: asyncio.TimerHandle | None = None  # that is to set it next
        self._timer: asyncio.TimerHandle | None = None
        self._end = asyncio.Event()
        self._led = False
        self._leader_hint = ""

    # ---- life

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        if self.log_store is not None:
            records = await loop.run_in_executor(self._disk, self._recover)
            self._found(records)
            tasks = [loop.create_task(self._writer.run()), loop.create_task(self._offer())]
            await self.draft_store.recover()
            self.drafts.hand_in()
        else:
            tasks = []
        await self.rpc.listen(self.inner)
        bind = self.settings.bind
        if bind.ctl is not None:
            await self.ctl.listen(bind.ctl)
        if bind.readyz is not None and bind.http is None:
            await self.readyz.listen(bind.readyz)
        self._step()
        try:
            await self._end.wait()
            self.ctl.closing = True
            await self._bow_out()
        finally:
            for task in tasks:
                task.cancel()
            self.drafts.close()
            for timer in (self._timer, self._turning):
                if timer is not None:
                    timer.cancel()
            self._disk.shutdown(wait=True, cancel_futures=True)
            if self.log_store is not None:
                self.log_store.close()
                self.draft_store.close()
            self.ctl.close()
            self.readyz.close()
            self.rpc.close()
            log.info("counts %s", dict(self.counts))

    def end(self) -> None:
        self._end.set()

    def reload(self, settings: Settings) -> None:
        self.settings = settings

    async def _bow_out(self) -> None:
        """Hand leadership over, and have the leader count on this node no more where others are enough."""
        node = self.node
        if node is not None:
            node.step_down()
            self._step()
            ends = self.now() + int(LEAVE * SECOND)
            while len(node.voters) > MIN_VOTERS and node.identity in node.voters and self.now() < ends:
                if node.leader_address:
                    self._post(node.leader_address, LeaveRequest(node.identity))
                await asyncio.sleep(LEAVE / 12)
        await asyncio.sleep(0.15)  # the last messages go out

    def _recover(self) -> list[Record]:
        try:
            return [_RECORD.decode(each) for each in self.log_store.recover()]
        except (Damaged, OSError, msgspec.MsgspecError) as wrong:
            log.warning("the disk can't be read and counts as empty: %s", wrong)
            return []

    def _found(self, records: list[Record]) -> None:
        """Begin as the node that the disk tells, or as a new one."""
        now = self.now()
        if records:
            self.node = Node.recover(records, str(self.inner), self.random, now, self._started)
            entries = len(self.node.log.entries)
            log.info(
                "recovered term %d, %d entries after %d",
                self.node.term,
                entries,
                self.node.log.snapshot_index,
            )
        else:
            # The first disks of all are named by their place, so that each knows the others'.
            first = {f"first-{each[0]}": f"{each[0]}:{self.inner[1]}" for each in self.settings.peers}
            name = f"first-{self.settings.ip}"
            if not self.settings.bootstrap or name not in first:
                name, first = f"disk-{self.random.getrandbits(64):016x}", {}
            self.node = Node(name, str(self.inner), self.random, now, first)
            log.info("an empty disk, named %s", name)
        self._writer = LogWriter(self.node, self.log_store, self._disk, self.counts, self._written)

    # ---- the node's effects

    def _step(self) -> None:
        """Carry out the node's effects, and wake it in time."""
        node = self.node
        if node is None:
            return
        while self._carry_out(node):
            pass
        if node.needs_compaction:
            node.compact(self.state_machine.dump())
            self._carry_out(node)
        self._follow_leadership(node)
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0005, (node.next_tick_us - self.now()) / SECOND)
        self._timer = asyncio.get_running_loop().call_later(wait, self._due)

    def _carry_out(self, node: Node) -> bool:
        """Whether the node said something to itself, which may have had effects of its own."""
        effects, node.effects = node.effects, Effects()
        if effects.snapshot is not None:
            self.state_machine.load(effects.snapshot)
            self._applied()
        for entry in effects.committed:
            self._commit(entry)
        for write in effects.writes:
            self._writer.put(write)
        own = []
        for to, message in effects.sends:
            own.append(message) if to == node.address else self._post(to, message)
        for message in own:
            node.receive(self.now(), message)
        return bool(own)

    def _follow_leadership(self, node: Node) -> None:
        # Not before the log of earlier terms is applied: a node that was started anew has an empty state
        # until then, and a list of live proxies begun from that would leave out proxies that still act.
        if node.has_committed_in_term == self._led:
            return
        self._led = node.has_committed_in_term
        log.info("term %d: %s", node.term, "leads" if self._led else "follows")
        self.counts["elections won"] += self._led
        if self._led:
            self.watch.lead(self.now(), node.term, self.state_machine.state)
        else:
            self._give_up()
        self._turn()

    def _due(self) -> None:
        self.node.tick(self.now())
        if self._led and self.watch.due(self.now()):
            self._turn()
        if self._leads():
            now, state = self.now(), self.state_machine.state
            self._order(
                self.watch.activation(now, state),
                self.watch.live_proxies(now, state),
                self.watch.server_snapshot(now, state),
            )
        self._step()

    def _order(self, *items: Item | None) -> None:
        """What the leader itself puts into the log."""
        for item in items:
            if item is not None:
                self.counts[f"entries of {type(item).__name__.lower()}"] += 1
                self.node.propose(encoded(item))

    async def _look(self, name: str, place: str) -> None:
        """A proxy was refused where another one lives: its process is gone if we are refused too."""
        try:
            async with asyncio.timeout(DIAL):
                _, writer = await asyncio.open_connection(*address(place))
            writer.close()
        except ConnectionRefusedError:
            self.counts["proxies refused"] += 1
            self.watch.refused(name, place)
        except (OSError, TimeoutError, ValueError):
            pass

    def _post(self, to: str, message: ConsensusMessage) -> None:
        try:
            self.rpc.post(address(to), message)
        except ValueError:
            self.counts["addresses refused"] += 1

    def _commit(self, entry: Entry) -> None:
        if entry.voters is not None:
            self.counts["changes of voters"] += 1
            log.info("voters: %s", sorted(entry.voters.values()))
        answer = Answer(200)
        if entry.data:
            answer = self.state_machine.take(entry.index, entry.data)
            self.counts["entries"] += 1
            self._applied()
        future = self._waiting.pop((entry.index, entry.term), None)
        if future is not None and not future.done():
            future.set_result(answer)

    def _applied(self) -> None:
        if self._led:
            self.watch.leaves(self.now(), self.state_machine.state.left)
        self._turn()

    def _turn(self) -> None:
        """Wake the proxies that wait for news, all changes of a moment together: at once where none were
        told for a while."""
        if self._turning is not None:
            return
        pause = (self._turned_us + fan_out_us(len(self.watch.proxies)) - self.now()) / SECOND
        if pause <= 0:
            self._wake()
        else:
            self._turning = asyncio.get_running_loop().call_later(pause, self._wake)

    def _wake(self) -> None:
        self._turning, self._turned_us = None, self.now()
        turned, self._turned = self._turned, asyncio.Event()
        turned.set()

    def _give_up(self) -> None:
        """What was proposed may still come into force, under another leader."""
        waiting, self._waiting = self._waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_result(None)

    async def _propose(self, data: bytes) -> Answer | None:
        """The log's word on a change; None where there is none yet, and it may come into force."""
        place = self.node.propose(data)
        if place is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self._waiting[place] = future
        self._step()
        try:
            async with asyncio.timeout(COMMIT):
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(place, None)

    def _written(self, writes: list[DurableWrite], last_index: int, last_term: int) -> None:
        """Those are on disk: what waited for them may be said."""
        node = self.node
        node.on_write_durable(self.now(), last_index, last_term)
        for write in writes:
            for to, message in write.sends_when_durable:
                if to == node.address:
                    node.receive(self.now(), message)
                else:
                    self._post(to, message)
        self._step()

    async def _offer(self) -> None:
        """Offer this disk to whoever leads, while no leader is heard."""
        while True:
            await asyncio.sleep(JOIN * (0.5 + self.random.random()))
            one = self.node
            quiet = not one.is_leader and (not one.leader or one.identity not in one.voters)
            if quiet and not one.is_stopping:
                places = {f"{each[0]}:{self.inner[1]}" for each in self.settings.peers}
                places |= set(one.voters.values()) | ({one.leader_address} if one.leader_address else set())
                for place in sorted(places - {one.address, ""}):
                    self._post(place, JoinRequest(one.identity, one.address))

    # ---- what others say

    def _word(self, message: rpc_messages.Message) -> None:
        if self.node is not None and isinstance(message, ConsensusMessage):
            self.node.receive(self.now(), message)
            self._step()

    async def _answer(self, message: rpc_messages.Message) -> rpc_messages.Message | None:
        if isinstance(message, rpc_messages.WatchRequest):
            return await self._news(message)
        if isinstance(message, rpc_messages.ForwardCall):
            if not self._leads():
                return rpc_messages.ForwardCallReply(503)
            return await self._lead(message.call, message.subject, message.body)
        if isinstance(message, rpc_messages.CopyDraft):
            return rpc_messages.CopyDraftReply(await self.drafts.keep(message.draft) == 200)
        return None

    def _leads(self) -> bool:
        if self.node is not None:
            self.node.advance_clock(self.now())
        return self._led and self.node.has_lease()

    def controllers(self) -> list[str]:
        """Where questions of proxies are answered."""
        return sorted(set(self.node.voters.values())) if self.node is not None else []

    async def _news(self, ask: rpc_messages.WatchRequest) -> rpc_messages.WatchReply:
        """Answer a proxy when there is news, or after a while with none."""
        self.counts["asks"] += 1
        for name in ask.unreachable_proxies[:16]:
            known = self.watch.proxies.get(name)
            if known is not None and self._leads():
                asyncio.get_running_loop().create_task(self._look(name, known.address))
        ends = self.now() + self.watch.HOLD
        while True:
            if not self._leads():
                leader = self.node.leader_address if self.node is not None else self._leader_hint
                return rpc_messages.WatchReply(
                    False, leader if leader != str(self.inner) else "", self.controllers()
                )
            news = self.watch.news(self.now(), ask, self.state_machine.state, self.controllers())
            activation = self.watch.activation(self.now(), self.state_machine.state)
            if activation is not None:
                self._order(activation)
                self._step()
            wait = (ends - self.now()) / SECOND
            if news is not None or wait <= 0:
                return news or self.watch.quiet(ask, self.state_machine.state, self.controllers())
            ask = self.watch.noted(ask)
            turned = self._turned
            try:
                async with asyncio.timeout(wait):
                    await turned.wait()
            except TimeoutError:
                pass

    # ---- calls of servers and operators

    async def _asked_ready(self, message: Http) -> tuple[int, bytes, bytes]:
        return (200, b"", b"") if not self.ctl.closing else (503, b"", b"")

    async def _called(self, message: Http) -> tuple[int, bytes, bytes]:
        found = api.called(message.head.method.decode(), message.head.target.decode("latin-1"))
        if isinstance(found, int):
            return found, b'{"Err":"no such call"}', b""
        call, of = found
        self.counts[f"call {call.name}"] += 1
        if message.size > call.most:
            return 413, b'{"Err":"the body is too long"}', b""
        body = b"".join(message.body)
        if call.name == "conf.draft":
            answer = await self.drafts.take(body)
        else:
            answer = await self.forward(call.name, of, body)
            if call.name == "conf.drafts":
                answer = self.drafts.listed(answer)
        self.counts[f"answer {call.name} {answer.status}"] += 1
        return answer.status, answer.body, b""

    async def forward(self, call: str, of: str, body: bytes) -> rpc_messages.ForwardCallReply:
        """Have the leader answer, here or elsewhere, as soon as there is one."""
        loop, ends = asyncio.get_running_loop(), self.now() + int(LEADER * SECOND)
        while True:
            if self._leads():
                return await self._lead(call, of, body)
            leader = self.node.leader_address if self.node is not None else self._leader_hint
            if leader and leader != str(self.inner):
                got = await self.rpc.call(address(leader), rpc_messages.ForwardCall(call, of, body), RELAY)
                answer = got.value_or(None)
                if isinstance(answer, rpc_messages.ForwardCallReply) and answer.status != 503:
                    return answer
            if self.node is None:
                await self._find(loop)
            if self.now() > ends:
                return rpc_messages.ForwardCallReply(503, b'{"Err":"no leader is known"}')
            await asyncio.sleep(0.03)

    async def _find(self, loop: asyncio.AbstractEventLoop) -> None:
        """A controller without a disk asks who leads."""
        places = [Address((each[0], self.inner[1])) for each in self.settings.peers]
        place = self.random.choice([each for each in places if each != self.inner] or [self.inner])
        got = await self.rpc.call(place, rpc_messages.WatchRequest("", "", "", "", 0, "", 0, 0), 0.2)
        news = got.value_or(None)
        if isinstance(news, rpc_messages.WatchReply):
            self._leader_hint = str(place) if news.is_leader else news.leader_address

    async def _lead(self, call: str, of: str, body: bytes) -> rpc_messages.ForwardCallReply:
        try:
            match call:
                case "servers.heartbeat":
                    return await self._beat(of, body)
                case "servers.deregister":
                    return await self._log(ServerLeaving(of, True))
                case "conf.show":
                    state = self.state_machine.state
                    return (
                        rpc_messages.ForwardCallReply(200, state.conf)
                        if state.conf
                        else rpc_messages.ForwardCallReply(404, b'{"Err":"there is no configuration yet"}')
                    )
                case "conf.status":
                    status = self.watch.status(self.now(), self.state_machine.state)
                    return rpc_messages.ForwardCallReply(
                        200, msgspec.json.encode({**status, **self._voters()})
                    )
                case "conf.drafts":
                    open_drafts = [
                        three_way.told(*each) for each in self.state_machine.open_drafts().values()
                    ]
                    return rpc_messages.ForwardCallReply(200, msgspec.json.encode(open_drafts))
                case "conf.settle":
                    return await self._settle_draft(named(body))
                case "conf.close":
                    return await self._log(CloseDraft(named(body)))
                case "drafts.hand":
                    return await self._log(MergeDraft(_DRAFT.decode(body)))
                case _:
                    return await self._change(Change(call == "conf.replace", body))
        except Bad as wrong:
            return said(Answer(400, str(wrong)))
        except msgspec.MsgspecError:
            return said(Answer(400, "not a draft"))

    async def _beat(self, of: str, body: bytes) -> rpc_messages.ForwardCallReply:
        server, state = api.beat(of, body)
        if state == "drain" and of not in self.state_machine.state.left:
            # Its word must outlive us: it ends some time after our answer.
            answer = await self._log(ServerLeaving(of, False))
            if answer.status != 200:
                return answer
        if self.watch.beat(self.now(), server):
            self._turn()
        return rpc_messages.ForwardCallReply(200, b"{}")

    def _voters(self) -> dict:
        """For operators: who leads, and the disks that a majority is counted of."""
        node, now = self.node, self.now()
        heard = {name: each.last_contact_us for name, each in node.followers.items()}
        heard[node.identity] = now
        voters = [
            {"Id": name, "At": place, "HeardMs": (now - heard.get(name, 0)) // 1000}
            for name, place in sorted(node.voters.items())
        ]
        return {"Leader": str(self.inner), "Term": node.term, "Voters": voters}

    async def _change(self, change: Change) -> rpc_messages.ForwardCallReply:
        answer, version = self.state_machine.accepted(change)
        if version is None:  # refused, or taken before: it needs no place in the log
            return said(answer)
        return await self._log(version)

    async def _settle_draft(self, name: str) -> rpc_messages.ForwardCallReply:
        """What was set aside of a draft comes into force, as a change on top of the newest version."""
        found, state = self.state_machine.open_drafts().get(name), self.state_machine.state
        if found is None or not found[1].open:
            return said(Answer(404, "no such draft is open"))
        draft, outcome = found
        paths = {each.path for each in outcome.aside}
        operations = [each for each in draft.ops if outcome.wrong or each.path in paths]
        made = three_way.forced(msgspec.json.decode(state.conf), operations)
        body = {**made, "Ver": state.ver + 1, "Base": state.ver}
        answer = await self._change(Change(True, msgspec.json.encode(body)))
        return await self._log(CloseDraft(name)) if answer.status == 200 else answer

    async def _log(self, item: Item) -> rpc_messages.ForwardCallReply:
        answer = await self._propose(encoded(item))
        if answer is None:
            return rpc_messages.ForwardCallReply(
                504, b'{"Err":"no majority has it yet; it may come into force"}'
            )
        return said(answer)


def fan_out_us(proxies: int) -> int:
    """Time in us from one round of news to so many proxies to the next: twice what telling them takes.

    Guards the leader where hundreds of servers come or go at once: told one by one, each change costs an
    answer to every proxy, and heartbeats and beats wait behind them.
    """
    return min(2 * TOLD_US * proxies, MAX_FAN_OUT_US)
