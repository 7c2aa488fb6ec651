"""Which attempt holds which operation key: the replicated part of keyed operations. Pure.

Every controller applies the same claims in the order of the log, so all tables are alike. Time is counted by
the log as well: each batch of claims says how much time its leader has measured since its last one. The time
without a leader is not counted, so a record is kept too long rather than too short.

    unclaimed --Claim--> held by an attempt --its retention has passed--> unclaimed
                            |         ^
                            +---------+ Claim that replaces exactly this attempt, which never ran
"""

import hashlib

import msgspec

MAX_RECORDS = 32_768
"""Operations in their window: 436 a second for 75 s. A snapshot is 3 MB then, with the longest names 16 MB,
and stands twice on a disk while it is written."""

MAX_TENANT_RECORDS = MAX_RECORDS // 2  # of one tenant, so that it can't take all the room
MAX_KEY_BYTES = 256  # of an operation key, as HTTP brought it
MAX_TENANT_BYTES = 128  # of a tenant in a claim; a configuration may have longer names
# Beyond the window that a claim and its outcome are kept: for the time until an attempt's claim is made, some
# seconds at most, and for clocks that differ in pace.
RETENTION_MARGIN_US = 15_000_000


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """An attempt wants to run an operation.

    Attributes:
        tenant: Whose operation it is; keys of different tenants have nothing to do with one another.
        key: The operation key.
        attempt: Identifies the attempt among all of all proxies.
        owner: Where the proxy of the attempt answers other proxies.
        replaces: The attempt that held the key and is known never to run; empty for a first claim.
    """

    tenant: str
    key: str
    attempt: str
    owner: str
    replaces: str = ""


class OperationRecord(msgspec.Struct, array_like=True, frozen=True):
    """The attempt that holds a key.

    Attributes:
        attempt: As its claim named it.
        owner: Where its proxy answers other proxies.
        claimed_us: When it was claimed, by the table's clock.
    """

    attempt: str
    owner: str
    claimed_us: int


class ClaimResult(msgspec.Struct, array_like=True, frozen=True):
    """What became of a claim.

    Attributes:
        attempt: The attempt that holds the key now; empty where there is no room and nothing was recorded.
        owner: Where its proxy answers other proxies.
    """

    attempt: str = ""
    owner: str = ""


class OperationTable(msgspec.Struct, array_like=True):
    """The records, in the order in which they were claimed.

    Attributes:
        clock_us: The time that leaders have counted.
        records: By `record_id`.
        tenant_records: How many of them each tenant has, where it has any.
    """

    clock_us: int = 0
    records: dict[str, OperationRecord] = {}
    tenant_records: dict[str, int] = {}

    def find(self, tenant: str, key: str) -> OperationRecord | None:
        """Return who holds a key; a record that is beyond its retention may still be there."""
        return self.records.get(record_id(tenant, key))

    def advance(self, elapsed_us: int, retention_us: int) -> None:
        """Count time, and drop the records that are older than their retention."""
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
        """Record a claim where nobody else holds its key, and return who holds it now."""
        name = record_id(claim.tenant, claim.key)
        record = self.records.get(name)
        if record is not None and record.attempt != claim.replaces:
            return ClaimResult(record.attempt, record.owner)
        if record is not None:
            self._remove(name)  # the newest stands last
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
    """Return how claims name a tenant: by a digest of its name where that is too long for a claim."""
    name = tenant.encode()
    return tenant if len(name) <= MAX_TENANT_BYTES else f"sha256:{hashlib.sha256(name).hexdigest()}"


def record_id(tenant: str, key: str) -> str:
    """Return the name of an operation's record; different for any two pairs."""
    return f"{len(tenant)}:{tenant}{key}"


def tenant_of(name: str) -> str:
    """Return the tenant of a `record_id`."""
    length, _, rest = name.partition(":")
    return rest[: int(length)]
