"""Members as processes that are killed, paused and partitioned by relays.

Detection must stay within the bounds of docs/design/membership.md.
"""

import asyncio
import sys
import time

import msgspec
import pytest

from lapisgrade.fakes.site import free_port
from lapisgrade.lab.fleet.process import Process, Supervisor
from lapisgrade.lab.fleet.relay import FROM_TARGET, TO_TARGET, Link, UdpRelay
from lapisgrade.members import messages
from lapisgrade.members.host import CODEC
from lapisgrade.members.timing import Timing, detection_bounds_us
from lapisgrade.peers import frame
from lapisgrade.peers.udp import MAX_FRAMES_PER_SECOND

BUSY_FACTOR = 3.0  # multiple of the documented bound that is allowed on a busy machine


class Node:
    """One member's process, its view of the others, and the relay through which they reach it.

    Attributes:
        folder: Folder of the process's log.
        states: Last reported state of each other member, by name.
        last_report: Last line of the process that is not a state change: its address, or counts at its end.
    """

    def __init__(self, name: str, folder) -> None:
        self.name, self.folder, self.port = name, folder, free_port()
        self.relay: UdpRelay | None = None
        self.process: Process | None = None
        self.states: dict[str, str] = {}
        self.last_report: dict = {}
        self._reading: asyncio.Task | None = None

    async def start(self, supervisor: Supervisor, seeds: list[str], link: Link) -> None:
        """Start the process; its relay, with the behavior `link`, is opened at the first start."""
        if self.relay is None:
            self.relay = await UdpRelay(("127.0.0.1", self.port), 1, link).open()
        args = [
            sys.executable,
            "-m",
            "lapisgrade.members",
            self.name,
            f"127.0.0.1:{self.port}",
            *seeds,
            "--at",
            self.relay.address,
        ]
        self.states = {}
        self.process = Process(self.name, args, self.folder / f"{self.name}.log", piped=True)
        await supervisor.start(self.process)
        self._reading = asyncio.create_task(self._read(self.process.child.stdout))

    async def _read(self, stdout: asyncio.StreamReader) -> None:
        while line := await stdout.readline():
            report = msgspec.json.decode(line)
            if "name" in report:
                self.states[report["name"]] = report["state"]
            else:
                self.last_report = report

    async def end(self) -> dict:
        """Stop the process and return its final counts."""
        await self.process.end()
        await self._reading
        return self.last_report


class Fleet:
    """Members as processes, each behind a relay."""

    def __init__(self, folder, count: int, link: Link | None = None) -> None:
        self.nodes = {f"m{i}": Node(f"m{i}", folder) for i in range(count)}
        self.supervisor, self.link = Supervisor(), link or Link()

    async def __aenter__(self):
        await self.supervisor.__aenter__()
        for node in self.nodes.values():
            await node.start(self.supervisor, self.seeds(), self.link)
        await self.until(lambda: self.agree(set(self.nodes)), 30)
        return self

    async def __aexit__(self, *exception):
        await self.supervisor.__aexit__(*exception)
        for node in self.nodes.values():
            await node.relay.close()

    def seeds(self) -> list[str]:
        return [node.relay.address for node in list(self.nodes.values())[:2] if node.relay is not None]

    def live(self) -> list[Node]:
        """Return the nodes whose process runs and is not paused."""
        return [
            node for node in self.nodes.values() if node.process.is_running and not node.process.is_paused
        ]

    def agree(self, names: set[str], among: set[str] | None = None) -> bool:
        """Return whether every live member (of `among`) considers exactly `names` alive."""
        for node in self.live():
            if among is None or node.name in among:
                known = {name for name, state in node.states.items() if state != "dead"}
                if known != names - {node.name}:
                    return False
        return True

    async def until(self, condition, within_s: float) -> None:
        """Wait for the condition; raise AssertionError if it does not hold in time or a process ends."""
        deadline_s = time.monotonic() + within_s
        # Members that run now must keep running; if one ends, the assertion shows the last lines of its log.
        running = [
            node for node in self.nodes.values() if node.process is not None and node.process.is_running
        ]
        while not condition():
            for node in running:
                assert node.process.is_running, f"{node.name} ended: {node.process.log.read_text()[-500:]}"
            known = {node.name: node.states for node in self.live()}
            assert time.monotonic() < deadline_s, known
            await asyncio.sleep(0.02)


def detection_limit_s(count: int, loss_ratio: float = 0.0) -> float:
    """Return the documented bound for `count` members, times BUSY_FACTOR."""
    return BUSY_FACTOR * detection_bounds_us(Timing(), count, loss_ratio, 1)["known"] / 1e6


async def test_all_members_detect_killed_paused_and_restarted_ones(tmp_path):
    async with Fleet(tmp_path, 5) as fleet:
        all_names = set(fleet.nodes)
        for name in ("m0", "m1"):
            await fleet.nodes[name].process.kill()
        await fleet.until(lambda: fleet.agree(all_names - {"m0", "m1"}), detection_limit_s(5))
        await fleet.nodes["m0"].start(fleet.supervisor, [fleet.nodes["m3"].relay.address], fleet.link)
        await fleet.until(lambda: fleet.agree(all_names - {"m1"}), detection_limit_s(5))
        fleet.nodes["m2"].process.pause()
        await fleet.until(lambda: fleet.agree(all_names - {"m1", "m2"}), detection_limit_s(5))
        fleet.nodes["m2"].process.resume()
        await fleet.until(lambda: fleet.agree(all_names - {"m1"}), detection_limit_s(5))
        reports = [await node.end() for node in fleet.live()]
        assert all(report["counts"]["refuted"] >= 0 and report["counts"]["sent"] for report in reports)


@pytest.mark.parametrize(
    "link", [Link(), Link(loss_rate=0.2, duplicate_rate=0.1, reorder_rate=0.1)], ids=["fault-free", "lossy"]
)
async def test_a_partitioned_member_is_declared_dead_and_is_alive_again_after_the_partition_heals(
    link, tmp_path
):
    async with Fleet(tmp_path, 5, link) as fleet:
        all_names, isolated = set(fleet.nodes), fleet.nodes["m4"]
        rest = all_names - {"m4"}
        isolated.relay.link = Link(cut=frozenset({TO_TARGET, FROM_TARGET}))
        for name in rest:
            fleet.nodes[name].relay.blocked_sources.add(isolated.port)
        await fleet.until(
            lambda: fleet.agree(rest, rest) and fleet.agree({"m4"}, {"m4"}),
            2 * detection_limit_s(5, link.loss_rate),
        )
        isolated.relay.link = link
        for name in rest:
            fleet.nodes[name].relay.blocked_sources.clear()
        await fleet.until(lambda: fleet.agree(all_names), 60)


async def test_a_flood_of_valid_foreign_version_and_malformed_frames_is_limited_and_logged_once(tmp_path):
    async with Fleet(tmp_path, 3) as fleet:
        flooded = fleet.nodes["m0"]
        loop = asyncio.get_running_loop()
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=("127.0.0.1", flooded.port)
        )
        ping = CODEC.encode("m9", 1, messages.Ping(1, "nobody"))
        foreign_version = msgspec.msgpack.encode([frame.FRAME_VERSION + 1, {"a": 1}])
        for i in range(6 * MAX_FRAMES_PER_SECOND):
            sender.sendto((ping, foreign_version, b"noise", b"\xc1" * 3000)[i % 4])
            if i % 50 == 0:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.5)
        assert fleet.agree(set(fleet.nodes))
        report = await flooded.end()
        assert report["counts"]["peer frames too many"] > 0
        assert report["counts"]["peer frames refused"] > 0
        assert report["alive"] == ["m0", "m1", "m2"]
        log = (tmp_path / "m0.log").read_text()
        assert log.count("a frame from") == 1
        assert "Traceback" not in log


async def test_a_member_with_an_invalid_listen_address_reports_it_and_exits_with_2(tmp_path):
    child = Process("m", [sys.executable, "-m", "lapisgrade.members", "m", "nowhere"], tmp_path / "log")
    async with Supervisor() as supervisor:
        await supervisor.start(child)
        assert await child.wait() == 2
        assert (tmp_path / "log").read_text().startswith("the member could not start: listen is not")


def test_frames_fit_a_datagram_and_malformed_ones_are_rejected():
    updates = [
        messages.Update(f"limiter-with-a-long-name-{i:03}", f"127.0.0.1:{10_000 + i}", 1 << 40, 0)
        for i in range(40)
    ]
    data = CODEC.encode("m0", 5, messages.Sync(True, updates))
    decoded = CODEC.decode(data)
    assert len(data) <= frame.MAX_FRAME_BYTES
    assert 10 < len(decoded.message.updates) < 40
    assert decoded.name == "m0"
    for malformed, reason in (
        (b"", "not a frame"),
        (b"x" * 2000, "longer"),
        (msgspec.msgpack.encode([2, "a"]), "version 2"),
        (msgspec.msgpack.encode([1, "", 1, ["p", 1, "a", []]]), "out of range"),
        (msgspec.msgpack.encode([1, "a", 1, ["z", 1]]), "not a frame"),
        (msgspec.msgpack.encode({"a": 1}), "not a frame"),
    ):
        with pytest.raises(frame.FrameError, match=reason):
            CODEC.decode(malformed)
