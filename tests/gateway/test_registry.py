"""The registry of servers: heartbeats, lost servers and departures."""

from lapisgrade.gateway.registry import Registry, Server

SECOND = 1_000_000


def send_heartbeat(
    registry: Registry,
    now: float,
    name: str = "i-1",
    sequence_number: int = 1,
    state: str = "up",
    address: str = "10.0.0.1:80",
):
    registry.on_heartbeat(
        int(now * SECOND), Server(name, "garantie", address, "z", 2, state, sequence_number)
    )


def states(registry: Registry, revision: int = 0) -> dict[str, str]:
    return {server.id: server.state for server in registry.changes_since(0, revision)}


def test_a_server_is_lost_after_missed_heartbeats_once_the_registry_is_complete():
    registry = Registry(SECOND, 0)
    registry.restore(0, [Server("i-9", "garantie", "10.0.0.9:80", "z", 2, "up", 7)])
    send_heartbeat(registry, 0.1)
    registry.expire(2 * SECOND)
    assert states(registry) == {"i-9": "up", "i-1": "up"}
    send_heartbeat(registry, 3.0, sequence_number=2)
    registry.expire(4 * SECOND)
    assert states(registry) == {"i-9": "lost", "i-1": "up"}


def test_late_heartbeats_and_heartbeats_after_departure_do_not_change_the_state():
    registry = Registry(SECOND, 0)
    send_heartbeat(registry, 0.1, sequence_number=5)
    registry.mark_left(SECOND, "i-1", False)
    send_heartbeat(registry, 1.2, sequence_number=4, address="10.0.0.2:80")
    send_heartbeat(registry, 1.3, sequence_number=6)
    assert states(registry) == {"i-1": "drain"}
    registry.mark_left(2 * SECOND, "i-1", True)
    send_heartbeat(registry, 2.1, sequence_number=7)
    assert states(registry) == {"i-1": "gone"}


def test_an_address_belongs_to_its_newest_incarnation():
    registry = Registry(SECOND, 0)
    send_heartbeat(registry, 0.1)
    send_heartbeat(registry, 1.0, name="i-2")
    assert states(registry) == {"i-1": "gone", "i-2": "up"}


def test_a_late_heartbeat_does_not_revive_a_lost_server():
    registry = Registry(SECOND, 0)
    send_heartbeat(registry, 0.1, sequence_number=5)
    send_heartbeat(registry, 3.0, name="i-2", address="10.0.0.2:80")
    registry.expire(4 * SECOND)
    send_heartbeat(registry, 4.5, sequence_number=4)
    assert states(registry)["i-1"] == "lost"
    send_heartbeat(registry, 4.6, sequence_number=6)
    assert states(registry)["i-1"] == "up"


def test_a_late_heartbeat_of_an_unknown_server_does_not_take_over_another_services_address():
    registry = Registry(SECOND, 0)
    registry.on_heartbeat(SECOND, Server("i-2", "reports", "10.0.0.1:80", "z", 2, "up", 1))
    # A delayed heartbeat of a server that terminated before the change of leader.
    send_heartbeat(registry, 1.5, name="i-1", sequence_number=90)
    assert states(registry) == {"i-2": "up"}
    send_heartbeat(registry, 3.5, name="i-3")  # i-2 has sent no heartbeat since: it has terminated
    assert states(registry) == {"i-2": "gone", "i-3": "up"}
