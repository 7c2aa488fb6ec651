"""Parsing a configuration."""

import pytest
from support.configurations import with_fields, with_rule

from lapisgrade.gateway import configuration
from lapisgrade.gateway.configuration import Mode
from lapisgrade.gateway.errors import ConfigurationError


def test_every_field_is_parsed():
    rule = configuration.read(with_rule(Prio=2, Public=True)).ports[0].policy[0]
    assert (rule.name, rule.mode, rule.target_time, rule.prio, rule.public, rule.match.pfx) == (
        "r-stock",
        "idem",
        400_000,
        2,
        True,
        "/stock/",
    )
    assert (rule.action.timeout, rule.action.tries, rule.action.svc) == (2_500_000, 2, "garantie")
    read = configuration.read(with_fields())
    assert (read.caps.hdr_bytes, read.caps.body_bytes, read.caps.hdr, read.caps.idle) == (
        16384,
        65536,
        3_000_000,
        15_000_000,
    )
    assert (read.tenants[0].rate_s, read.tenants[0].burst, read.tenants[0].prio) == (81, 81, 1)


def test_a_route_of_mode_keyed_is_accepted():
    assert configuration.read(with_rule(Mode="keyed")).ports[0].policy[0].mode == "keyed"


def test_an_unknown_mode_is_rejected_with_a_list_of_the_valid_ones():
    with pytest.raises(ConfigurationError) as caught:
        configuration.read(with_rule(Mode="often"))
    assert "'often' is no mode, as idem, mutate and keyed are" in str(caught.value)
    for mode in Mode:
        assert mode.value in str(caught.value)


@pytest.mark.parametrize("value", ["yes", 1, None])
def test_the_dedup_flag_of_a_service_must_be_a_boolean(value):
    with pytest.raises(ConfigurationError) as caught:
        configuration.read(with_fields(Pools=[{"Name": "garantie", "Dedup": value}, {"Name": "reports"}]))
    assert "is not of the kind bool" in str(caught.value)


def test_the_dedup_flag_of_a_service_defaults_to_false():
    pools = [{"Name": "garantie", "Dedup": True}, {"Name": "reports"}]
    assert [pool.dedup for pool in configuration.read(with_fields(Pools=pools)).pools] == [True, False]
