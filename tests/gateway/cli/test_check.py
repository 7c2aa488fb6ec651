"""`check conf`, `plan` and `loss`: errors with places and hints, warnings, changes and predictions."""

import asyncio
import functools

import msgspec
import pytest
from support.local_clusters import serving_cluster
from support.sample_configuration import (
    CLAIM_ROUTE,
    SAMPLE_CONFIGURATION,
    STOCK_ROUTE,
    action_of,
    edited_configuration,
    set_split,
)

from lapisgrade.gateway import configuration
from lapisgrade.gateway.cli import configuration_check
from lapisgrade.gateway.cli.machine_loss import describe_loss
from lapisgrade.gateway.cli.operator_client import OperatorClient
from lapisgrade.gateway.configuration_change import apply_change
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.local_cluster import CONTROL_PORT, SAMPLE, LocalCluster
from lapisgrade.gateway.quota.ownership import owner_of
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.settings import Address

# Edits of the sample configuration that make it invalid, each with a part of the expected error. `c` is the
# configuration, `r` the rules of its host.
INVALID = [
    (lambda c, r: action_of(r).update(Svc="nowhere"), "route r-claim: service 'nowhere' is not in Pools"),
    (lambda c, r: action_of(r).pop("Timeout"), "required field missing"),
    (lambda c, r: action_of(r).update(Timeout="0s"), "Timeout is 0, not above 0"),
    (lambda c, r: action_of(r).update(Timeout="soon"), "'soon' is not a time"),
    (lambda c, r: action_of(r).update(Timeout=2000), "2000 is not a time"),
    (lambda c, r: set_split(r, garantie=-1), "Wt is -1, below 0"),
    (lambda c, r: set_split(r, garantie=0), "add up to 0"),
    (lambda c, r: action_of(r).update(Split=[{"Svc": "garantie", "Wt": 1}]), "not both and not none"),
    (lambda c, r: action_of(r).pop("Svc"), "not both and not none"),
    (lambda c, r: action_of(r).update(Tries=0), "Tries is 0, not above 0"),
    (lambda c, r: r[CLAIM_ROUTE]["Match"].update(Pfx="claim/"), "'claim/' does not begin with a slash"),
    (lambda c, r: r[CLAIM_ROUTE].pop("Match"), "required field missing"),
    (lambda c, r: r[CLAIM_ROUTE].update(Mode="twice"), "'twice' is no mode"),
    (lambda c, r: r[CLAIM_ROUTE].update(Name=""), "Name must have 1 to 256 characters"),
    (lambda c, r: r[CLAIM_ROUTE].update(Name="r-stock"), "a route stands twice: 'r-stock'"),
    (lambda c, r: r[CLAIM_ROUTE]["Match"].update(Pfx="/stock/"), "a prefix stands twice"),
    (lambda c, r: r[CLAIM_ROUTE].update(Prio="high"), "'high' is not of the kind int"),
    (lambda c, r: r[CLAIM_ROUTE].update(Public=1), "'1' is not of the kind bool"),
    (lambda c, r: c["Pools"].append({"Name": "garantie"}), "a service stands twice"),
    (lambda c, r: c["Pools"].append({"Name": "x", "Maxconn": 0}), "Maxconn is 0, not above 0"),
    (lambda c, r: c["Tenants"].append({"Name": "sfax"}), "a tenant stands twice"),
    (lambda c, r: c["Tenants"].append({"Name": "b", "Apikeys": ["key-of-sfax"]}), "a key stands twice"),
    (lambda c, r: c["Tenants"][0].update(RateS=-2), "RateS is -2, below 0"),
    (lambda c, r: c["Tenants"][0].update(Burst="many"), "'many' is not of the kind float"),
    (lambda c, r: c.pop("Ver"), "$.Ver"),
    (lambda c, r: c.update(Ver=0), "Ver is 0, not above 0"),
    (lambda c, r: c["Caps"].update(Idle="0ms"), "Idle is 0, not above 0"),
    (lambda c, r: c["Ports"][0].pop("Vhost"), "Ports[0].Vhost"),
    (lambda c, r: c.update(Note="n" * configuration.MAX_BYTES), "bytes, at most 8388544 are accepted"),
    (lambda c, r: c.update(Note=functools.reduce(lambda x, _: [x], range(70), 1)), "nested deeper than 64"),
    (lambda c, r: c.update(Note=2**64), "a number has more than 64 bits"),
    (lambda c, r: c.update(Ver=2**63), "Ver is not between"),
]

# Edits that leave the configuration valid, each with a part of the expected warning.
SUSPICIOUS = [
    (lambda c, r: r[CLAIM_ROUTE]["Match"].update(Pfx="/claim"), "prefix /claim does not end with a slash"),
    (
        lambda c, r: action_of(r).update(Timeout="100ms"),
        "r-claim: time-out of 0.1 s is below its latency target of 0.5 s",
    ),
    (lambda c, r: set_split(r, garantie=1), "r-claim: split has only one service"),
    (lambda c, r: (c["Pools"].append({"Name": "b"}), set_split(r, garantie=1, b=0)), "b has weight 0"),
    (
        lambda c, r: action_of(r, STOCK_ROUTE).update(Tries=1),
        "r-stock: is idempotent, but is limited to one attempt",
    ),
    (lambda c, r: c["Pools"].append({"Name": "b"}), "service b: no route uses it"),
    (lambda c, r: c["Tenants"].append({"Name": "b"}), "tenant b: has no key"),
    (lambda c, r: c["Tenants"][0].update(RateS=0), "Burst has no effect without RateS"),
    (lambda c, r: c["Tenants"][0].update(Burst=0), "no Burst: it defaults to the requests of one second"),
    (lambda c, r: c.update(Tenants=[]), "every request to a route that is not public is answered 401"),
    (
        lambda c, r: (c.pop("Tenants"), r[CLAIM_ROUTE].update(Public=True)),
        "is public, although no route requires a key",
    ),
    (
        lambda c, r: c["Ports"].append({"Vhost": "A.example", "Policy": []}),
        "host a.example is listed 2 times",
    ),
]


def test_every_kind_of_error_is_reported_with_its_place() -> None:
    for edit, expected in INVALID:
        errors, warnings = configuration_check.check_text(edited_configuration(edit))
        assert expected in " ".join(errors), (expected, errors)
        assert warnings == []
        assert "key-of-sfax" not in " ".join(errors)


def test_valid_but_suspicious_configurations_get_warnings() -> None:
    assert configuration_check.check_text(msgspec.json.encode(SAMPLE_CONFIGURATION)) == ([], [])
    for edit, expected in SUSPICIOUS:
        errors, warnings = configuration_check.check_text(edited_configuration(edit))
        assert errors == [], expected
        assert expected in "\n".join(warnings)


def test_a_change_that_the_leader_would_refuse_for_its_size_is_reported() -> None:
    large = {**SAMPLE_CONFIGURATION, "Note": "n" * (configuration.MAX_BYTES - 5000)}
    change = {"Upsert": {"Pools": [{"Name": "added", "Note": "n" * 6000}]}}
    _, errors, _ = configuration_check.check_change(large, change, {})
    assert "are accepted (remove or shorten items" in errors[0]


def test_errors_have_a_hint_how_to_correct_them() -> None:
    errors, _ = configuration_check.check_text(
        edited_configuration(lambda c, r: action_of(r).update(Svc="nowhere"))
    )
    hint = "(name the service under Pools, or send the route to one that is there)"
    assert errors == [f"route r-claim: service 'nowhere' is not in Pools {hint}"]
    errors, _ = configuration_check.check_text(edited_configuration(lambda c, r: action_of(r).pop("Timeout")))
    place = "$.Ports[0].Policy[1].Action.Timeout"
    assert errors == [f"required field missing @ {place} (it can't be left out)"]
    for edit, expected in INVALID[1:8]:
        assert configuration_check.check_text(edited_configuration(edit))[0][0].endswith(")"), expected


def test_a_host_listed_twice_has_the_routes_of_both() -> None:
    def list_host_twice(raw: dict, rules: list) -> None:
        raw["Ports"] = [{"Vhost": "a.example", "Policy": [rule]} for rule in rules]

    edited = msgspec.json.decode(edited_configuration(list_host_twice))
    table = RouteTable(configuration.read(edited))
    assert [table.find_rule("a.example", f"/{path}/1").name for path in ("stock", "claim")] == [
        "r-stock",
        "r-claim",
    ]
    later = apply_change(edited, {"Ver": 2, "Del": {"Routes": ["r-none"]}})
    assert len(later["Ports"][0]["Policy"]) == 2


async def test_a_plan_matches_the_change_that_follows() -> None:
    async with serving_cluster() as site:
        current, status = await OperatorClient(site.control_addresses, lambda line: None).fetch_newest()
        rule = {**SAMPLE["Ports"][0]["Policy"][1]}
        rule["Action"] = {**rule["Action"], "Svc": "reparation"}
        ports = [{"Vhost": "a.example", "Policy": [rule]}]
        change = {"Upsert": {"Ports": ports, "Pools": [{"Name": "reparation"}]}}
        lines = ["+ Pools/reparation", '  Routes/r-claim/Action/Svc: "garantie" -> "reparation"']
        assert configuration_check.check_change(current, change, status["Servers"]) == (
            lines,
            [],
            ["service reparation: no server is up"],
        )
        assert await site.put({"Ver": 2, "Base": 1, **change}, "conf.update") == 200
        later, _ = await OperatorClient(site.control_addresses, lambda line: None).fetch_newest()
        assert configuration_check.describe_changes(current, later) == lines
        rule["Action"] = {"Svc": "nowhere", "Timeout": "1s"}
        assert len(configuration_check.check_change(current, change, status["Servers"])[1]) == 1


def client(site: LocalCluster) -> OperatorClient:
    return OperatorClient([Address((ip, CONTROL_PORT)) for ip in site.ip.values()], lambda line: None)


async def test_a_predicted_loss_matches_the_loss_that_follows() -> None:
    async with serving_cluster() as site:
        current, status = await client(site).fetch_newest()
        conf = configuration.read(current)
        owner = owner_of("sfax", site.names)
        other = next(name for name in site.names if name != owner)
        lines, has_quorum = describe_loss(conf, status, [owner])
        assert [has_quorum, lines[0], lines[-1], "zone local: 2 of 3 proxies left" in lines] == [
            True,
            "voters: 2 of 3 left: a quorum, changes are still possible",
            "quota counts that change owner, unavailable for about 2 s: sfax",
            True,
        ]
        assert not [line for line in describe_loss(conf, status, [other])[0] if "counts" in line]
        lines, has_quorum = describe_loss(conf, status, [owner, other])
        assert not has_quorum
        assert "no quorum, no change is acknowledged until it is restored" in lines[0]
        with pytest.raises(InvalidInputError, match="unknown proxies: m9"):
            describe_loss(conf, status, ["m9"])
        for process in (site.controllers[owner], site.proxies[owner]):
            await site.kill(process)
        change = {"Ver": 2, "Base": 1, "Upsert": {"Pools": [{"Name": "b"}]}}
        while await site.put(change, "conf.update") != 200:
            await asyncio.sleep(0.02)
        await site.until(
            lambda: all(owner not in proxy.quota_owner.proxies for proxy in site.proxies.values())
        )
        assert owner_of("sfax", site.proxies[other].quota_owner.eligible_owners) != owner
        await site.kill(site.controllers[other])
        assert await site.put({**change, "Ver": 3, "Base": 2}, "conf.update") == 0
