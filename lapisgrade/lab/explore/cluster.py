"""controllers in simulated time: lossy links, cuts, kills, disks that lose what was not synced or all of
it."""

import heapq
from random import Random

import msgspec

from lapisgrade.gateway.consensus.messages import JoinRequest
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import Record, SnapshotRecord

RECORD = msgspec.msgpack.Decoder(Record)
SECOND = 1_000_000


class Cluster:
    """Some controllers and the world between them. `acked` holds what a leader said is committed, `wrong`
    what broke an invariant as it was seen, `said` what happened, for people."""

    def __init__(self, seed: int, names: str = "abc") -> None:
        self.random, self.now, self._order = Random(seed), 0, 0
        self.events: list = []
        self.cut: set[tuple[str, str]] = set()
        self.controllers: dict[str, Node | None] = {}
        self.disk: dict[str, list[bytes]] = {}
        self.lives: dict[str, int] = {}
        self.taken: dict[str, list[bytes]] = {}
        self.acked: dict[bytes, tuple[str, int]] = {}
        self.leaders: dict[int, str] = {}
        self.written: dict[str, int] = {}
        self.wrong: list[str] = []
        self.said: list[str] = []
        voters = {name: f"10.0.0.{ord(name)}:1" for name in names}
        for name in names:
            self.start(name, dict(voters))

    def place(self, address: str) -> str:
        return chr(int(address.split(".")[3].split(":")[0]))

    def start(self, name: str, voters: dict | None = None, identity: str = "") -> None:
        address, life = f"10.0.0.{ord(name)}:1", self.lives.get(name, 0) + 1
        self.lives[name], self.taken[name] = life, []
        records = [RECORD.decode(each) for each in self.disk.get(name, [])]
        seed = Random(self.random.random())
        if records:
            controller = Node.recover(records, address, seed, self.now)
        else:
            controller = Node(identity or name, address, seed, self.now, voters)
            self.disk[name] = [msgspec.msgpack.encode(controller.snapshot_record())]
        self.controllers[name] = controller
        self.at(50_000, "join", name, life)
        self.drain(name)
        self.at(0, "due", name, life)

    def kill(self, name: str, wipe: bool = False) -> None:
        """Power is lost: what was not synced is gone, and with `wipe` all of it."""
        self.say(f"{name} is killed" + (", its disk is emptied" if wipe else ""))
        self.controllers[name] = None
        self.lives[name] += 1
        if wipe:
            self.disk[name] = []

    def say(self, what: str) -> None:
        self.said.append(f"{self.now / SECOND:9.3f} s  {what}")

    def break_(self, what: str) -> None:
        self.wrong.append(what)
        self.say(f"WRONG: {what}")

    def at(self, wait: int, *event) -> None:
        self._order += 1
        heapq.heappush(self.events, (self.now + wait, self._order, event))

    def drain(self, name: str) -> None:
        controller = self.controllers[name]
        out = controller.take_effects()
        for write in out.writes:
            # A disk takes one write after another.
            done = max(self.written.get(name, 0) + 1, self.now + self.random.randrange(500, 6000))
            self.written[name] = done
            self.at(done - self.now, "wrote", name, self.lives[name], write)
        self.taken[name] += [each.data for each in out.committed if each.data]
        if controller.is_leader:
            if controller.term not in self.leaders:
                self.say(f"{name} leads term {controller.term}")
            if self.leaders.setdefault(controller.term, name) != name:
                self.break_("two leaders in one term")
            for each in out.committed:
                if each.data:
                    self.acked[each.data] = (name, controller.term)
        for to, message in out.sends:
            self.send(name, self.place(to), message)

    def send(self, source: str, to: str, message) -> None:
        if (source, to) not in self.cut and (source == to or self.random.random() > 0.02):
            self.at(self.random.randrange(300, 5000), "heard", to, message)

    def run(self, seconds: float) -> None:
        ends = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= ends:
            self.now, _, (kind, name, *rest) = heapq.heappop(self.events)
            controller = self.controllers.get(name)
            if controller is None or (kind != "heard" and rest[0] != self.lives[name]):
                continue
            if kind == "due":
                controller.tick(self.now)
                self.at(min(20_000, max(1000, controller.next_tick_us - self.now)), "due", name, rest[0])
            elif kind == "heard":
                controller.receive(self.now, rest[0])
            elif kind == "join":
                if not controller.leader or controller.identity not in controller.voters:
                    for other in self.controllers:
                        self.send(name, other, JoinRequest(controller.identity, controller.address))
                self.at(300_000, "join", name, rest[0])
            else:
                write = rest[1]
                if any(isinstance(each, SnapshotRecord) for each in write.records):
                    self.disk[name] = [msgspec.msgpack.encode(controller.snapshot_record())]
                    controller.on_write_durable(self.now, controller.log.last_index, controller.log.last_term)
                else:
                    self.disk[name] += [msgspec.msgpack.encode(each) for each in write.records]
                    controller.on_write_durable(self.now, write.last_index, write.last_term)
                for to, message in write.sends_when_durable:
                    self.send(name, self.place(to), message)
            self.drain(name)
            if controller.needs_compaction:
                controller.compact(b"|".join(self.taken[name]))
        self.now = ends

    def leader(self) -> str:
        return next(
            (
                name
                for name, controller in self.controllers.items()
                if controller is not None and controller.is_leader
            ),
            "",
        )

    def propose(self, data: bytes) -> str:
        name = self.leader()
        if name:
            self.controllers[name].advance_clock(self.now)
            self.controllers[name].propose(data)
            self.drain(name)
        return name
