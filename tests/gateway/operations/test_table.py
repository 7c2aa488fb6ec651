"""The table of operation keys: claims, take-overs, expiry by the log's clock, and bounds."""

from unittest import mock

import msgspec
import pytest

from lapisgrade.gateway import configuration
from lapisgrade.gateway.operations import table as table_module
from lapisgrade.gateway.operations.claim_batches import LeadershipClock, is_valid, known_holder
from lapisgrade.gateway.operations.table import (
    MAX_KEY_BYTES,
    Claim,
    ClaimResult,
    OperationTable,
    record_id,
    tenant_in_claim,
    tenant_of,
)

OWNER = "10.0.0.1:7661"
RETENTION_US = 75_000_000


def claim(attempt: str, replaces: str = "", tenant: str = "sfax", key: str = "k-1") -> Claim:
    return Claim(tenant, key, attempt, OWNER, replaces)


def holder_after(table: OperationTable, *claims: Claim) -> str:
    """Apply the claims and return the attempt that holds the key of the last one."""
    return [table.claim(each) for each in claims][-1].attempt


def test_the_first_claim_holds_the_key_and_later_claims_return_its_holder():
    table = OperationTable()
    assert table.claim(claim("a")) == ClaimResult("a", OWNER)
    assert table.claim(msgspec.structs.replace(claim("b"), owner="10.0.0.2:7661")) == ClaimResult("a", OWNER)
    assert holder_after(table, claim("a")) == "a"  # repeated claim


def test_a_take_over_must_name_the_attempt_that_holds_the_key():
    table = OperationTable()
    assert holder_after(table, claim("a"), claim("b", "x")) == "a"
    assert holder_after(table, claim("b", "a")) == "b"
    assert holder_after(table, claim("c", "a")) == "b"  # the second take-over of "a"
    assert holder_after(table, claim("a")) == "b"  # the replaced attempt claims again
    assert holder_after(table, claim("b", "a")) == "b"  # repeated take-over
    assert table.tenant_records == {"sfax": 1}


def test_equal_keys_of_different_tenants_are_different_operations():
    table = OperationTable()
    assert holder_after(table, claim("a"), claim("b", tenant="siege")) == "b"
    assert record_id("1:a", "b") != record_id("1", ":ab")
    assert [tenant_of(record_id(tenant, "2:k")) for tenant in ("", "3:x", "sfax")] == ["", "3:x", "sfax"]


@pytest.mark.parametrize(("elapsed_us", "holder"), [(RETENTION_US, "a"), (RETENTION_US + 1, "b")])
def test_a_record_is_dropped_once_it_is_older_than_its_retention(elapsed_us: int, holder: str):
    table = OperationTable()
    table.claim(claim("a"))
    table.advance(elapsed_us, RETENTION_US)
    assert holder_after(table, claim("b")) == holder
    assert table.tenant_records == {"sfax": 1}


def test_a_take_over_restarts_the_retention():
    table = OperationTable()
    table.claim(claim("a"))
    table.claim(claim("z", key="k-2"))
    table.advance(RETENTION_US, RETENTION_US)
    table.claim(claim("b", "a"))
    table.advance(RETENTION_US, RETENTION_US)
    assert [holder_after(table, claim("c", key=key)) for key in ("k-1", "k-2")] == ["b", "c"]


def test_the_clock_counts_only_time_within_a_term_and_never_runs_backwards():
    clock, table = LeadershipClock(), OperationTable()
    elapsed_us = [
        clock.start_batch(now_us, term)
        for now_us, term in ((9_000_000, 3), (9_500_000, 3), (60_000_000, 5), (59_000_000, 5))
    ]
    assert elapsed_us == [0, 500_000, 0, 0]
    assert LeadershipClock().start_batch(9_000_000, 1) == 0  # a restarted process becomes the leader at once
    table.advance(-5, RETENTION_US)
    assert table.clock_us == 0


def test_a_full_table_records_no_new_claims_until_records_expire():
    with (
        mock.patch.object(table_module, "MAX_RECORDS", 4),
        mock.patch.object(table_module, "MAX_TENANT_RECORDS", 3),
    ):
        table = OperationTable()
        holders = [table.claim(claim(f"a{number}", key=f"k-{number}")).attempt for number in range(4)]
        assert holders == ["a0", "a1", "a2", ""]  # the limit per tenant
        other_holders = [table.claim(claim(key, tenant="siege", key=key)).attempt for key in ("b", "c")]
        assert other_holders == ["b", ""]
        # A take-over replaces a record, so it is possible in a full table.
        assert holder_after(table, claim("d", "a1", key="k-1")) == "d"
        table.advance(RETENTION_US + 1, RETENTION_US)
        assert (table.records, table.tenant_records) == ({}, {})


def test_a_held_key_needs_no_log_entry_except_for_a_take_over_or_possible_expiry():
    table = OperationTable()
    assert known_holder(table, claim("a"), 0) is None
    table.claim(claim("a"))
    claims = [claim("a"), claim("b"), claim("b", "x")]
    assert [known_holder(table, each, 0).attempt for each in claims] == ["a"] * 3
    assert known_holder(table, claim("b", "a"), 0) is None  # a take-over
    assert known_holder(table, claim("b"), 1) is None  # the record may have outlived its retention


def test_malformed_claims_are_invalid():
    valid_claim = claim("a")
    assert is_valid(valid_claim)
    invalid_fields = [
        {"key": ""},
        {"key": "é" * (MAX_KEY_BYTES // 2 + 1)},
        {"attempt": ""},
        {"attempt": "a" * 65},
        {"replaces": "a" * 65},
        {"tenant": "t" * 129},
        {"owner": "nowhere"},
        {"owner": "h" * 64 + ":1"},
    ]
    assert not any(is_valid(msgspec.structs.replace(valid_claim, **fields)) for fields in invalid_fields)


def test_every_tenant_of_a_valid_configuration_may_claim():
    names = [character * configuration.MAX_NAME_LENGTH for character in ("a", "\U0001f511")]
    for name in names:
        configuration.Tenant(name)
        assert is_valid(claim("a", tenant=tenant_in_claim(name)))
    assert len({tenant_in_claim(name) for name in names}) == 2
    assert tenant_in_claim("sfax") == "sfax"
