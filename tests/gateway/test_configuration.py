"""Reading a configuration."""

from support.configurations import changed, with_rule

from lapisgrade.gateway import configuration


def test_every_field_of_the_protocol_is_read():
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
    read = configuration.read(changed())
    assert (read.caps.hdr_bytes, read.caps.body_bytes, read.caps.hdr, read.caps.idle) == (
        16384,
        65536,
        3_000_000,
        15_000_000,
    )
    assert (read.tenants[0].rate_s, read.tenants[0].burst, read.tenants[0].prio) == (81, 81, 1)


def test_a_route_of_mode_keyed_does_not_have_a_configuration_refused():
    assert configuration.read(with_rule(Mode="keyed")).ports[0].policy[0].mode == "keyed"
