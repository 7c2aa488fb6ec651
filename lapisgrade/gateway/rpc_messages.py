"""Messages between the gateway's processes, beside those of the consensus group.

Each is encoded as a MessagePack array that starts with its tag; the order of the fields is the wire form,
their names are free. Fields are only ever added at the end, with a default. Times are microseconds.
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
        subject: The server that it is about; empty for calls about none.
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
        leader_address: Where the leader takes such calls itself.
    """

    status: int
    body: bytes = b""
    leader_address: str = ""


class WatchRequest(msgspec.Struct, array_like=True, tag="N", frozen=True):
    """A proxy asks the leader for whatever differs from what it has.

    The leader answers at once where something differs, else after a while.

    Attributes:
        proxy: The name of the proxy; empty for one that only looks for the leader.
        address: Where the proxy listens for other proxies.
        incarnation: Of the proxy's process.
        zone: The proxy's zone.
        active_version: The configuration version in force at the proxy.
        registry_incarnation: Of the server registry that the proxy's servers are from.
        registry_revision: The revision of that registry which the proxy has.
        fencing_token: Of the list of live proxies which the proxy has; 0 for none.
        known_servers: All servers that the proxy knows, for a leader that is new.
        unreachable_proxies: Proxies whose machine refuses connections: their process has ended.
        staged_version: The newest version that the proxy has ready, in force or not.
        has_local_controller: Whether a controller runs on the proxy's machine.
        needs_full_version: Whether the proxy failed to decode a delta and needs a version in full.
        is_terminating: Whether the proxy's process was told to shut down.
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
    """A list of live proxies as its changes from an earlier list.

    Attributes:
        base: The fencing token of the earlier list.
        changed: The proxies that were added or differ.
        removed: The names of those that are no longer in the list.
    """

    base: int
    changed: ProxiesByName
    removed: list[str]

    def apply_to(self, proxies: ProxiesByName) -> ProxiesByName:
        """Return the newer list, given the earlier one."""
        remaining = {name: proxy for name, proxy in proxies.items() if name not in self.removed}
        return {**remaining, **self.changed}


class WatchReply(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """What differs from what the proxy has, or only where the leader may be found.

    Attributes:
        is_leader: Whether the leader sent this; else only the addresses below are set.
        leader_address: Where the leader may be found.
        controllers: Addresses of all controllers.
        active_version: The configuration version in force.
        active_configuration: That version, where the proxy lacks it.
        registry_incarnation: Of the leader's server registry.
        registry_revision: The revision of that registry which the proxy has with this reply.
        is_registry_complete: Whether the registry knows every live server by now.
        is_full_update: Whether `servers` are all servers of the registry, not changes alone.
        servers: The servers that changed after the proxy's revision.
        fencing_token: Of the current list of live proxies.
        live_proxies: That list in full, where the proxy has another and gets no delta.
        wants_known_servers: Whether the leader is new and wants to know the proxy's servers.
        staged_versions: Newer versions that the proxy lacks, to be kept ready until they come into force.
        merged_versions: Those of the staged versions that were merged from drafts. A request that must run
            at most once is held back by them.
        proxies_with_controller: Live proxies on whose machine a controller runs.
        previous_fencing_token: Of the list of live proxies before the current one.
        terminating_proxies: Live proxies that were told to shut down.
        previous_owners: Who owned quota counts under the previous list, for a proxy that lacks that list.
        earlier_owners: The same for the lists before it, the latest first, as far back as an owner may act.
        live_proxies_delta: The current list as changes from the proxy's, in place of `live_proxies`.
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

    def updated_proxies(self, fencing_token: int, proxies: ProxiesByName) -> ProxiesByName | None:
        """Return the current list of live proxies for one that has `proxies` under that fencing token.

        Returns None where the reply brings no newer list, or a delta on another list.
        """
        delta = self.live_proxies_delta
        if delta is not None:
            return delta.apply_to(proxies) if delta.base == fencing_token else None
        return self.live_proxies


class QuotaRequest(msgspec.Struct, array_like=True, tag="T", frozen=True):
    """Take units of a tenant's quota from the proxy that owns the tenant's count.

    Attributes:
        tenant: Whose quota it is.
        units: How many units the requester takes.
        requester: The name of the proxy that takes them.
        fencing_token: Of the list of live proxies by which the requester found the owner.
        rate: The tenant's limit, in units a second.
        burst: The tenant's burst, in units.
        returned_units: Units of an earlier grant that were not spent.
        sequence_number: Of the requester's requests for this tenant.
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
        is_accepted: Whether the units were counted. False where the receiver does not own the count now; then
            nothing was counted.
        total: Units in use of the tenant's burst, after this request.
        active_limiters: How many proxies take units of this tenant.
        fencing_token: Of the list of live proxies that the owner has.
    """

    is_accepted: bool
    total: float = 0.0
    active_limiters: int = 1
    fencing_token: int = 0


class HandOverRequest(msgspec.Struct, array_like=True, tag="O", frozen=True):
    """The new owner of a count asks the previous owner for it.

    Attributes:
        tenant: Whose quota is counted.
        requester: The name of the new owner.
        fencing_token: Of the list of live proxies under which the requester is the owner.
        rate: The tenant's limit, in units a second.
        burst: The tenant's burst, in units.
        incarnation: Of the requester's process.
    """

    tenant: str
    requester: str
    fencing_token: int
    rate: float
    burst: float
    incarnation: str = ""


class HandedCount(msgspec.Struct, array_like=True, frozen=True):
    """A count as its previous owner leaves it.

    Attributes:
        level: Units that are available.
        outstanding_grants: Units that were granted and may not be spent yet.
        reserve_us: How much longer half of the burst is reserved for grants of an owner before that.
    """

    level: float
    outstanding_grants: float
    reserve_us: int


class HandOverReply(msgspec.Struct, array_like=True, tag="o", frozen=True):
    """The previous owner's answer to a hand-over request.

    Attributes:
        must_wait: The count can't be given, and somebody may still act as its owner. If False, nobody does.
        count: The count to go on with, where it is known.
    """

    must_wait: bool
    count: HandedCount | None = None


class ProxyLoads(msgspec.Struct, array_like=True, tag="L", frozen=True):
    """The requests of one proxy at each server, for proxies that share servers with it.

    Attributes:
        proxy: The name of the proxy.
        in_flight: Requests in flight by server, where there are any.
        unhealthy_servers: Servers that answer the proxy badly.
    """

    proxy: str
    in_flight: dict[str, int]
    unhealthy_servers: list[str] = []


class CopyDraft(msgspec.Struct, array_like=True, tag="H", frozen=True):
    """A draft that the receiving controller is to store too."""

    draft: Draft


class CopyDraftReply(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """Whether the draft is on the receiving controller's disk."""

    is_stored: bool


class ClaimRequest(msgspec.Struct, array_like=True, tag="C", frozen=True):
    """A proxy asks the leader to record that one of its attempts runs a keyed operation."""

    claim: Claim


class ClaimReply(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """The leader's answer to a claim.

    Attributes:
        is_known: Whether the leader knows who holds the key. False where the receiver doesn't lead, or where
            the claim may still be recorded; the same claim may be sent again, there or elsewhere.
        attempt: The attempt that holds the key, on a majority of the disks; empty where no more are recorded.
        owner: Where that attempt's proxy answers other proxies.
        leader_address: Where the leader may be found, where the receiver doesn't lead.
    """

    is_known: bool
    attempt: str = ""
    owner: str = ""
    leader_address: str = ""


class OutcomeRequest(msgspec.Struct, array_like=True, tag="U", frozen=True):
    """A proxy asks the one that holds a key's claim what came of its attempt.

    Attributes:
        attempt: As the claim named it.
        wait_us: How long the reply may wait for the end of an attempt that is running.
    """

    attempt: str
    wait_us: int


class OutcomeReply(msgspec.Struct, array_like=True, tag="u", frozen=True):
    """What came of an attempt, as far as its proxy knows."""

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
