"""Nodes of a consensus group for tests that deliver messages, sync disks and advance time themselves."""

from random import Random

from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import Effects

VOTERS = {name: f"10.0.0.{number}:1" for number, name in enumerate("abc", 1)}
NOW_US = 10_000_000


def new_node(identity: str = "a", voters: dict[str, str] = VOTERS) -> Node:
    """Return a follower that has just started with an empty log."""
    return Node(identity, VOTERS.get(identity, "10.0.0.9:1"), Random(1), NOW_US, dict(voters))


def take_effects(node: Node) -> Effects:
    """Return the node's effects since the last call."""
    return node.take_effects()


def sync_disk(node: Node) -> list[tuple[str, object]]:
    """Make all pending writes durable; return the messages to other nodes, with their addresses."""
    sent = []
    while node.state.effects.writes:
        effects = take_effects(node)
        for write in effects.writes:
            node.on_write_durable(node.state.now_us, write.last_index, write.last_term)
            for address, message in write.sends_when_durable:
                if address == node.address:
                    node.receive(node.state.now_us, message)
                else:
                    sent.append((address, message))
        sent += effects.sends
    return sent + take_effects(node).sends


def elected_leader(term: int = 2) -> Node:
    """Return node `a` as leader, elected by `b`; its first entry isn't committed yet."""
    node = new_node()
    node.state.term = term - 1
    node.tick(node.next_tick_us)
    request = take_effects(node).sends[0][1]
    pre_vote = RequestVoteReply(term, "b", True, True, False, False, request.pre_vote_round)
    node.receive(node.state.now_us, pre_vote)
    sync_disk(node)
    node.receive(node.state.now_us, RequestVoteReply(term, "b", True, False))
    sync_disk(node)
    assert node.is_leader
    assert not node.has_committed_in_term
    return node


def append_reply(node: Node, name: str, match: int, success: bool = True, sent_us: int | None = None) -> None:
    """Deliver a follower's reply to a message that the leader sent at `sent_us` (None means now)."""
    sent = node.state.now_us if sent_us is None else sent_us
    address = VOTERS.get(name, f"10.0.1.{ord(name) % 250}:1")
    node.receive(node.state.now_us, AppendEntriesReply(node.term, name, address, success, match, sent))


def append_entries(
    term: int, previous: tuple[int, int], entries: list[Entry], commit: int = 0
) -> AppendEntries:
    """Return a request from leader `b` to `a`; `previous` is the index and term before the entries."""
    return AppendEntries(term, "b", VOTERS["b"], "a", *previous, commit, 77, entries)
