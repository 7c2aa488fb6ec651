"""The registry of live servers, built from their own heartbeats. Pure: the time is handed in.

The leader alone keeps it. A new leader rebuilds it from heartbeats, from the snapshot in the log and from
what proxies know. A heartbeat counts only where its sequence number is above the server's last one, as
heartbeats may arrive seconds late.
States of a server (`ServerState`) and what changes them::

    UP          DRAIN   the server announced it, or is about to shut down
    UP          LOST    no heartbeat for MISSED_HEARTBEATS
    LOST        UP      a heartbeat
    UP, DRAIN   GONE    the server deregistered, or another one came up at its address
    DRAIN       GONE    no heartbeat for MISSED_HEARTBEATS
    LOST, GONE  -       forgotten after FORGET_HEARTBEATS

A server in DRAIN or GONE never comes UP again.
"""

from enum import StrEnum

import msgspec

MISSED_HEARTBEATS = 3.3  # heartbeats that a server may miss before it is LOST
COMPLETE_HEARTBEATS = 2.5  # heartbeats that a new leader waits before it declares any server LOST
FORGET_HEARTBEATS = 20.0  # heartbeats after which a server that is GONE or LOST is forgotten
ADDRESS_REUSE_US = 2_000_000  # after a server's end its address is no other service's for so long
MAX_SERVERS = 20_000  # bounds the memory that a flood of names can take


class ServerState(StrEnum):
    """States of a server, by their names in messages."""

    UP = "up"
    DRAIN = "drain"  # takes no new requests
    LOST = "lost"  # its heartbeats stopped
    GONE = "gone"  # it has ended


class Server(msgspec.Struct, array_like=True):
    """One incarnation of one server. Times are durations, as clocks of machines may differ.

    Attributes:
        id: Unique to this incarnation.
        service: The service that it runs.
        address: IP address and port, as text; empty where it is not known.
        zone: The failure domain that it runs in.
        slots: How many requests it runs at once.
        state: One of `ServerState`.
        sequence_number: Of its last heartbeat.
        warm_up_us: How much longer it is slower than usual.
        revision: The registry's revision when it last changed.
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
        """Whether proxies must be notified of this server in place of `other`."""
        return (other.state, other.address, other.service, other.slots) != (
            self.state,
            self.address,
            self.service,
            self.slots,
        )


class Registry:
    """All servers that are known, each with the revision in which it last changed."""

    def __init__(self, heartbeat_us: int, now_us: int) -> None:
        """Begin empty at `now_us`; `heartbeat_us` is the interval between a server's heartbeats."""
        self.heartbeat_us = heartbeat_us
        self.started_us = now_us
        self.servers: dict[str, Server] = {}
        self.last_seen_us: dict[str, int] = {}  # by server: its last heartbeat, or when it left
        self.warm_up_ends_us: dict[str, int] = {}  # by server
        self._newest_by_address: dict[str, str] = {}  # the server that came up last at each address
        self.revision = 1

    def is_complete(self, now_us: int) -> bool:
        """Whether every live server has had time to be heard, so that silence means a lost server."""
        return now_us - self.started_us > COMPLETE_HEARTBEATS * self.heartbeat_us

    def on_heartbeat(self, now_us: int, server: Server) -> None:
        """Take in a heartbeat, as the server that it describes."""
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
        """Mark whoever was up at the server's address as gone: an address is its newest incarnation's."""
        previous = self._newest_by_address.get(server.address, server.id)
        if previous != server.id and previous in self.servers:
            self.mark_left(now_us, previous, True)
        self._newest_by_address[server.address] = server.id

    def _is_delayed(self, now_us: int, server: Server) -> bool:
        """Whether an unknown server's heartbeat was delayed for long.

        It was where another service's server was heard at its address so lately that the address can't have
        changed hands since.
        """
        newest = self.servers.get(self._newest_by_address.get(server.address, ""))
        if newest is None or newest.service == server.service or newest.state != ServerState.UP:
            return False
        return now_us - self.last_seen_us.get(newest.id, -ADDRESS_REUSE_US) < ADDRESS_REUSE_US

    def mark_left(self, now_us: int, server_id: str, is_gone: bool) -> None:
        """Mark a server as draining, or with `is_gone` as ended."""
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
        """Take in servers as an earlier leader knew them, where nothing newer is known."""
        for server in servers[:MAX_SERVERS]:
            known = self.servers.get(server.id)
            if known is None and server.state == ServerState.UP and server.address:
                self.on_heartbeat(now_us, server)
            elif server.state in (ServerState.DRAIN, ServerState.GONE):
                if known is None and server.address:
                    self.servers[server.id] = server
                self.mark_left(now_us, server.id, server.state == ServerState.GONE)

    def expire(self, now_us: int) -> None:
        """Find servers whose heartbeats stopped, and forget those that left long ago.

        To be called about once a heartbeat interval.
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
                self._forget(server)

    def _forget(self, server: Server) -> None:
        self.servers.pop(server.id, None)
        self.last_seen_us.pop(server.id, None)
        self.warm_up_ends_us.pop(server.id, None)
        if self._newest_by_address.get(server.address) == server.id:
            del self._newest_by_address[server.address]

    def changes_since(self, now_us: int, revision: int) -> list[Server]:
        """Return the servers that changed after that revision, each with what is left of its warm-up."""
        changed = [server for server in self.servers.values() if server.revision > revision]
        for server in changed:
            server.warm_up_us = max(0, self.warm_up_ends_us.get(server.id, 0) - now_us)
        return changed

    def _record_change(self, server: Server) -> None:
        self.revision += 1
        server.revision = self.revision
        self.servers[server.id] = server
