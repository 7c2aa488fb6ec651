"""Nodes of a consensus group that tests feed by hand."""

from random import Random

from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import Effects

VOTERS = {name: f"10.0.0.{i}:1" for i, name in enumerate("abc", 1)}


NOW = 10_000_000


def node(identity: str = "a", voters: dict[str, str] = VOTERS) -> Node:
    return Node(identity, VOTERS.get(identity, "10.0.0.9:1"), Random(1), NOW, dict(voters))


def taken(one: Node) -> Effects:
    return one.take_effects()


def sync(one: Node) -> list:
    """All that waits is on disk; what may be said then."""
    said = []
    while one.state.effects.writes:
        effects = taken(one)
        for write in effects.writes:
            one.on_write_durable(one.state.now_us, write.last_index, write.last_term)
            for address, message in write.sends_when_durable:
                one.receive(one.state.now_us, message) if address == one.address else said.append(
                    (address, message)
                )
        said += effects.sends
    return said + taken(one).sends


def leader(term: int = 2) -> Node:
    """`a`, elected by `b`, whose own first entry is not committed yet."""
    one = node()
    one.state.term = term - 1
    one.tick(one.next_tick_us)
    ask = taken(one).sends[0][1]
    one.receive(one.state.now_us, RequestVoteReply(term, "b", True, True, False, False, ask.pre_vote_round))
    sync(one)
    one.receive(one.state.now_us, RequestVoteReply(term, "b", True, False))
    sync(one)
    assert one.is_leader and not one.has_committed_in_term
    return one


def reply(one: Node, name: str, match: int, success: bool = True, sent_us: int | None = None) -> None:
    sent = one.state.now_us if sent_us is None else sent_us
    address = VOTERS.get(name, f"10.0.1.{ord(name) % 250}:1")
    one.receive(one.state.now_us, AppendEntriesReply(one.term, name, address, success, match, sent))


def append(term: int, previous: tuple[int, int], entries: list[Entry], commit: int = 0) -> AppendEntries:
    return AppendEntries(term, "b", VOTERS["b"], "a", *previous, commit, 77, entries)
