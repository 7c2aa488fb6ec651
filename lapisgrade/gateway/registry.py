"""The registry of live servers, built from their heartbeats. No I/O: callers pass in the time.

Only the leader keeps it. A new leader rebuilds it from heartbeats, the snapshot in the log and the server
lists of proxies. A heartbeat is ignored unless its sequence number is above the server's last one, as
heartbeats may arrive seconds late.

State transitions of a server (`ServerState`)::

    UP          DRAIN   the server reported that it is draining, or about to shut down
    UP          LOST    no heartbeat for MISSED_HEARTBEATS
    LOST        UP      a heartbeat
    UP, DRAIN   GONE    the server deregistered, or another one started at its address
    DRAIN       GONE    no heartbeat for MISSED_HEARTBEATS
    LOST, GONE  -       removed after FORGET_HEARTBEATS

A server in DRAIN or GONE never returns to UP.
"""

from enum import StrEnum

import msgspec

MISSED_HEARTBEATS = 3.3  # heartbeat intervals without a heartbeat before a server is LOST
COMPLETE_HEARTBEATS = 2.5  # heartbeat intervals that a new leader waits before it marks any server LOST
FORGET_HEARTBEATS = 20.0  # heartbeat intervals after which a GONE or LOST server is removed
ADDRESS_REUSE_US = 2_000_000  # minimum time from a server's end until another service uses its address
MAX_SERVERS = 20_000  # bounds the memory that a flood of server names can occupy


class ServerState(StrEnum):
    """States of a server; the values are their names in messages."""

    UP = "up"
    DRAIN = "drain"  # takes no new requests
    LOST = "lost"  # its heartbeats stopped
    GONE = "gone"  # it has terminated


class Server(msgspec.Struct, array_like=True):
    """One incarnation of one server. Times are durations, as the clocks of machines may differ.

    Attributes:
        id: Unique to this incarnation.
        service: The service that it runs.
        address: IP address and port, as text; empty if unknown.
        zone: Its failure domain.
        slots: Maximum number of requests that it runs concurrently.
        state: One of `ServerState`.
        sequence_number: Sequence number of its last heartbeat.
        warm_up_us: Remaining slow-start time, in us.
        revision: The registry's revision of its last change.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    sequence_number: int
    warm_up_us: int = 0
    revision: int = 0

    def differs_from(self, other: "Server") -> bool:
        """Return whether proxies must be notified when this record replaces `other`."""
        return (other.state, other.address, other.service, other.slots) != (
            self.state,
            self.address,
            self.service,
            self.slots,
        )


class Registry:
    """All known servers, each with the revision of its last change."""

    def __init__(self, heartbeat_us: int, now_us: int) -> None:
        """Start empty at `now_us`; `heartbeat_us` is the interval between a server's heartbeats."""
        self.heartbeat_us = heartbeat_us
        self.started_us = now_us
        self.servers: dict[str, Server] = {}
        self.last_seen_us: dict[str, int] = {}  # by server: time of its last heartbeat or of its departure
        self.warm_up_ends_us: dict[str, int] = {}  # by server: end of its slow start
        self._newest_by_address: dict[str, str] = {}  # by address: the server that started there last
        self.revision = 1

    def is_complete(self, now_us: int) -> bool:
        """Return whether every live server has had time to send a heartbeat, so that a silent one is lost."""
        return now_us - self.started_us > COMPLETE_HEARTBEATS * self.heartbeat_us

    def on_heartbeat(self, now_us: int, server: Server) -> None:
        """Process a heartbeat, which is given as a record of the server that sent it."""
        known = self.servers.get(server.id)
        if known is not None and server.sequence_number <= known.sequence_number:
            return
        if known is None and (len(self.servers) >= MAX_SERVERS or self._is_delayed(now_us, server)):
            return
        if known is not None and known.state in (ServerState.DRAIN, ServerState.GONE):
            server.state = known.state
        self.last_seen_us[server.id] = now_us
        self.warm_up_ends_us[server.id] = now_us + server.warm_up_us
        if known is None or server.differs_from(known):
            self._record_change(server)
        else:
            server.revision = known.revision
        self.servers[server.id] = server
        if server.state == ServerState.UP:
            self._claim_address(now_us, server)

    def _claim_address(self, now_us: int, server: Server) -> None:
        """Mark the previous server at the address as gone: an address belongs to its newest incarnation."""
        previous = self._newest_by_address.get(server.address, server.id)
        if previous != server.id and previous in self.servers:
            self.mark_left(now_us, previous, True)
        self._newest_by_address[server.address] = server.id

    def _is_delayed(self, now_us: int, server: Server) -> bool:
        """Return whether an unknown server's heartbeat must be an old one that was delayed.

        It must be if a server of another service sent a heartbeat from the same address so recently that the
        address can't have been reused since.
        """
        newest = self.servers.get(self._newest_by_address.get(server.address, ""))
        if newest is None or newest.service == server.service or newest.state != ServerState.UP:
            return False
        return now_us - self.last_seen_us.get(newest.id, -ADDRESS_REUSE_US) < ADDRESS_REUSE_US

    def mark_left(self, now_us: int, server_id: str, is_gone: bool) -> None:
        """Mark a server as draining, or as gone if `is_gone`."""
        server = self.servers.get(server_id)
        state = ServerState.GONE if is_gone else ServerState.DRAIN
        if server is None:
            if len(self.servers) < MAX_SERVERS:
                self._record_change(Server(server_id, "", "", "", 1, state, 0))
                self.last_seen_us[server_id] = now_us
        elif server.state not in (state, ServerState.GONE):
            server.state = state
            self.last_seen_us[server_id] = now_us
            self._record_change(server)

    def restore(self, now_us: int, servers: list[Server]) -> None:
        """Add the servers that an earlier leader knew, unless their present state is newer."""
        for server in servers[:MAX_SERVERS]:
            known = self.servers.get(server.id)
            if known is None and server.state == ServerState.UP and server.address:
                self.on_heartbeat(now_us, server)
            elif server.state in (ServerState.DRAIN, ServerState.GONE):
                if known is None and server.address:
                    self.servers[server.id] = server
                self.mark_left(now_us, server.id, server.state == ServerState.GONE)

    def expire(self, now_us: int) -> None:
        """Mark servers whose heartbeats stopped, and remove those that left long ago.

        Must be called about once per heartbeat interval.
        """
        if not self.is_complete(now_us):
            return
        for server in list(self.servers.values()):
            age_us = now_us - self.last_seen_us.get(server.id, now_us)
            is_serving = server.state in (ServerState.UP, ServerState.DRAIN)
            if is_serving and age_us > MISSED_HEARTBEATS * self.heartbeat_us:
                server.state = ServerState.LOST if server.state == ServerState.UP else ServerState.GONE
                self._record_change(server)
            elif not is_serving and age_us > FORGET_HEARTBEATS * self.heartbeat_us:
                self._remove(server)

    def _remove(self, server: Server) -> None:
        self.servers.pop(server.id, None)
        self.last_seen_us.pop(server.id, None)
        self.warm_up_ends_us.pop(server.id, None)
        if self._newest_by_address.get(server.address) == server.id:
            del self._newest_by_address[server.address]

    def changes_since(self, now_us: int, revision: int) -> list[Server]:
        """Return the servers that changed after the revision, each with its remaining slow-start time."""
        changed = [server for server in self.servers.values() if server.revision > revision]
        for server in changed:
            server.warm_up_us = max(0, self.warm_up_ends_us.get(server.id, 0) - now_us)
        return changed

    def _record_change(self, server: Server) -> None:
        self.revision += 1
        server.revision = self.revision
        self.servers[server.id] = server
