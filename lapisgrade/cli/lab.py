"""`lapisgrade lab`: the laboratory's commands."""

import asyncio
import itertools
import json
import logging
import sys
from dataclasses import replace

import click

from lapisgrade.cli.lab_fleet import fleet


RENAMED = {"line": "partitions", "turnstile": "quota", "shunting": "balancing"}


class Laboratory(click.Group):
    """A group that says what a command of an earlier name is called now."""

    def resolve_command(self, context: click.Context, args: list[str]):
        """As click's, with that advice."""
        if args and args[0] in RENAMED:
            context.fail(f"'lab {args[0]}' is now 'lab {RENAMED[args[0]]}'")
        return super().resolve_command(context, args)


@click.group(cls=Laboratory)
def lab() -> None:
    """The laboratory: emulated fleets in simulated time, and reports of their runs."""


@lab.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option(
    "--policy",
    type=click.Choice(["module", "local", "central"]),
    default=None,
    help="in place of the scenario's: the decision module or a baseline",
)
@click.option("--seed", type=int, default=None, help="in place of the scenario's")
@click.option("--limiters", type=click.IntRange(1, 10_000), default=None, help="in place of the scenario's")
@click.option("--servers", type=click.IntRange(1, 10_000), default=None, help="in place of the scenario's")
@click.option("--customers", type=click.IntRange(1, 1_000_000), default=None)
@click.option(
    "--out",
    type=click.Path(dir_okay=False),
    default=None,
    help="where the result goes as JSON (default: lab-runs/NAME-POLICY-SEED.json)",
)
def lab_run(scenario, policy, seed, limiters, servers, customers, out) -> None:
    """Play SCENARIO (TOML, see docs/lab.md) and write its result; exit 1 where a rule broke."""
    from lapisgrade.lab.emulator import scenario as scenarios
    from lapisgrade.lab.emulator.world import World

    try:
        played = scenarios.emulated(scenario)
    except scenarios.ScenarioError as wrong:
        click.echo(f"the scenario: {wrong}", err=True)
        sys.exit(2)
    scenarios.changed(
        played,
        {"policy": policy, "seed": seed, "limiters": limiters, "servers": servers, "customers": customers},
    )
    result = World(played).run()
    path = out or f"lab-runs/{played.name}-{played.policy}-{played.seed}.json"
    import os

    os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(result.as_dict(), file)
    ends = ", ".join(f"{name} {count}" for name, count in result.ends.items())
    click.echo(f"{result.name} ({result.policy}, seed {result.seed}): {result.operations} operations: {ends}")
    click.echo(
        f"payoff share {result.payoff_share:.3f}; latency ms p50 {result.latency_ms['p50']:.1f} "
        f"p99 {result.latency_ms['p99']:.1f}; overshoot p99 {result.overshoot['p99']:.3f}; "
        f"counter calls {result.counter_calls}"
    )
    click.echo(
        f"{result.events} events in {result.wall_s:.1f} s ({result.events_per_s:,.0f} a second), "
        f"{result.peak_mb:.0f} MB at most; written to {path}"
    )
    for breach in result.breaches[:10]:
        click.echo(
            f"RULE {breach['rule']} BROKEN at step {breach['step']}: {breach['what']} ({breach['operation']})"
        )
    sys.exit(1 if result.broken else 0)


@lab.command("report")
@click.argument("runs", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", default="lab-runs/report", show_default=True, help="the path, less .png/.html")
def lab_report(runs, out) -> None:
    """Plot one run, or several side by side, into a PNG and a self-contained HTML page."""
    from lapisgrade.lab.report import plots

    try:
        written = plots.report(list(runs), out)
    except plots.BadRun as wrong:
        click.echo(f"the run: {wrong}", err=True)
        sys.exit(2)
    for path in written:
        click.echo(f"written {path}")


@lab.command("sweep")
@click.argument("scenarios", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--sizes",
    default="10,100,1000",
    show_default=True,
    help="limiters; servers as many, customers ten times as many, traffic in proportion",
)
@click.option("--policies", default="module,local,central", show_default=True)
@click.option("--spreads", default="", help="limiters in a customer's set, each tried")
@click.option(
    "--seconds",
    type=float,
    default=None,
    help="in place of the scenarios'; their faults' times are scaled alike",
)
def lab_sweep(scenarios, sizes, policies, spreads, seconds) -> None:
    """Play each scenario at each size, spread and policy; print a Markdown table of what they reached."""
    from lapisgrade.lab.emulator import scenario as read_scenarios
    from lapisgrade.lab.emulator.world import World

    try:
        counts = [int(each) for each in sizes.split(",")]
        wide = [int(each) for each in spreads.split(",")] if spreads else [None]
        kinds = policies.split(",")
        if any(kind not in read_scenarios.POLICIES for kind in kinds) or min(counts) < 1:
            raise ValueError(policies)
        if spreads and min(wide) < 1:
            raise ValueError(spreads)
    except ValueError:
        raise click.BadParameter(
            "sizes and spreads are whole numbers, policies among module, local, central"
        ) from None
    click.echo(
        "| scenario | limiters | spread | policy | payoff share | finished | turned back | given up | "
        "lost | over, worst units | over, share | short, share | p99 ms | counter calls | broken | "
        "events a s | wall s | MB |"
    )
    click.echo("|---" * 18 + "|")
    for path in scenarios:
        for size, spread, kind in itertools.product(counts, wide, kinds):
            try:
                played = read_scenarios.emulated(path)
            except read_scenarios.ScenarioError as wrong:
                click.echo(f"the scenario: {wrong}", err=True)
                sys.exit(2)
            scale = size / played.limiters
            played.rate *= scale
            played.limiters, played.servers = size, max(1, round(played.servers * scale))
            played.customers = max(1, round(played.customers * scale))
            played.policy, played.spread = kind, spread or played.spread
            if seconds:
                shorter = seconds * 1_000_000 / played.seconds_us
                played.seconds_us = round(seconds * 1_000_000)
                played.faults = [
                    replace(f, at_us=round(f.at_us * shorter), for_us=round(f.for_us * shorter))
                    for f in played.faults
                ]
            r = World(played).run()
            e, q = r.ends, r.quotas
            click.echo(
                f"| {r.name} | {size} | {played.spread} | {kind} | {r.payoff_share:.3f} | "
                f"{e['finished']} | {e['turned back']} | {e['given up']} | {e['lost']} | "
                f"{q['over_worst']:.1f} | {q['over_share']:.3f} | {q['short_share']:.3f} | "
                f"{r.latency_ms['p99']:.0f} | {r.counter_calls} | {r.broken} | "
                f"{r.events_per_s:,.0f} | {r.wall_s:.1f} | {r.peak_mb:.0f} |"
            )


@lab.command()
@click.option("--limiters", type=click.IntRange(1, 2000), default=100, show_default=True)
@click.option("--servers", type=click.IntRange(1, 4000), default=None, help="default: 1.3 a limiter")
@click.option("--load", type=click.FloatRange(0.05, 1.5), default=0.6, show_default=True)
@click.option("--slots", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option(
    "--ill",
    type=click.FloatRange(0, 1),
    default=0.0,
    show_default=True,
    help="share of servers that fail part of their requests in the middle half",
)
@click.option("--seconds", type=click.FloatRange(1, 600), default=20.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--choosers", default="", help="names with commas between them; default: all")
def balancing(limiters, servers, load, slots, ill, seconds, seed, choosers) -> None:
    """Compare ways to choose a server where few requests pass each limiter; a Markdown table."""
    from lapisgrade.lab.balancing import choosers as known
    from lapisgrade.lab.balancing.model import Spec
    from lapisgrade.lab.balancing.play import table

    names = choosers.split(",") if choosers else list(known.CHOOSERS)
    if strange := [each for each in names if each not in known.CHOOSERS]:
        raise click.BadParameter(f"no such chooser: {strange[0]}; known: {', '.join(known.CHOOSERS)}")
    spec = Spec(
        limiters,
        servers or round(1.3 * limiters),
        load=load,
        slots=slots,
        ill=ill,
        seconds=seconds,
        seed=seed,
    )
    for line in table(spec, names):
        click.echo(line)


@lab.command()
def capacity() -> None:
    """Measure what the control plane's parts cost by size, and their slopes: a Markdown table."""
    from lapisgrade.lab.capacity import report

    report(click.echo)


EXPLORED = ("control", "data-plane", "activation", "log", "rejoin", "quota")


@lab.command()
@click.argument("what", type=click.Choice(EXPLORED), default="activation")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=100, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
@click.option("--defect", default="", help="a known defect to switch on; it should be found")
def explore(what, seeds, first, defect) -> None:
    """Explore WHAT in simulated time: the controllers under troubles of all kinds (control), the
    proxies beside them (data-plane), how versions
    come into force (activation), the replicated log alone (log), drafts that are merged (rejoin), or a
    tenant's count among limiters (quota). A seed that goes wrong is told with what led to it, exit 1."""
    from lapisgrade.lab.explore import activation, control, data_plane, log, quota, rejoin

    logging.disable(logging.WARNING)
    one = dict(zip(EXPLORED, (control, data_plane, activation, log, rejoin, quota), strict=True))[what]
    if defect and defect not in one.DEFECTS:
        raise click.BadParameter(f"no such defect: {defect}; known: {', '.join(one.DEFECTS)}")
    count, seed = one.explore(range(first, first + seeds), defect, click.echo)
    found = f"seed {seed} goes wrong" if seed >= 0 else f"{seeds} seeds, none wrong"
    click.echo(f"{count:,} {one.UNIT}, {found}")
    sys.exit(0 if seed < 0 else 1)


@lab.command()
@click.option("--limiters", default="10,100", show_default=True, help="sizes with commas between them")
@click.option("--rate", type=click.FloatRange(1, 10_000), default=60.0, show_default=True)
@click.option("--burst", type=click.FloatRange(0, 10_000), default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--ways", default="", help="names with commas between them; default: all")
def quota(limiters, rate, burst, seed, ways) -> None:
    """Compare ways to hold a tenant's quota among many limiters, calm and with its owner dark."""
    from lapisgrade.lab import quota_ways

    names = ways.split(",") if ways else list(quota_ways.POLICIES)
    if strange := [each for each in names if each not in quota_ways.POLICIES]:
        raise click.BadParameter(f"no such way: {strange[0]}; known: {', '.join(quota_ways.POLICIES)}")
    sizes = limiters.split(",")
    if strange := [each for each in sizes if not each.isdecimal() or not 1 < int(each) <= 4000]:
        raise click.BadParameter(f"{strange[0]} is no number of limiters from 2 to 4000")
    quota_ways.table([int(each) for each in sizes], names, seed, rate, burst, click.echo)


@lab.command()
@click.argument("what", type=click.Choice(["control", "rejoin", "quota"]))
@click.option("--plays", type=click.IntRange(1, 1000), default=3, show_default=True, help="of each case")
@click.option("--cases", default="", help="names with commas between them; default: all")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
def partitions(what, plays, cases, first) -> None:
    """Play WHAT with the system's processes on loopback, whose links are cut and which are frozen and killed:
    a leader cut off or struck (control), a route edited on both sides of a break (rejoin), or a tenant beyond
    its limit (quota). A Markdown table,
    exit 1 where something was seen that must not be."""
    from lapisgrade.lab.partitions import control, quota, rejoin

    one = {"control": control, "rejoin": rejoin, "quota": quota}[what]
    names = cases.split(",") if cases else list(one.CASES)
    if strange := [each for each in names if each not in one.CASES]:
        raise click.BadParameter(f"no such case: {strange[0]}; known: {', '.join(one.CASES)}")
    sys.exit(0 if asyncio.run(one.table(names, range(first, first + plays), click.echo)) else 1)


lab.add_command(fleet)
