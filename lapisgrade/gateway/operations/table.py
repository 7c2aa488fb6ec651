"""Maps operation keys to the attempts that hold them: the replicated state of keyed operations. Pure.

Every controller applies the same claims in log order, so all tables are identical. The log also provides the
clock: each batch of claims contains the time that its leader measured since its previous batch. Time without
a leader is not counted, so a record is kept too long rather than too short.

    unclaimed --Claim--> held by an attempt --retention expires--> unclaimed
                            |         ^
                            +---------+ Claim that replaces exactly this attempt, which never ran
"""

import hashlib

import msgspec

MAX_RECORDS = 32_768
"""Maximum number of records: 436 operations per second for 75 s, the retention with the default `key_win`.
A snapshot of a full table has 3 MB, or 16 MB with the longest names, and takes twice that on disk while it is
written."""

MAX_TENANT_RECORDS = MAX_RECORDS // 2  # maximum per tenant, so that one tenant cannot fill the table
MAX_KEY_BYTES = 256  # maximum size of an operation key as received over HTTP
MAX_TENANT_BYTES = 128  # maximum size of a tenant name in a claim; a configuration may have longer names
# Time for which a claim and its outcome are kept beyond the repeat window. It covers the delay until an
# attempt's claim is recorded, a few seconds at most, and clock drift.
RETENTION_MARGIN_US = 15_000_000


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """A request to record an attempt as the one that runs an operation.

    Attributes:
        tenant: Tenant of the operation; each tenant has its own key space.
        key: The operation key.
        attempt: Name of the attempt, unique across all proxies.
        owner: Address at which the attempt's proxy answers other proxies.
        replaces: The attempt that held the key and will never run; empty for a first claim.
    """

    tenant: str
    key: str
    attempt: str
    owner: str
    replaces: str = ""


class OperationRecord(msgspec.Struct, array_like=True, frozen=True):
    """The attempt that holds a key.

    Attributes:
        attempt: Name of the attempt, as in its claim.
        owner: Address at which its proxy answers other proxies.
        claimed_us: Time of the claim on the table's clock, in us.
    """

    attempt: str
    owner: str
    claimed_us: int


class ClaimResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of a claim.

    Attributes:
        attempt: The attempt that holds the key now; empty if the table is full and nothing was recorded.
        owner: Address at which its proxy answers other proxies.
    """

    attempt: str = ""
    owner: str = ""


class OperationTable(msgspec.Struct, array_like=True):
    """The records, in the order in which they were claimed.

    Attributes:
        clock_us: The table's clock: the sum of the times that leaders have measured, in us.
        records: Records by `record_id`.
        tenant_records: Number of records per tenant; tenants without records are omitted.
    """

    clock_us: int = 0
    records: dict[str, OperationRecord] = {}
    tenant_records: dict[str, int] = {}

    def find(self, tenant: str, key: str) -> OperationRecord | None:
        """Return the record that holds a key; a record past its retention may still be present."""
        return self.records.get(record_id(tenant, key))

    def advance(self, elapsed_us: int, retention_us: int) -> None:
        """Advance the clock by `elapsed_us` and drop the records that are older than `retention_us`."""
        self.clock_us += max(0, elapsed_us)
        oldest_us = self.clock_us - retention_us
        expired = []
        for name, record in self.records.items():
            if record.claimed_us >= oldest_us:
                break  # the others were claimed later
            expired.append(name)
        for name in expired:
            self._remove(name)

    def claim(self, claim: Claim) -> ClaimResult:
        """Record a claim and return the holder of its key.

        A claim is not recorded if the key is held by another attempt than the one that it replaces, or if
        the table, or the tenant's part of it, is full.
        """
        name = record_id(claim.tenant, claim.key)
        record = self.records.get(name)
        if record is not None and record.attempt != claim.replaces:
            return ClaimResult(record.attempt, record.owner)
        if record is not None:
            self._remove(name)  # the new record is appended last
        elif not self._has_room(claim.tenant):
            return ClaimResult()
        self.records[name] = OperationRecord(claim.attempt, claim.owner, self.clock_us)
        self.tenant_records[claim.tenant] = self.tenant_records.get(claim.tenant, 0) + 1
        return ClaimResult(claim.attempt, claim.owner)

    def _has_room(self, tenant: str) -> bool:
        has_tenant_room = self.tenant_records.get(tenant, 0) < MAX_TENANT_RECORDS
        return has_tenant_room and len(self.records) < MAX_RECORDS

    def _remove(self, name: str) -> None:
        del self.records[name]
        tenant = tenant_of(name)
        remaining = self.tenant_records.pop(tenant) - 1
        if remaining:
            self.tenant_records[tenant] = remaining


def tenant_in_claim(tenant: str) -> str:
    """Return the tenant's name for a claim: a digest of the name if that is too long."""
    name = tenant.encode()
    return tenant if len(name) <= MAX_TENANT_BYTES else f"sha256:{hashlib.sha256(name).hexdigest()}"


def record_id(tenant: str, key: str) -> str:
    """Return the name of an operation's record, unique per pair of tenant and key."""
    return f"{len(tenant)}:{tenant}{key}"


def tenant_of(name: str) -> str:
    """Return the tenant of a `record_id`."""
    length, _, rest = name.partition(":")
    return rest[: int(length)]
