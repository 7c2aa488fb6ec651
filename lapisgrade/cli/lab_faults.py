"""`lapisgrade lab explore` and `partitions`: what the system does under faults."""

import asyncio
import logging
import sys

import click

from lapisgrade.cli.options import parse_names

EXPLORATIONS = ("control", "data-plane", "activation", "log", "rejoin", "quota", "operations")


@click.command(
    help="Explore WHAT in simulated time: the controllers under troubles of all kinds (control), the "
    "proxies beside them (data-plane), how versions come into force (activation), the replicated log alone "
    "(log), drafts that are merged (rejoin), a tenant's count among limiters (quota), or requests that bear "
    "an operation key (operations). A seed that goes wrong is told with what led to it, exit 1."
)
@click.argument("what", type=click.Choice(EXPLORATIONS), default="activation")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=100, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
@click.option("--defect", default="", help="a known defect to switch on; it should be found")
def explore(what: str, seeds: int, first: int, defect: str) -> None:
    """Run an exploration of random faults; exit 1 with the first seed that breaks an invariant."""
    from lapisgrade.lab.explore import activation, control, data_plane, log, operations, quota, rejoin

    logging.disable(logging.WARNING)
    modules = (control, data_plane, activation, log, rejoin, quota, operations)
    module = dict(zip(EXPLORATIONS, modules, strict=True))[what]
    if defect and defect not in module.DEFECTS:
        raise click.BadParameter(f"no such defect: {defect}; known: {', '.join(module.DEFECTS)}")
    count, wrong_seed = module.explore(range(first, first + seeds), defect, click.echo)
    found = f"seed {wrong_seed} goes wrong" if wrong_seed >= 0 else f"{seeds} seeds, none wrong"
    click.echo(f"{count:,} {module.UNIT}, {found}")
    sys.exit(0 if wrong_seed < 0 else 1)


@click.command(
    help="Play WHAT with the system's processes on loopback, whose links are cut and which are frozen and "
    "killed: a leader cut off or struck (control), a route edited on both sides of a break (rejoin), a "
    "tenant beyond its limit (quota), or signals and restarts that overlap under requests that may run once "
    "(operations). A Markdown table, exit 1 where something was seen that must not be."
)
@click.argument("what", type=click.Choice(["control", "rejoin", "quota", "operations"]))
@click.option("--plays", type=click.IntRange(1, 1000), default=3, show_default=True, help="of each case")
@click.option("--cases", default="", help="names with commas between them; default: all")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
def partitions(what: str, plays: int, cases: str, first: int) -> None:
    """Run the cases of a fault scenario with real processes, and print a table."""
    from lapisgrade.lab.partitions import control, operations, quota, rejoin

    modules = {"control": control, "rejoin": rejoin, "quota": quota, "operations": operations}
    module = modules[what]
    names = parse_names(cases, module.CASES, "case")
    all_held = asyncio.run(module.print_table(names, range(first, first + plays), click.echo))
    sys.exit(0 if all_held else 1)
