"""`lapisgrade`: the command line.

    lapisgrade serve CONFIG            one limiter, as `python -m lapisgrade` with ROUTER_CONFIG=CONFIG
    lapisgrade demo [--load]           stand-ins and limiters in one process on loopback
    lapisgrade standins                the stand-ins alone, at the sample configuration's addresses
    lapisgrade load TARGET...          open-loop load at running limiters
    lapisgrade lab run SCENARIO        an emulated fleet in simulated time
    lapisgrade lab report RUN...       plots and a page of emulated runs
    lapisgrade lab fleet run SCENARIO  the same scenario with real processes, and a checker of what they did

Arguments are read by click. Bad input gets one plain line and exit code 2.
"""

import asyncio
import logging
import contextlib
import csv
import itertools
import json
import signal
import sys
from dataclasses import replace

import click

from lapisgrade import start
from lapisgrade.lab.load import client, schedule
from lapisgrade.standins.servers import Knobs
from lapisgrade.standins.site import Plan, sample

SHAPE = click.Choice(schedule.SHAPES)


def shape_options(command):
    """The options that say the traffic's shape."""
    for option in reversed(
        [
            click.option(
                "--shape", type=SHAPE, default="poisson", show_default=True, help="how arrivals come"
            ),
            click.option("--rate", type=float, default=40.0, show_default=True, help="operations a second"),
            click.option("--seconds", type=float, default=10.0, show_default=True, help="length of the load"),
            click.option("--peak", type=float, default=0.0, help="rate of the step, burst or ramp's end"),
            click.option("--at", "at_s", type=float, default=0.0, help="s into the run: the step or burst"),
            click.option("--length", "length_s", type=float, default=0.0, help="s that a burst lasts"),
        ]
    ):
        command = option(command)
    return command


def make_shape(shape, rate, seconds, peak, at_s, length_s) -> schedule.Shape:
    made = schedule.Shape(shape, rate, seconds, peak, at_s, length_s)
    try:
        made.check()
    except schedule.BadShape as wrong:
        raise click.BadParameter(str(wrong)) from None
    return made


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """lapisgrade: a front door that meters many customers' use of one shared service."""


@cli.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option(
    "--site",
    type=click.Path(dir_okay=False),
    default=None,
    help="an operator's file (deploy/peers.toml), for limiters that may talk to one another",
)
def serve(config: str, site: str | None) -> None:
    """Run one limiter as the file CONFIG tells it (SIGTERM ends, SIGHUP reloads, SIGUSR1 counts)."""
    import os

    from lapisgrade.__main__ import main as limiter
    from lapisgrade.net.service import read

    os.environ["ROUTER_CONFIG"] = config
    beside = None
    if site is not None:
        from lapisgrade.members import site as members

        try:
            beside = members.beside(members.read(site), str(read(config).get("name", "")))
        except start.Malformed as wrong:
            click.echo(f"the configuration: {wrong}", err=True)
            sys.exit(2)
    sys.exit(limiter(beside))


@cli.command()
@click.option("--load/--no-load", default=False, help="drive an open-loop load at the limiters, then end")
@click.option("--limiters", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--capacity",
    type=click.IntRange(1, 10_000),
    default=8,
    show_default=True,
    help="operations at work at once on each server",
)
@click.option(
    "--leave",
    "leave_at_s",
    type=float,
    default=None,
    help="s into the run at which server s0 drains and then dies",
)
@click.option("--seed", type=int, default=1, show_default=True)
@shape_options
def demo(load, limiters, servers, capacity, leave_at_s, seed, shape, rate, seconds, peak, at_s, length_s):
    """Start stand-ins and limiters in one process on loopback; with --load, drive load and report."""
    from lapisgrade.cli import demo as run_demo

    knobs = Knobs(capacity=capacity, cold_from=0.3, warm_s=2.0)
    plan = Plan(limiters=limiters, servers=servers, knobs=knobs, seed=seed)
    traffic = make_shape(shape, rate, seconds, peak, at_s, length_s) if load else None
    grace_s = sample()["settings"]["Rules"]["DrainGrace"] / 1000
    ask = run_demo.Ask(plan, traffic, seconds if load else 0.0, leave_at_s, grace_s)
    sys.exit(run_demo.main(ask))


@cli.command()
@click.option("--servers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def standins(servers: int, seed: int) -> None:
    """Counter and discovery at the sample configuration's addresses, and servers, until Ctrl-C.

    Then `lapisgrade serve deploy/sample.json` (or `make run`) starts a limiter among them.
    """
    from lapisgrade.standins.counter import Counter
    from lapisgrade.standins.discovery import Discovery, Row
    from lapisgrade.standins.servers import Pool

    told = sample()

    async def run() -> None:
        counter = await Counter(*_address(told["counter"], "counter")).open()
        discovery = await Discovery(*_address(told["discovery"], "discovery")).open()
        pool = await Pool(servers, Knobs(), seed).open()
        for i, server in enumerate(pool.servers):
            discovery.put(Row(server.name, server.address, cell=i % 3))
        click.echo(f"counter    {counter.address}\ndiscovery  {discovery.address}")
        for server in pool.servers:
            click.echo(f"server     {server.name} {server.address}")
        click.echo("Ctrl-C or SIGTERM ends them")
        ending = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, ending.set)
        try:
            await ending.wait()
        finally:
            await pool.close()
            await discovery.close()
            await counter.close()

    try:
        asyncio.run(run())
    except OSError as wrong:
        click.echo(f"the stand-ins could not start: {wrong.strerror or wrong}", err=True)
        sys.exit(2)
    click.echo("ended")


@cli.command()
@click.argument("targets", nargs=-1, required=True)
@click.option(
    "--trace",
    type=click.File("r"),
    default=None,
    help="a trace in place of a shape: CSV with a header, or JSON lines, of t_s, customer, "
    "category[, plan, units, timeout_s]",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--connections",
    type=click.IntRange(1, 10_000),
    default=256,
    show_default=True,
    help="connections to each limiter at the most",
)
@shape_options
def load(targets, trace, seed, connections, shape, rate, seconds, peak, at_s, length_s):
    """Open-loop load at the limiters at TARGETS (host:port each); latency counted from when each was due."""
    addresses = [_address(each) for each in targets]
    mix = schedule.mix_of(sample()["settings"])
    if trace is not None:
        try:
            if trace.name.endswith(".csv"):
                rows = list(csv.DictReader(trace))
            else:
                rows = [json.loads(line) for line in trace if line.strip()]
            planned = schedule.from_trace(rows, mix)
        except (ValueError, schedule.BadShape) as wrong:
            raise click.BadParameter(str(wrong), param_hint="--trace") from None
    else:
        planned = schedule.plan(make_shape(shape, rate, seconds, peak, at_s, length_s), mix, seed)
    tool = client.Client(addresses, seed, connections)

    async def run() -> client.Tally:
        with contextlib.suppress(NotImplementedError):
            asyncio.get_running_loop().add_signal_handler(signal.SIGINT, tool.stop)
        return await tool.run(planned)

    tally, wall_s = asyncio.run(_timed(run()))
    for line in client.summary(tally, wall_s):
        click.echo(line)
    sys.exit(1 if tally.counts["lost"] else 0)


async def _timed(work):
    loop = asyncio.get_running_loop()
    began = loop.time()
    result = await work
    return result, loop.time() - began


def _address(text: str, name: str = "target") -> tuple[str, int]:
    """Host and port, read as the limiter reads its own addresses; a bad one is a bad parameter."""
    try:
        return start.address(text, name)
    except start.Malformed as wrong:
        raise click.BadParameter(str(wrong)) from None


def main() -> None:
    cli(prog_name="lapisgrade")


@cli.group()
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
def shunting(limiters, servers, load, slots, ill, seconds, seed, choosers) -> None:
    """Compare ways to choose a server where few requests pass each limiter; a Markdown table."""
    from lapisgrade.lab.shunting import choosers as known
    from lapisgrade.lab.shunting.model import Spec
    from lapisgrade.lab.shunting.play import table

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
@click.option(
    "--limiters", default="", help="sizes with commas between them: hollow limiters at a real leader"
)
def capacity(limiters) -> None:
    """Measure what the control plane's parts cost by size, and their slopes: a Markdown table."""
    from lapisgrade.lab import hollow
    from lapisgrade.lab.capacity import report

    if not limiters:
        return report(click.echo)
    sizes = limiters.split(",")
    if strange := [each for each in sizes if not each.isdecimal() or not 0 < int(each) <= 400]:
        raise click.BadParameter(f"{strange[0]} is no number of limiters from 1 to 400")
    click.echo("| limiters | asks/s | cores | us an ask | resident MB | unanswered |")
    click.echo("| --- | --- | --- | --- | --- | --- |")
    for each in asyncio.run(hollow.measure([int(size) for size in sizes])):
        click.echo(
            f"| {each.limiters} | {each.asks:.0f} | {each.cores:.3f} | {each.us_an_ask:.0f} | "
            f"{each.resident_mb:.1f} | {each.unanswered} |"
        )


EXPLORED = ("control", "train", "log", "rejoin", "turnstile")


@lab.command()
@click.argument("what", type=click.Choice(EXPLORED), default="train")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=100, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
@click.option("--defect", default="", help="a known defect to switch on; it should be found")
def explore(what, seeds, first, defect) -> None:
    """Explore WHAT in simulated time: the controllers under troubles of all kinds (control), how versions
    come into force (train), the replicated log alone (log), drafts that are merged (rejoin), or a tenant's
    count among limiters (turnstile). A seed that goes wrong is told with what led to it, exit 1."""
    from lapisgrade.lab.explore import control, first_train, log, rejoin, turnstile

    logging.disable(logging.WARNING)
    one = dict(zip(EXPLORED, (control, first_train, log, rejoin, turnstile), strict=True))[what]
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
def turnstile(limiters, rate, burst, seed, ways) -> None:
    """Compare ways to hold a tenant's quota among many limiters, calm and with its holder dark."""
    from lapisgrade.lab import turnstiles

    names = ways.split(",") if ways else list(turnstiles.POLICIES)
    if strange := [each for each in names if each not in turnstiles.POLICIES]:
        raise click.BadParameter(f"no such way: {strange[0]}; known: {', '.join(turnstiles.POLICIES)}")
    sizes = limiters.split(",")
    if strange := [each for each in sizes if not each.isdecimal() or not 1 < int(each) <= 4000]:
        raise click.BadParameter(f"{strange[0]} is no number of limiters from 2 to 4000")
    turnstiles.table([int(each) for each in sizes], names, seed, rate, burst, click.echo)


@lab.command()
@click.argument("what", type=click.Choice(["control", "rejoin", "quota"]))
@click.option("--plays", type=click.IntRange(1, 1000), default=3, show_default=True, help="of each case")
@click.option("--cases", default="", help="names with commas between them; default: all")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
def line(what, plays, cases, first) -> None:
    """Play WHAT with the system's processes on loopback, whose links are cut and which are frozen and killed:
    a leader cut off or struck (control), a route edited on both sides of a break (rejoin), or a tenant beyond
    its limit (quota). A Markdown table,
    exit 1 where something was seen that must not be."""
    from lapisgrade.lab.branchline import control, quota, rejoin

    one = {"control": control, "rejoin": rejoin, "quota": quota}[what]
    names = cases.split(",") if cases else list(one.CASES)
    if strange := [each for each in names if each not in one.CASES]:
        raise click.BadParameter(f"no such case: {strange[0]}; known: {', '.join(one.CASES)}")
    sys.exit(0 if asyncio.run(one.table(names, range(first, first + plays), click.echo)) else 1)


@lab.group()
def fleet() -> None:
    """The proving ground: real processes, faults between them, and a checker of what they did."""


FOLDER = click.Path(file_okay=False)


@fleet.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=None, help="in place of the scenario's")
@click.option("--limiters", type=click.IntRange(1, 200), default=None, help="in place of the scenario's")
@click.option("--out", type=FOLDER, default=None, help="folder for the play (default: fleet-runs/NAME-SEED)")
def fleet_run(scenario, seed, limiters, out) -> None:
    """Play SCENARIO with real processes; write history and findings; exit 1 where a rule or bound broke."""
    played = _fleet(scenario, [seed], limiters, out)
    sys.exit(0 if all(each.ok for each in played) else 1)


@fleet.command("repeat")
@click.argument("scenarios", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--seeds", default="1,2,3,4,5", show_default=True)
@click.option("--limiters", type=click.IntRange(1, 200), default=None, help="in place of the scenarios'")
@click.option("--out", type=FOLDER, default=None, help="folder that holds a folder for each play")
def fleet_repeat(scenarios, seeds, limiters, out) -> None:
    """Play each scenario with each seed; print a Markdown table of medians and the worst."""
    from lapisgrade.lab.fleet import report

    try:
        numbers = [int(each) for each in seeds.split(",")]
    except ValueError:
        raise click.BadParameter("seeds are whole numbers, with commas between them") from None
    plays = [each for path in scenarios for each in _fleet(path, numbers, limiters, out)]
    click.echo(report.table(plays))
    sys.exit(0 if all(each.ok for each in plays) else 1)


@fleet.command("report")
@click.argument("folders", nargs=-1, required=True, type=FOLDER)
@click.option("--out", default="fleet-runs/report.html", show_default=True, type=click.Path(dir_okay=False))
def fleet_report(folders, out) -> None:
    """One HTML page, plots inside, of the plays in FOLDERS."""
    from pathlib import Path

    from lapisgrade.lab.fleet import report

    try:
        plays = [report.load(f"{each}/findings.json") for each in folders]
    except report.BadFindings as wrong:
        click.echo(f"the findings: {wrong}", err=True)
        sys.exit(2)
    Path(out).parent.mkdir(parents=True, exist_ok=True)
    Path(out).write_text(report.page(plays), encoding="utf-8")
    click.echo(f"written {out}")


@fleet.command("counts")
@click.argument("logs", nargs=-1, required=True, type=click.Path())
def fleet_counts(logs) -> None:
    """Add up the counters in LOGS: limiters' logs, or folders of them (a play's, or a bench's `--logs`)."""
    from lapisgrade.lab.fleet import counts

    try:
        found = counts.read(list(logs))
    except OSError as wrong:
        click.echo(f"the logs: {wrong}", err=True)
        sys.exit(2)
    for line in counts.lines(found):
        click.echo(line)
    sys.exit(0 if found.limiters else 1)


def _fleet(path: str, seeds: list[int | None], limiters: int | None, out: str | None) -> list:
    """Play the scenario at `path` with each seed; the findings. Ends the command where it can't be played."""
    from pathlib import Path

    from lapisgrade.lab.emulator import scenario as read_scenarios
    from lapisgrade.lab.fleet import checker, ground, history, process, report

    found = []
    for seed in seeds:
        changes = {"seed": seed, "limiters": limiters}
        try:
            text = read_scenarios.text_at(path)
            played = read_scenarios.changed(read_scenarios.parse(text, path), changes)
        except read_scenarios.ScenarioError as wrong:
            click.echo(f"the scenario: {wrong}", err=True)
            sys.exit(2)
        folder = (
            Path(out)
            if out and len(seeds) == 1
            else Path(out or "fleet-runs") / (f"{played.name}-{played.seed}")
        )
        try:
            files = asyncio.run(ground.play(played, text, path, folder.resolve(), changes))
        except process.Failed as wrong:
            click.echo(f"the play: {wrong}", err=True)
            sys.exit(3)
        except KeyboardInterrupt:
            click.echo("interrupted; every process of the play has been ended", err=True)
            sys.exit(130)
        found.append(checker.check(history.merged(files)))
        report.save(found[-1], folder / "findings.json")
        for line in report.lines(found[-1]):
            click.echo(line)
    return found
