"""Onboarding a tenant as an operator does it: approved transcripts, on a small system and on mere words."""

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from support.local_clusters import serving_cluster

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.cli import tenants
from lapisgrade.gateway.cli.operator_client import lagging_proxies
from lapisgrade.gateway.cli.tenants import TenantClient, plan_onboarding
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.local_cluster import SAMPLE

TICKET = {
    "Name": "gabes", "Apikeys": ["key-of-gabes"], "RateS": 40, "Burst": 20,
    "Ports": [{"Vhost": "gabes.example", "Policy": [
        {"Name": "r-gabes", "Mode": "idem", "Target_time": "400ms", "Match": {"Pfx": "/"},
         "Action": {"Svc": "garantie", "Timeout": "2s"}}]}],
}  # fmt: skip
SERVERS = {"garantie": {"Up": 2, "Slots": 8}}
CURRENT = {name: each for name, each in SAMPLE.items() if name != "Base"}


def text(**over) -> bytes:
    return msgspec.json.encode({**TICKET, **over})


def routed(pfx: str, host: str = "a.example", name: str = "r-new", svc: str = "garantie") -> list:
    rule = {"Name": name, "Match": {"Pfx": pfx}, "Action": {"Svc": svc, "Timeout": "2s"}}
    return [{"Vhost": host, "Policy": [rule]}]


def test_a_plan_lists_the_changes() -> None:
    plan = plan_onboarding(CURRENT, SERVERS, text())
    assert plan.lines == [
        "tenant gabes: new, 1 keys, 40 a second and 20 on top",
        "route r-gabes: gabes.example/ to garantie",
    ]
    assert (plan.objections, plan.warnings) == (
        [],
        ["service garantie: 40 a second within 0.4 s may take 16 slots at once, and it has 8"],
    )


def test_a_plan_lists_the_objections() -> None:
    for ticket, against in (
        (text(Apikeys=["key-of-sfax"]), ["a key of the ticket is held by tenant sfax"]),
        (text(Ports=routed("/stock/")), ["route r-new: r-stock has that prefix"]),
        (
            text(Ports=routed("/x/", name="r-claim")),
            ["route r-claim is there already, at a.example"],
        ),
        (
            text(Ports=routed("/x/", svc="nowhere")),
            ["route r-new: service 'nowhere' is not in Pools"],
        ),
    ):
        assert plan_onboarding(CURRENT, SERVERS, ticket).objections == against


def test_a_plan_lists_the_warnings() -> None:
    quiet = {**TICKET, "RateS": 0}
    for pfx, doubt in (
        ("/stock/eu/", "route r-new takes from r-stock, whose prefix is shorter"),
        ("/", "route r-new is hidden in part by r-stock"),
    ):
        plan = plan_onboarding(CURRENT, SERVERS, msgspec.json.encode({**quiet, "Ports": routed(pfx)}))
        assert doubt in plan.warnings
        assert plan.objections == []


def test_an_invalid_ticket_is_rejected_with_its_place() -> None:
    for ticket, word in (
        (b"{", "not JSON"),
        (b"[]", "a ticket is an object"),
        (text(Apikeys=[]), "Apikeys: a tenant needs a key"),
        (text(Quota=3), "unknown: Quota"),
        (text(RateS=-1), "RateS"),
        (text(Ports=routed("stock")), "does not begin with a slash"),
    ):
        with pytest.raises(InvalidInputError) as got:
            tenants.read_ticket(ticket)
        assert word in str(got.value)


def test_proxies_that_lag_are_listed_with_their_versions() -> None:
    one = {"Name": "c1", "Az": "z", "Held": 4, "InForce": 3, "HeardMs": 20}
    status = {"Proxies": [one, {**one, "Name": "c2", "Held": 3, "HeardMs": 1900}, {**one, "InForce": 4}]}
    assert lagging_proxies(status, 4) == [
        "c1: holds 4 ready, acts by 3, heard 20 ms ago",
        "c2: last told of 3, acts by 3, heard 1900 ms ago",
    ]


async def test_a_tenant_is_onboarded_served_and_withdrawn() -> None:
    async with serving_cluster() as site:
        said = []
        client = TenantClient(site.control_addresses, said.append)
        assert await client.apply(text(), 5.0) == 0
        assert said == [
            "  tenant gabes: new, 1 keys, 40 a second and 20 on top",
            "  route r-gabes: gabes.example/ to garantie",
            "  mind: service garantie: 40 a second within 0.4 s may take 16 slots at once, and it has 4",
            *said[3:-1],
            "version 2: in force at 3 of 3",
        ]
        for name in site.names:
            got = await site.get(name, "/1", "key-of-gabes", host="gabes.example")
            assert got.head.status_code == 200
        assert await client.apply(text(), 5.0, withdraw=True) == 0
        for name in site.names:
            got = await site.get(name, "/1", "key-of-gabes", host="gabes.example")
            assert got.head.status_code == 404
        assert (await site.get("m1", "/stock/1", "key-of-sfax")).head.status_code == 200
        said.clear()
        assert await client.apply(text(), 5.0, withdraw=True) == 1
        assert said[-1] == "  against it: tenant gabes is not there"


async def test_two_concurrent_operators_both_succeed() -> None:
    async with serving_cluster() as site:
        other = {**TICKET, "Name": "lagos", "Apikeys": ["key-of-lagos"], "Ports": []}
        offices = [TenantClient(site.control_addresses, lambda line: None) for _ in range(2)]
        got = await asyncio.gather(
            offices[0].apply(text(), 5.0), offices[1].apply(msgspec.json.encode(other), 5.0)
        )
        assert got == [0, 0]
        _, shown = await offices[0].call("conf.show")
        assert sorted(each["Name"] for each in shown["Tenants"][1:]) == ["gabes", "lagos"]


async def test_a_tenant_is_onboarded_beside_a_change_of_350_routes() -> None:
    async with serving_cluster() as site:
        rules = [
            {
                "Name": f"r-{each}",
                "Match": {"Pfx": f"/x{each}/"},
                "Action": {"Svc": "garantie", "Timeout": "1s"},
            }
            for each in range(350)
        ]
        more = {"Ver": 2, "Base": 1, "Upsert": {"Ports": [{"Vhost": "a.example", "Policy": rules}]}}
        client = TenantClient(site.control_addresses, lambda line: None)
        put, applied = await asyncio.gather(site.put(more, "conf.update"), client.apply(text(), 8.0))
        if put == 412:  # the tenant came first
            put = await site.put({**more, "Ver": 3, "Base": 2}, "conf.update")
        assert (put, applied) == (200, 0)
        await site.until(lambda: all(each.active_version == 3 for each in site.proxies.values()))
        for name in site.names:
            got = [
                await site.get(name, "/1", "key-of-gabes", host="gabes.example"),
                await site.get(name, "/x349/", "key-of-sfax"),
            ]
            assert [each.head.status_code for each in got] == [200, 200]


async def test_a_proxy_without_updates_answers_503_for_the_new_tenant_and_serves_the_others() -> None:
    async with serving_cluster() as site:
        silent = site.proxies["m3"]

        call = silent.rpc.call

        async def unheard(place, message, within):
            if isinstance(message, rpc_messages.WatchRequest):
                await asyncio.Event().wait()
            return await call(place, message, within)

        silent.rpc.call = unheard  # no news comes any more, and it does not know that yet
        said: list[str] = []
        assert await TenantClient(site.control_addresses, said.append).apply(text(), 4.0) in (0, 3)
        served = await site.get("m1", "/1", "key-of-gabes", host="gabes.example")
        lagging = await site.get("m3", "/1", "key-of-gabes", host="gabes.example", tries=1)
        old = await site.get("m3", "/stock/1", "key-of-sfax", tries=1)
        assert [each.head.status_code for each in (served, lagging)] == [200, 503]
        assert old.head.status_code in (200, 429)  # as the count allows one that is out of touch
        assert b"retry-after" in lagging.headers()


def run_command(*arguments: str) -> tuple[int, str, int]:
    got = subprocess.run(
        [sys.executable, "-m", "lapisgrade.gateway", *arguments], capture_output=True, text=True
    )
    return got.returncode, got.stderr, got.stdout.count("\n")


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("tenant", "plan", "/nowhere.json", "--ctl=127.0.0.1:1"), "/nowhere.json"),
        (("tenant", "plan", "TICKET", "--ctl=here"), "not an address"),
        (("tenant", "plan", "TICKET", "--ctl=127.0.0.1:1"), "no controller answers"),
        (("status", "--ctl=127.0.0.1:1"), "no controller answers"),
    ],
)
def test_errors_are_one_line_and_exit_code_2(
    arguments: tuple[str, ...], message: str, tmp_path: Path
) -> None:
    ticket = tmp_path / "ticket.json"
    ticket.write_bytes(text())
    code, err, out = run_command(*(str(ticket) if each == "TICKET" else each for each in arguments))
    assert (code, err.count("\n"), out) == (2, 1, 0), err
    assert message in err
