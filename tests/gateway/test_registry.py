"""The registry of servers: heartbeats, losses and departures."""

from lapisgrade.gateway.registry import Registry, Server

SECOND = 1_000_000


def heartbeat(
    registry: Registry,
    now: float,
    name: str = "i-1",
    seq: int = 1,
    state: str = "up",
    at: str = "10.0.0.1:80",
):
    registry.on_heartbeat(int(now * SECOND), Server(name, "garantie", at, "z", 2, state, seq))


def states(registry: Registry, revision: int = 0) -> dict[str, str]:
    return {each.id: each.state for each in registry.changes_since(0, revision)}


def test_a_server_is_lost_after_missed_heartbeats_once_the_registry_is_complete():
    registry = Registry(SECOND, 0)
    registry.restore(0, [Server("i-9", "garantie", "10.0.0.9:80", "z", 2, "up", 7)])
    heartbeat(registry, 0.1)
    registry.expire(2 * SECOND)
    assert states(registry) == {"i-9": "up", "i-1": "up"}
    heartbeat(registry, 3.0, seq=2)
    registry.expire(4 * SECOND)
    assert states(registry) == {"i-9": "lost", "i-1": "up"}


def test_a_late_heartbeat_and_one_after_departure_change_nothing():
    registry = Registry(SECOND, 0)
    heartbeat(registry, 0.1, seq=5)
    registry.mark_left(SECOND, "i-1", False)
    heartbeat(registry, 1.2, seq=4, at="10.0.0.2:80")
    heartbeat(registry, 1.3, seq=6)
    assert states(registry) == {"i-1": "drain"}
    registry.mark_left(2 * SECOND, "i-1", True)
    heartbeat(registry, 2.1, seq=7)
    assert states(registry) == {"i-1": "gone"}


def test_an_address_belongs_to_its_newest_incarnation():
    registry = Registry(SECOND, 0)
    heartbeat(registry, 0.1)
    heartbeat(registry, 1.0, name="i-2")
    assert states(registry) == {"i-1": "gone", "i-2": "up"}


def test_a_late_heartbeat_does_not_revive_a_lost_server():
    registry = Registry(SECOND, 0)
    heartbeat(registry, 0.1, seq=5)
    heartbeat(registry, 3.0, name="i-2", at="10.0.0.2:80")
    registry.expire(4 * SECOND)
    heartbeat(registry, 4.5, seq=4)
    assert states(registry)["i-1"] == "lost"
    heartbeat(registry, 4.6, seq=6)
    assert states(registry)["i-1"] == "up"


def test_a_late_heartbeat_of_an_unknown_incarnation_takes_no_address_of_another_service():
    registry = Registry(SECOND, 0)
    registry.on_heartbeat(SECOND, Server("i-2", "reports", "10.0.0.1:80", "z", 2, "up", 1))
    heartbeat(registry, 1.5, name="i-1", seq=90)  # of one that ended before a new leader came
    assert states(registry) == {"i-2": "up"}
    heartbeat(registry, 3.5, name="i-3")  # the other one was not heard since: it has ended
    assert states(registry) == {"i-2": "gone", "i-3": "up"}
