"""Membership in a simulated network: detection within the documented bounds, false positives, merges."""

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lapisgrade.members import failure_detector, messages, table
from lapisgrade.members.core import Members
from lapisgrade.members.messages import Ack, MemberState, Ping, Sync, Update
from lapisgrade.members.sim import LinkBehavior, Network
from lapisgrade.members.timing import SECOND, Timing, detection_bounds_us


def fleet(count: int, seed: int, link: LinkBehavior | None = None) -> tuple[Network, list[str]]:
    """Return a network of `count` members that all consider each other alive, and their names."""
    net = Network(seed, link)
    names = [f"m{i:03}" for i in range(count)]
    for name in names:
        net.add(name, names[:2])
    assert net.run(20 * SECOND, lambda: net.agree(set(names))) is not None
    return net, names


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_four_of_ten_members_killed_at_once_are_detected_within_the_bound(seed):
    net, names = fleet(10, seed)
    for name in names[:4]:
        net.kill(name)
    detected_after_us = net.run(60 * SECOND, lambda: net.agree(set(names[4:])))
    assert detected_after_us is not None
    assert detected_after_us <= detection_bounds_us(net.timing, 10)["known"]


def test_members_paused_for_three_seconds_are_alive_again_without_a_new_join():
    net, names = fleet(10, 4)
    for name in names[:3]:
        net.pause(name)
    net.run(3 * SECOND)
    for name in names[:3]:
        net.resume(name)
    assert net.run(20 * SECOND, lambda: net.agree(set(names))) is not None
    net.run(10 * SECOND)
    assert net.agree(set(names))


def test_two_groups_started_before_their_common_seed_merge():
    net = Network(3)
    names = [f"m{i}" for i in range(8)]
    for name in names[4:]:  # their first seed is not running yet: messages to it are lost
        net.add(name, [names[0], names[4]])
    for name in names[1:4]:
        net.add(name, [names[0], names[1]])
    net.run(5 * SECOND)
    assert not net.agree(set(names[1:]))
    net.add(names[0], [names[0]])  # it has no seeds and waits to be contacted
    assert net.run(30 * SECOND, lambda: net.agree(set(names))) is not None


def test_two_partitions_merge_after_declaring_each_other_dead():
    net, names = fleet(10, 5)
    left, right = names[:5], names[5:]
    net.partition(left, right)
    parted_after_us = net.run(
        30 * SECOND, lambda: net.agree(set(left), left) and net.agree(set(right), right)
    )
    assert parted_after_us is not None
    net.heal()
    assert net.run(30 * SECOND, lambda: net.agree(set(names))) is not None


def test_a_member_that_receives_nothing_does_not_make_the_others_declare_each_other_dead():
    net, names = fleet(10, 6)
    net.is_cut = lambda source, to: to == names[0] and source != names[0]
    net.run(15 * SECOND)
    for node in net.live():
        if node.name != names[0]:
            assert set(names[1:]) <= set(node.core.alive())
    net.heal()
    assert net.run(30 * SECOND, lambda: net.agree(set(names))) is not None


@pytest.mark.parametrize("seed", [7, 8])
def test_with_loss_duplication_and_delay_false_positives_stay_rare_and_a_death_is_detected(seed):
    net, names = fleet(10, seed, LinkBehavior(loss_ratio=0.2, duplication_ratio=0.1, jitter_us=30_000))
    false_positives = 0
    for _ in range(60):
        net.run(SECOND // 2)
        false_positives += sum(len(net.considered_dead_by(name)) for name in names)
    assert false_positives <= 60 * 10 * 9 // 100, false_positives  # at most 1 % of all samples
    net.kill(names[0])
    detected_after_us = net.run(60 * SECOND, lambda: len(net.considered_dead_by(names[0])) == 9)
    assert detected_after_us is not None
    assert detected_after_us <= detection_bounds_us(net.timing, 10, 0.2, worst_health_score=3)["known"]


def test_a_member_restarted_under_its_old_name_is_alive():
    net, names = fleet(6, 9)
    net.kill(names[0])
    net.run(SECOND // 2)  # suspected at most, not yet dead
    net.add(names[0], names[1:3])
    net.run(3 * SECOND)
    assert net.run(20 * SECOND, lambda: net.agree(set(names))) is not None
    net.kill(names[1])
    assert net.run(30 * SECOND, lambda: net.agree(set(names) - {names[1]})) is not None
    net.add(names[1], names[2:4])
    assert net.run(30 * SECOND, lambda: net.agree(set(names))) is not None


def test_six_of_ten_members_are_replaced_one_per_second():
    net, names = fleet(10, 10)
    new_names = [f"n{i}" for i in range(6)]
    for old, new in zip(names, new_names, strict=False):
        net.kill(old)
        net.add(new, names[8:])
        net.run(SECOND)
    assert net.run(30 * SECOND, lambda: net.agree(set(names[6:] + new_names))) is not None


@pytest.mark.parametrize("count", [10, 40])
def test_a_members_traffic_does_not_grow_with_the_fleet(count):
    net, names = fleet(count, 11)
    sent_before = dict(net.sent)
    net.run(20 * SECOND)
    rates = [(net.sent[name] - sent_before[name]) / 20 for name in names]  # messages per second
    assert max(rates) <= 20
    assert sum(rates) / count <= 14


@pytest.mark.parametrize(
    "update",
    [
        Update("m000", "m000", 10**15, MemberState.DEAD, "m009"),
        Update("m000", "m000", (1 << 62) + 5, MemberState.DEAD, "m009"),
        Update("m000", "elsewhere", 0, MemberState.ALIVE),
        Update("x" * 1000, "a", 1, MemberState.ALIVE),
        Update("m000", "m000", -4, MemberState.DEAD),
        Update("m000", "m000", 1, 7),
    ],
)
def test_false_updates_on_a_member_are_refuted_or_ignored(update):
    net, names = fleet(10, 12)
    for node in net.live()[1:]:
        net.deliver(node, node.core.on_message(net.now_us, "m009", Ack(-1, False, [update])))
    net.run(15 * SECOND)
    if update.incarnation < 1 << 62:  # from MAX_INCARNATION on none is refuted (docs/design/membership.md)
        assert net.agree(set(names))
    assert all(set(names[1:]) <= set(node.core.alive()) for node in net.live())


def test_a_flood_of_invented_names_fills_the_tables_only_up_to_their_limits():
    member = Members("a", "a", 1, SECOND, Random(1))
    for i in range(table.MAX_MEMBERS + 500):
        member.on_message(SECOND, "b", Sync(True, [Update(f"x{i}", "b", 1, MemberState.ALIVE)]))
    assert len(member.table.by_name) == table.MAX_MEMBERS
    for i in range(1000):
        member.on_message(SECOND, "b", messages.PingRequest(i, "x1", "b"))
    assert len(member.failure_detector.relayed) == failure_detector.MAX_RELAYED


def test_equal_seeds_and_events_give_equal_messages():
    def run():
        net, names = fleet(8, 13, LinkBehavior(loss_ratio=0.1))
        net.kill(names[0])
        net.run(5 * SECOND)
        return net.sent, [node.core.alive() for node in net.live()]

    assert run() == run()


UPDATES = st.builds(
    Update,
    st.sampled_from(["a", "b", "c", "d"]),
    st.sampled_from(["a", "b"]),
    st.integers(0, 4),
    st.sampled_from([0, 1, 2]),
    st.sampled_from(["", "b", "c"]),
)
MESSAGES = st.one_of(
    st.builds(Ping, st.integers(0, 9), st.sampled_from(["a", "b"]), st.lists(UPDATES, max_size=4)),
    st.builds(
        messages.PingRequest,
        st.integers(0, 9),
        st.sampled_from(["b", "c"]),
        st.just("b"),
        st.lists(UPDATES, max_size=4),
    ),
    st.builds(Ack, st.integers(0, 9), st.booleans(), st.lists(UPDATES, max_size=4)),
    st.builds(Sync, st.booleans(), st.lists(UPDATES, max_size=4)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 400_000), MESSAGES), max_size=40), st.integers(0, 1000))
def test_any_messages_leave_a_member_alive_in_its_own_view_and_never_lower_a_known_state(events, seed):
    member, now_us = Members("a", "a", 2, SECOND, Random(seed)), SECOND
    highest = {}
    for wait_us, message in events:
        now_us += wait_us
        for send in member.on_message(now_us, "b", message) + member.on_timer(now_us):
            encoded = msgspec.msgpack.encode(send.message)
            assert len(encoded) < 1400  # fits one datagram together with the frame's other fields
            assert msgspec.msgpack.decode(encoded, type=messages.Message) == send.message
        assert member.next_wakeup_us > now_us - 1
        assert "a" in member.alive()
        assert 0 <= member.health.score <= Timing().max_health_score
        for other in member.table.by_name.values():  # (incarnation, state) never decreases
            known = (other.incarnation, other.state)
            assert known >= highest.get(other.name, known)
            highest[other.name] = known
