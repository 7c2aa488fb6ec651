"""Idle connections that servers drop: which requests may reuse which connections."""

import pytest

from lapisgrade.gateway import SECOND
from lapisgrade.gateway.routing.idle_connections import LIMIT_TTL_US, IdleConnections

MS = 1_000


class ReusedConnections:
    """Limits on the idle time of connections to services, set by resets of reused connections."""

    def __init__(self) -> None:
        self.idle_connections = IdleConnections()

    def record_reset(self, now_us: int, idle_us: int, duration_us: int = 2 * MS, service: str = "a") -> bool:
        """Reset a connection that was idle before its reuse; return whether the idle time is the cause."""
        attempt = object()
        self.idle_connections.on_reuse(attempt, idle_us)
        return self.idle_connections.on_attempt_finished(now_us, attempt, service, True, duration_us)


@pytest.fixture
def connections() -> ReusedConnections:
    return ReusedConnections()


def test_a_non_idempotent_request_avoids_connections_idle_as_long_as_one_that_was_dropped(
    connections: ReusedConnections,
) -> None:
    assert connections.idle_connections.is_trusted(0, "a", 9 * SECOND, False)
    assert connections.record_reset(SECOND, 400 * MS)
    assert not connections.idle_connections.is_trusted(SECOND, "a", 300 * MS, False)
    assert connections.idle_connections.is_trusted(SECOND, "a", 200 * MS, False)
    assert connections.idle_connections.is_trusted(SECOND, "b", 300 * MS, False)
    # Idempotent requests ignore the limit, and it expires unless another reset confirms it.
    assert connections.idle_connections.is_trusted(SECOND, "a", 9 * SECOND, True)
    assert connections.idle_connections.is_trusted(SECOND + LIMIT_TTL_US, "a", 300 * MS, False)


def test_the_shortest_idle_time_is_the_limit_and_slow_or_early_resets_are_ignored(
    connections: ReusedConnections,
) -> None:
    connections.record_reset(SECOND, 400 * MS)
    connections.record_reset(SECOND, 900 * MS)
    assert not connections.idle_connections.is_trusted(SECOND, "a", 300 * MS, False)
    assert not connections.record_reset(SECOND, 700 * MS, duration_us=500 * MS, service="b")
    assert not connections.record_reset(SECOND, 10 * MS, service="b")
    assert not connections.idle_connections.on_attempt_finished(SECOND, object(), "b", True, 0)
    assert connections.idle_connections.is_trusted(SECOND, "b", 9 * SECOND, False)
