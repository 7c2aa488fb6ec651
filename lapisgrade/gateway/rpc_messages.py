"""RPC messages between the gateway's processes, except those of the consensus group.

Each is encoded as a MessagePack array that starts with its tag. The order of the fields is part of the wire
format, their names are not. New fields go at the end and have a default. Times are in microseconds.
"""

import msgspec

from lapisgrade.gateway.configuration_delta import EncodedVersion
from lapisgrade.gateway.consensus.messages import Message as ConsensusMessage
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.operations.outcomes import Outcome
from lapisgrade.gateway.operations.table import Claim
from lapisgrade.gateway.registry import Server

ProxiesByName = dict[str, tuple[str, str, str]]
"""Live proxies by name: the address, the process's incarnation and the zone of each."""


class ForwardCall(msgspec.Struct, array_like=True, tag="R", frozen=True):
    """A call of a server or an operator, forwarded to the leader.

    Attributes:
        call: The name of the call, as in `api.CALLS_BY_NAME`.
        subject: The server that the call concerns; empty if it concerns none.
        body: The body of the HTTP request.
    """

    call: str
    subject: str
    body: bytes


class ForwardCallReply(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """The leader's answer to a forwarded call.

    Attributes:
        status: The HTTP status for the caller.
        body: The body of the HTTP response.
        leader_address: Address at which the leader accepts such calls directly.
    """

    status: int
    body: bytes = b""
    leader_address: str = ""


class WatchRequest(msgspec.Struct, array_like=True, tag="N", frozen=True):
    """Long poll of a proxy for updates from the leader.

    The leader replies immediately if it has updates, and otherwise after `watch_timing.LONG_POLL_US`.

    Attributes:
        proxy: The name of the proxy; empty if it only searches for the leader.
        address: Address at which the proxy listens for other proxies.
        incarnation: Incarnation of the proxy's process.
        zone: The proxy's zone.
        active_version: The configuration version that is active at the proxy.
        registry_incarnation: Incarnation of the server registry that the proxy's servers come from.
        registry_revision: The revision of that registry at the proxy.
        fencing_token: Fencing token of the proxy's list of live proxies; 0 for no list.
        known_servers: All servers that the proxy knows, for a new leader.
        unreachable_proxies: Proxies whose machine refuses connections: their process has terminated.
        staged_version: The newest version that is staged or active at the proxy.
        has_local_controller: Whether a controller runs on the proxy's machine.
        needs_full_version: Whether the proxy failed to decode a delta and needs a version in full.
        is_terminating: Whether the proxy's process is shutting down.
    """

    proxy: str
    address: str
    incarnation: str
    zone: str
    active_version: int
    registry_incarnation: str
    registry_revision: int
    fencing_token: int
    known_servers: list[Server] = []
    unreachable_proxies: list[str] = []
    staged_version: int = 0
    has_local_controller: bool = False
    needs_full_version: bool = False
    is_terminating: bool = False


class ProxyListDelta(msgspec.Struct, array_like=True, frozen=True):
    """A list of live proxies, encoded as changes to an earlier list.

    Attributes:
        base: The fencing token of the earlier list.
        changed: The proxies that were added or changed.
        removed: The names of the removed proxies.
    """

    base: int
    changed: ProxiesByName
    removed: list[str]

    def apply_to(self, proxies: ProxiesByName) -> ProxiesByName:
        """Return the new list, given the earlier one."""
        remaining = {name: proxy for name, proxy in proxies.items() if name not in self.removed}
        return {**remaining, **self.changed}


class WatchReply(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """Updates for a proxy, or only a hint on where to find the leader.

    Attributes:
        is_leader: Whether the leader sent this; if not, only the two address fields below are set.
        leader_address: Probable address of the leader.
        controllers: Addresses of all controllers.
        active_version: The active configuration version.
        active_configuration: That version, if the proxy lacks it.
        registry_incarnation: Incarnation of the leader's server registry.
        registry_revision: The revision of that registry at the proxy after this reply.
        is_registry_complete: Whether every live server has had time to register with this leader.
        is_full_update: Whether `servers` holds all servers of the registry instead of only the changed ones.
        servers: The servers that changed after the proxy's revision.
        fencing_token: Fencing token of the current list of live proxies.
        live_proxies: That list in full, if the proxy has another one and gets no delta.
        requests_known_servers: Whether the leader is new and requests the servers that the proxy knows.
        staged_versions: Newer versions that the proxy lacks, to be staged until they are activated.
        merged_versions: The staged versions that were merged from drafts. Requests that must run at most
            once wait for their activation.
        proxies_with_controller: Live proxies on whose machine a controller runs.
        previous_fencing_token: Fencing token of the previous list of live proxies.
        terminating_proxies: Live proxies that are shutting down.
        previous_owners: Owners of quota counts under the previous list, for a proxy that lacks that list.
        earlier_owners: The same for the lists before it, latest first, as far back as an owner may still act.
        live_proxies_delta: The current list as changes to the proxy's list, instead of `live_proxies`.
        lacks_versions: Whether newer versions were left out because the reply would be too long; the proxy's
            next request gets them. Until then the proxy may miss a version that others use.
    """

    is_leader: bool
    leader_address: str = ""
    controllers: list[str] = []
    active_version: int = 0
    active_configuration: EncodedVersion | None = None
    registry_incarnation: str = ""
    registry_revision: int = 0
    is_registry_complete: bool = False
    is_full_update: bool = False
    servers: list[Server] = []
    fencing_token: int = 0
    live_proxies: ProxiesByName | None = None
    requests_known_servers: bool = False
    staged_versions: dict[int, EncodedVersion] = {}
    merged_versions: list[int] = []
    proxies_with_controller: list[str] = []
    previous_fencing_token: int = 0
    terminating_proxies: list[str] = []
    previous_owners: list[str] = []
    earlier_owners: list[tuple[str, ...]] = []
    live_proxies_delta: ProxyListDelta | None = None
    lacks_versions: bool = False

    def updated_proxies(self, fencing_token: int, proxies: ProxiesByName) -> ProxiesByName | None:
        """Return the current list of live proxies, given the proxy's list and its fencing token.

        Returns None if the reply has no newer list, or has a delta to another list.
        """
        delta = self.live_proxies_delta
        if delta is not None:
            return delta.apply_to(proxies) if delta.base == fencing_token else None
        return self.live_proxies


class QuotaRequest(msgspec.Struct, array_like=True, tag="T", frozen=True):
    """Take units of a tenant's quota from the proxy that owns the tenant's count.

    Attributes:
        tenant: The tenant whose quota it is.
        units: Number of units that the requester takes.
        requester: The name of the requesting proxy.
        fencing_token: Fencing token of the list of live proxies that determined the owner.
        rate: The tenant's rate limit, in units per second.
        burst: The tenant's burst, in units.
        returned_units: Unspent units of an earlier grant.
        sequence_number: Sequence number of the requester's requests for this tenant.
        returned_from: The sequence number of the request that granted `returned_units`.
    """

    tenant: str
    units: float
    requester: str
    fencing_token: int
    rate: float
    burst: float
    returned_units: float = 0.0
    sequence_number: int = 0
    returned_from: int = 0


class QuotaReply(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """The owner's answer to a quota request.

    Attributes:
        is_accepted: Whether the units were counted; False, with nothing counted, if the receiver does not own
            the count.
        total: Units of the tenant's burst in use after this request.
        active_limiters: Number of proxies that take units of this tenant.
        fencing_token: Fencing token of the owner's list of live proxies.
    """

    is_accepted: bool
    total: float = 0.0
    active_limiters: int = 1
    fencing_token: int = 0


class HandOverRequest(msgspec.Struct, array_like=True, tag="O", frozen=True):
    """Request of a count's new owner to its previous owner.

    Attributes:
        tenant: The tenant whose quota is counted.
        requester: The name of the new owner.
        fencing_token: Fencing token of the list of live proxies under which the requester is the owner.
        rate: The tenant's rate limit, in units per second.
        burst: The tenant's burst, in units.
        incarnation: Incarnation of the requester's process.
    """

    tenant: str
    requester: str
    fencing_token: int
    rate: float
    burst: float
    incarnation: str = ""


class HandedCount(msgspec.Struct, array_like=True, frozen=True):
    """A count that its previous owner hands over.

    Attributes:
        level: Available units.
        outstanding_grants: Granted units that may not be spent yet.
        reserve_us: Remaining time for which half of the burst is reserved for grants of an earlier owner.
    """

    level: float
    outstanding_grants: float
    reserve_us: int


class HandOverReply(msgspec.Struct, array_like=True, tag="o", frozen=True):
    """The previous owner's answer to a hand-over request.

    Attributes:
        must_wait: Whether the count can't be handed over yet and a proxy may still act as its owner. If
            False, the previous owner does not act any more; without a count, an owner before it may.
        count: The count to continue with, if it is known.
    """

    must_wait: bool
    count: HandedCount | None = None


class ProxyLoads(msgspec.Struct, array_like=True, tag="L", frozen=True):
    """Load that one proxy puts on its servers, sent to proxies that share servers with it.

    Attributes:
        proxy: The name of the proxy.
        in_flight: By server: number of requests in flight, if any.
        unhealthy_servers: Servers that are unhealthy from the proxy's point of view.
    """

    proxy: str
    in_flight: dict[str, int]
    unhealthy_servers: list[str] = []


class CopyDraft(msgspec.Struct, array_like=True, tag="H", frozen=True):
    """A draft for the receiving controller to store as a replica."""

    draft: Draft


class CopyDraftReply(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Reply to `CopyDraft`: whether the draft is on the receiver's disk."""

    is_stored: bool


class ClaimRequest(msgspec.Struct, array_like=True, tag="C", frozen=True):
    """Request of a proxy to the leader to record that one of its attempts runs a keyed operation."""

    claim: Claim


class ClaimReply(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """The leader's answer to a claim.

    Attributes:
        is_known: Whether the leader knows which attempt holds the key. False if the receiver is not the
            leader, or if the claim may still be recorded; the same claim may be retried at any controller.
        attempt: The attempt that holds the key, committed; empty if the table accepts no more claims.
        owner: Address at which that attempt's proxy answers other proxies.
        leader_address: Probable address of the leader, if the receiver is not the leader.
    """

    is_known: bool
    attempt: str = ""
    owner: str = ""
    leader_address: str = ""


class OutcomeRequest(msgspec.Struct, array_like=True, tag="U", frozen=True):
    """Request to the proxy that holds a key's claim for the outcome of its attempt.

    Attributes:
        attempt: The attempt as named in the claim.
        wait_us: Maximum delay of the reply while the attempt is running.
    """

    attempt: str
    wait_us: int


class OutcomeReply(msgspec.Struct, array_like=True, tag="u", frozen=True):
    """The outcome of an attempt, as far as its proxy knows."""

    outcome: Outcome


Message = (
    ConsensusMessage
    | ForwardCall
    | ForwardCallReply
    | WatchRequest
    | WatchReply
    | QuotaRequest
    | QuotaReply
    | HandOverRequest
    | HandOverReply
    | ProxyLoads
    | CopyDraft
    | CopyDraftReply
    | ClaimRequest
    | ClaimReply
    | OutcomeRequest
    | OutcomeReply
)
"""Every message that `rpc_connection.Codec` carries between the gateway's processes."""
