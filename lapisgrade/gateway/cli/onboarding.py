"""Onboarding one tenant, the operator's tool: a ticket says who it is, what it may take and where its
requests go; from it and the configuration that is there the change is made, and what speaks against it is
told. Pure, but for `OperatorClient`, which carries it out.

A ticket is a JSON object: a tenant's fields beside `Ports` and `Pools`, each as in a configuration.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import msgspec
from attrs import define, field

from lapisgrade.net.http import MalformedMessageError
from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.http_client import ask
from lapisgrade.gateway.settings import Address, Bad, an_object, take

AGAIN = 5  # times that a change is made anew where somebody else's came first
LOOK = 0.2  # s between two looks at how far it has come
TENANT = ("Name", "Apikeys", "Prio", "RateS", "Burst")


@define(frozen=True, slots=True)
class Ticket:
    """One tenant with the routes and services that come with it."""

    name: str = field(validator=configuration.named)
    apikeys: tuple[str, ...] = ()
    prio: int | None = None
    rate_s: float = field(default=0.0, validator=configuration.natural, metadata={"wire": "RateS"})
    burst: float = field(default=0.0, validator=configuration.natural)
    ports: tuple[configuration.Port, ...] = ()
    pools: tuple[configuration.Pool, ...] = ()


@define(slots=True)
class Plan:
    """`lines` say what will change, `against` what keeps it from being sent, `doubts` what it may cost."""

    change: dict[str, Any]
    lines: list[str] = field(factory=list)
    against: list[str] = field(factory=list)
    doubts: list[str] = field(factory=list)


def read(text: bytes) -> tuple[Ticket, dict]:
    """A ticket, checked, and as it was written; Bad with each mistake and its place."""
    raw = an_object(text, "a ticket")
    if strange := sorted(set(raw) - {*TENANT, "Ports", "Pools"}):
        raise Bad(f"unknown: {', '.join(strange)[:200]}")
    ticket: Ticket = take(configuration.converter(), raw, Ticket)
    if not ticket.apikeys:
        raise Bad("Apikeys: a tenant needs a key")
    return ticket, raw


def rules(ports) -> list[tuple[str, configuration.Rule]]:
    return [(port.vhost, rule) for port in ports for rule in port.policy]


def plan(current: dict, servers: dict[str, dict], text: bytes) -> Plan:
    """The change that brings the tenant in. `servers`: by service, how many are up and their slots."""
    ticket, raw = read(text)
    upsert: dict[str, Any] = {"Tenants": [{name: raw[name] for name in TENANT if name in raw}]}
    upsert.update({name: raw[name] for name in ("Ports", "Pools") if raw.get(name)})
    ver = current.get("Ver", 0)
    made = Plan({"Ver": ver + 1, "Base": ver, "Upsert": upsert})
    there = configuration.read(current)
    old = {each.name: each for each in there.tenants or ()}
    made.lines.append(
        f"tenant {ticket.name}: {'changes' if ticket.name in old else 'new'}, {len(ticket.apikeys)} keys, "
        + (f"{ticket.rate_s:g} a second and {ticket.burst:g} on top" if ticket.rate_s else "no limit")
    )
    for other in old.values():
        if other.name != ticket.name and set(other.apikeys) & set(ticket.apikeys):
            made.against.append(f"a key of the ticket is held by tenant {other.name}")
    if there.tenants is None and there.ports:
        made.doubts.append("no keys were wanted so far: every request needs one from then on")
    placed = {rule.name: (host, rule) for host, rule in rules(there.ports)}
    for host, rule in rules(ticket.ports):
        services = ", ".join(each.svc for each in rule.action.shares())
        made.lines.append(f"route {rule.name}: {host}{rule.match.pfx} to {services}")
        if rule.name in placed:
            made.against.append(f"route {rule.name} is there already, at {placed[rule.name][0]}")
        for other_host, other in placed.values():
            if other_host.lower() != host.lower() or other.name == rule.name:
                continue
            if other.match.pfx == rule.match.pfx:
                made.against.append(f"route {rule.name}: {other.name} has that prefix")
            elif rule.match.pfx.startswith(other.match.pfx):
                made.doubts.append(f"route {rule.name} takes from {other.name}, whose prefix is shorter")
            elif other.match.pfx.startswith(rule.match.pfx):
                made.doubts.append(f"route {rule.name} is hidden in part by {other.name}")
        for each in rule.action.shares():
            slots = servers.get(each.svc, {}).get("Slots", 0)
            at_once = ticket.rate_s * rule.target_time / SECOND
            if not slots:
                made.doubts.append(f"service {each.svc}: no server is up")
            elif at_once > slots:
                made.doubts.append(
                    f"service {each.svc}: {ticket.rate_s:g} a second within {rule.target_time / SECOND:g} s "
                    f"may take {at_once:g} slots at once, and it has {slots}"
                )
    for each in ticket.pools:
        known = each.name in {pool.name for pool in there.pools}
        made.lines.append(f"service {each.name}: {'changes' if known else 'new'}")
    try:
        configuration.read(configuration.updated(current, made.change))
    except Bad as wrong:
        if not made.against:  # else it says the same again
            made.against.append(str(wrong))
    return made


def withdrawal(current: dict, text: bytes) -> Plan:
    """The change that takes the tenant and its routes out; services stay, as others may use them."""
    ticket, _ = read(text)
    ver, there = current.get("Ver", 0), configuration.read(current)
    placed = {rule.name for _, rule in rules(there.ports)}
    routes = [rule.name for _, rule in rules(ticket.ports) if rule.name in placed]
    made = Plan({"Ver": ver + 1, "Base": ver, "Del": {"Tenants": [ticket.name], "Routes": routes}})
    if ticket.name not in {each.name for each in there.tenants or ()}:
        made.against.append(f"tenant {ticket.name} is not there")
    made.lines = [f"tenant {ticket.name} goes", *(f"route {name} goes" for name in routes)]
    return made


def behind(status: dict, ver: int) -> list[str]:
    """The proxies that do not act by that version yet, with what holds each back."""
    return [
        f"{each['Name']}: "
        + (f"holds {each['Held']} ready" if each["Held"] >= ver else f"last told of {each['Held']}")
        + f", acts by {each['InForce']}, heard {each['HeardMs']} ms ago"
        for each in status["Proxies"]
        if each["InForce"] < ver
    ]


class OperatorClient:
    """Carries calls to whichever controller answers; `say` gets one line at a time."""

    def __init__(self, controllers: list[Address], say: Callable[[str], None]) -> None:
        self._controllers, self._say = controllers, say

    async def call(self, name: str, body: bytes = b"") -> tuple[int, dict]:
        """The status and what it says; 0 where no controller answers."""
        status = 0
        for controller in self._controllers:
            try:
                got = await ask(controller, "POST", f"/-/rpc?call={name}", body)
                said = b"".join(got.body)
                status = got.head.status_code
                if status < 500:
                    return status, msgspec.json.decode(said) if said else {}
            except (OSError, TimeoutError, MalformedMessageError, msgspec.MsgspecError):
                continue
        return status, {}

    async def show(self) -> tuple[dict, dict]:
        """The newest configuration, and who acts by which; Bad where nobody says."""
        _, current = await self.call("conf.show")
        status, where = await self.call("conf.status")
        if status != 200:
            raise Bad("no controller answers, or none leads")
        return ({} if "Ver" not in current else current), where

    def tell(self, made: Plan) -> bool:
        for line in made.lines:
            self._say(f"  {line}")
        for line in made.doubts:
            self._say(f"  mind: {line}")
        for line in made.against:
            self._say(f"  against it: {line}")
        return not made.against

    async def plan(self, text: bytes) -> int:
        current, where = await self.show()
        made = plan(current, where["Servers"], text)
        self._say(f"on top of version {made.change['Base']}, at {len(where['Proxies'])} proxies:")
        return 0 if self.tell(made) else 1

    async def apply(self, text: bytes, within: float, withdraw: bool = False) -> int:
        """Send the change, and follow it until it is in force everywhere; 0 once it is, 3 where some hold
        back, 1 where something speaks against it."""
        for _ in range(AGAIN):
            current, where = await self.show()
            made = withdrawal(current, text) if withdraw else plan(current, where["Servers"], text)
            if not self.tell(made):
                return 1
            status, said = await self.call("conf.update", msgspec.json.encode(made.change))
            if status == 412:
                self._say("somebody else's change came first: planned anew")
                continue
            if status != 200:
                self._say(f"answered {status}: {said.get('Err', 'no majority has said so; look at status')}")
                return 1
            return await self.follow(made.change["Ver"], within)
        return 1

    async def follow(self, ver: int, within: float) -> int:
        ends, last = time.monotonic() + within, -1
        while True:
            _, where = await self.show()
            late = behind(where, ver)
            done = len(where["Proxies"]) - len(late)
            if done != last:
                self._say(f"version {ver}: in force at {done} of {len(where['Proxies'])}")
                last = done
            if not late and where["InForce"] >= ver:
                return 0
            if time.monotonic() > ends:
                for line in late:
                    self._say(f"  holds back: {line}")
                return 3
            await asyncio.sleep(LOOK)

    async def status(self) -> int:
        _, where = await self.show()
        self._say(f"newest version {where['Newest']}, in force {where['InForce']}")
        for line in behind(where, where["Newest"]):
            self._say(f"  {line}")
        for name, each in sorted(where["Servers"].items()):
            self._say(f"  service {name}: {each['Up']} servers up, {each['Slots']} slots")
        return 0
