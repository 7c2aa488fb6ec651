"""Reading a configuration and finding a request's route in it."""

import msgspec
from support.configurations import WHOLE, changed, with_rule

from lapisgrade.gateway import api, configuration
from lapisgrade.gateway.routing.route_table import RouteTable


def test_every_field_of_the_protocol_is_read():
    made = configuration.read(with_rule(Prio=2, Public=True)).ports[0].policy[0]
    assert (made.name, made.mode, made.target_time, made.prio, made.public, made.match.pfx) == (
        "r-stock",
        "idem",
        400_000,
        2,
        True,
        "/stock/",
    )
    assert (made.action.timeout, made.action.tries, made.action.svc) == (2_500_000, 2, "garantie")
    whole = configuration.read(changed())
    assert (whole.caps.hdr_bytes, whole.caps.body_bytes, whole.caps.hdr, whole.caps.idle) == (
        16384,
        65536,
        3_000_000,
        15_000_000,
    )
    assert (whole.tenants[0].rate_s, whole.tenants[0].burst, whole.tenants[0].prio) == (81, 81, 1)
    beat = {
        "Svc": "a", "Addr": "10.0.0.1:80", "Az": "z", "Ver": "v1", "Slots": 4, "State": "up",
        "Warmup_time": "900ms", "Seq": 4,
    }  # fmt: skip
    server = api.parse_heartbeat("i-1", msgspec.json.encode(beat))
    assert (
        server.service,
        server.address,
        server.zone,
        server.slots,
        server.sequence_number,
        server.warm_up_us,
    ) == ("a", "10.0.0.1:80", "z", 4, 4, 900_000)


def test_a_route_is_the_longest_matching_prefix_of_the_host():
    table = RouteTable(configuration.read({name: each for name, each in WHOLE.items() if name != "Base"}))
    asked = ["/stock/2f", "/stock/claim/1?x=/stock/", "/stockroom", "/", "/stock/claim"]
    found = [rule.name if (rule := table.find_rule("A.example", path)) else None for path in asked]
    assert found == ["r-stock", "r-claim", None, None, "r-stock"]
    assert table.find_rule("b.example", "/stock/") is None
    assert table.tenants_by_key["k2"].name == "sfax"
