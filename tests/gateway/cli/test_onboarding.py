"""Onboarding and withdrawal of tenants: plans and their output, and end-to-end on a small system."""

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
CURRENT = {name: value for name, value in SAMPLE.items() if name != "Base"}


def ticket_text(**fields) -> bytes:
    """Return the ticket as JSON, with some fields replaced or added."""
    return msgspec.json.encode({**TICKET, **fields})


def ports_with_route(
    prefix: str, host: str = "a.example", name: str = "r-new", svc: str = "garantie"
) -> list:
    """Return the `Ports` of a ticket with a single route."""
    rule = {"Name": name, "Match": {"Pfx": prefix}, "Action": {"Svc": svc, "Timeout": "2s"}}
    return [{"Vhost": host, "Policy": [rule]}]


def test_a_plan_lists_the_changes() -> None:
    plan = plan_onboarding(CURRENT, SERVERS, ticket_text())
    assert plan.lines == [
        "tenant gabes: new, 1 keys, 40 requests/s with a burst of 20 requests",
        "route r-gabes: gabes.example/ to garantie",
    ]
    assert (plan.objections, plan.warnings) == (
        [],
        ["service garantie: 40 requests/s within 0.4 s may take up to 16 slots, but it has 8"],
    )


def test_a_plan_lists_the_objections() -> None:
    for ticket, objections in (
        (ticket_text(Apikeys=["key-of-sfax"]), ["a key of the ticket belongs to tenant sfax"]),
        (ticket_text(Ports=ports_with_route("/stock/")), ["route r-new: r-stock has the same prefix"]),
        (
            ticket_text(Ports=ports_with_route("/x/", name="r-claim")),
            ["route r-claim already exists, at a.example"],
        ),
        (
            ticket_text(Ports=ports_with_route("/x/", svc="nowhere")),
            ["route r-new: service 'nowhere' is not in Pools"],
        ),
    ):
        assert plan_onboarding(CURRENT, SERVERS, ticket).objections == objections


def test_a_plan_lists_the_warnings() -> None:
    unlimited = {**TICKET, "RateS": 0}
    for prefix, warning in (
        ("/stock/eu/", "route r-new takes requests from r-stock, whose prefix is shorter"),
        ("/", "route r-new is partly shadowed by r-stock"),
    ):
        plan = plan_onboarding(
            CURRENT, SERVERS, msgspec.json.encode({**unlimited, "Ports": ports_with_route(prefix)})
        )
        assert warning in plan.warnings
        assert plan.objections == []


def test_an_invalid_ticket_is_rejected_with_its_place() -> None:
    for ticket, message in (
        (b"{", "not JSON"),
        (b"[]", "a ticket is an object"),
        (ticket_text(Apikeys=[]), "Apikeys: a tenant needs a key"),
        (ticket_text(Quota=3), "unknown keys: Quota"),
        (ticket_text(RateS=-1), "RateS"),
        (ticket_text(Ports=ports_with_route("stock")), "does not begin with a slash"),
    ):
        with pytest.raises(InvalidInputError) as caught:
            tenants.read_ticket(ticket)
        assert message in str(caught.value)


def test_proxies_that_lag_are_listed_with_their_versions() -> None:
    proxy = {"Name": "c1", "Az": "z", "Held": 4, "InForce": 3, "HeardMs": 20}
    status = {
        "Proxies": [proxy, {**proxy, "Name": "c2", "Held": 3, "HeardMs": 1900}, {**proxy, "InForce": 4}]
    }
    assert lagging_proxies(status, 4) == [
        "c1: version 4 staged, active version 3, last contact 20 ms ago",
        "c2: newest staged version 3, active version 3, last contact 1900 ms ago",
    ]


async def test_a_tenant_is_onboarded_served_and_withdrawn() -> None:
    async with serving_cluster() as site:
        lines = []
        client = TenantClient(site.control_addresses, lines.append)
        assert await client.apply(ticket_text(), 5.0) == 0
        assert lines == [
            "  tenant gabes: new, 1 keys, 40 requests/s with a burst of 20 requests",
            "  route r-gabes: gabes.example/ to garantie",
            "  warning: service garantie: 40 requests/s within 0.4 s may take up to 16 slots, but it has 4",
            *lines[3:-1],
            "proxies with version 2 active: 3 of 3",
        ]
        for name in site.names:
            response = await site.get(name, "/1", "key-of-gabes", host="gabes.example")
            assert response.head.status_code == 200
        assert await client.apply(ticket_text(), 5.0, withdraw=True) == 0
        for name in site.names:
            response = await site.get(name, "/1", "key-of-gabes", host="gabes.example")
            assert response.head.status_code == 404
        assert (await site.get("m1", "/stock/1", "key-of-sfax")).head.status_code == 200
        lines.clear()
        assert await client.apply(ticket_text(), 5.0, withdraw=True) == 1
        assert lines[-1] == "  objection: tenant gabes does not exist"


async def test_two_concurrent_operators_both_succeed() -> None:
    async with serving_cluster() as site:
        other = {**TICKET, "Name": "lagos", "Apikeys": ["key-of-lagos"], "Ports": []}
        clients = [TenantClient(site.control_addresses, lambda line: None) for _ in range(2)]
        exit_codes = await asyncio.gather(
            clients[0].apply(ticket_text(), 5.0), clients[1].apply(msgspec.json.encode(other), 5.0)
        )
        assert exit_codes == [0, 0]
        _, shown = await clients[0].call("conf.show")
        assert sorted(tenant["Name"] for tenant in shown["Tenants"][1:]) == ["gabes", "lagos"]


async def test_a_tenant_is_onboarded_beside_a_change_of_350_routes() -> None:
    async with serving_cluster() as site:
        rules = [
            {
                "Name": f"r-{number}",
                "Match": {"Pfx": f"/x{number}/"},
                "Action": {"Svc": "garantie", "Timeout": "1s"},
            }
            for number in range(350)
        ]
        change = {"Ver": 2, "Base": 1, "Upsert": {"Ports": [{"Vhost": "a.example", "Policy": rules}]}}
        client = TenantClient(site.control_addresses, lambda line: None)
        put_status, exit_code = await asyncio.gather(
            site.put(change, "conf.update"), client.apply(ticket_text(), 8.0)
        )
        if put_status == 412:  # the tenant's change was applied first
            put_status = await site.put({**change, "Ver": 3, "Base": 2}, "conf.update")
        assert (put_status, exit_code) == (200, 0)
        await site.until(lambda: all(proxy.active_version == 3 for proxy in site.proxies.values()))
        for name in site.names:
            responses = [
                await site.get(name, "/1", "key-of-gabes", host="gabes.example"),
                await site.get(name, "/x349/", "key-of-sfax"),
            ]
            assert [response.head.status_code for response in responses] == [200, 200]


async def test_a_proxy_without_updates_answers_503_for_the_new_tenant_and_serves_the_others() -> None:
    async with serving_cluster() as site:
        lagging_proxy = site.proxies["m3"]
        call = lagging_proxy.rpc.call

        async def drop_watch_requests(address, message, timeout_s):
            if isinstance(message, rpc_messages.WatchRequest):
                await asyncio.Event().wait()
            return await call(address, message, timeout_s)

        # From now on the proxy gets no updates, which it detects only after a time without replies.
        lagging_proxy.rpc.call = drop_watch_requests
        lines: list[str] = []
        assert await TenantClient(site.control_addresses, lines.append).apply(ticket_text(), 4.0) in (0, 3)
        accepted = await site.get("m1", "/1", "key-of-gabes", host="gabes.example")
        lagging = await site.get("m3", "/1", "key-of-gabes", host="gabes.example", tries=1)
        existing_tenant = await site.get("m3", "/stock/1", "key-of-sfax", tries=1)
        assert [each.head.status_code for each in (accepted, lagging)] == [200, 503]
        # 429 if the proxy limits the tenant's quota because it has no contact with the leader.
        assert existing_tenant.head.status_code in (200, 429)
        assert b"retry-after" in lagging.headers()


def run_command(*arguments: str) -> tuple[int, str, int]:
    """Run a command; return its exit code, standard error, and number of lines on standard output."""
    completed = subprocess.run(
        [sys.executable, "-m", "lapisgrade.gateway", *arguments], capture_output=True, text=True
    )
    return completed.returncode, completed.stderr, completed.stdout.count("\n")


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("tenant", "plan", "/nowhere.json", "--ctl=127.0.0.1:1"), "/nowhere.json"),
        (("tenant", "plan", "TICKET", "--ctl=here"), "not an address"),
        (("tenant", "plan", "TICKET", "--ctl=127.0.0.1:1"), "no controller replied"),
        (("status", "--ctl=127.0.0.1:1"), "no controller replied"),
    ],
)
def test_errors_are_reported_in_one_line_with_exit_code_2(
    arguments: tuple[str, ...], message: str, tmp_path: Path
) -> None:
    ticket = tmp_path / "ticket.json"
    ticket.write_bytes(ticket_text())
    code, err, line_count = run_command(
        *(str(ticket) if argument == "TICKET" else argument for argument in arguments)
    )
    assert (code, err.count("\n"), line_count) == (2, 1, 0), err
    assert message in err
