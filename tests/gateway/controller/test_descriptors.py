"""How a controller divides its descriptors."""

from lapisgrade.gateway.controller.server import (
    MAX_READINESS_CONNECTIONS,
    RESERVED_FILES,
    max_control_connections,
)

DESCRIPTORS = 475  # of a process, of which RESERVED_FILES are for files alone
PROXIES = 68  # each calls the leader on a connection of its own


def test_callers_leave_descriptors_for_proxies_calls() -> None:
    sockets = DESCRIPTORS - RESERVED_FILES
    assert max_control_connections(DESCRIPTORS) + MAX_READINESS_CONNECTIONS + PROXIES <= sockets
