"""The allocation of a controller's file descriptors."""

from lapisgrade.gateway.controller.server import (
    MAX_READINESS_CONNECTIONS,
    RESERVED_FILES,
    max_control_connections,
)

DESCRIPTORS = 475  # descriptor limit of the process; RESERVED_FILES of them are reserved for files
PROXIES = 68  # each has its own connection to the leader


def test_callers_leave_descriptors_for_proxies_calls() -> None:
    sockets = DESCRIPTORS - RESERVED_FILES
    assert max_control_connections(DESCRIPTORS) + MAX_READINESS_CONNECTIONS + PROXIES <= sockets
