"""`lapisgrade lab explore` and `partitions`: fault injection in simulation and with real processes."""

import asyncio
import logging
import sys

import click

from lapisgrade.cli.options import parse_names

EXPLORATIONS = ("control", "data-plane", "activation", "log", "rejoin", "quota", "operations")


@click.command(
    help="Explore WHAT in simulated time with random faults: the controllers (control), the controllers with "
    "proxies (data-plane), the activation of versions (activation), the replicated log alone (log), the "
    "merge of drafts (rejoin), a tenant's count across limiters (quota), or requests with an operation key "
    "(operations). Prints the events that led to the first violation and exits with 1."
)
@click.argument("what", type=click.Choice(EXPLORATIONS), default="activation")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=100, show_default=True)
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
@click.option("--defect", default="", help="a known defect to inject; the exploration should find it")
def explore(what: str, seeds: int, first: int, defect: str) -> None:
    """Explore random faults; exit 1 with the first seed that violates an invariant."""
    from lapisgrade.lab.explore import activation, control, data_plane, log, operations, quota, rejoin

    logging.disable(logging.WARNING)
    modules = (control, data_plane, activation, log, rejoin, quota, operations)
    module = dict(zip(EXPLORATIONS, modules, strict=True))[what]
    if defect and defect not in module.DEFECTS:
        raise click.BadParameter(f"no such defect: {defect}; known: {', '.join(module.DEFECTS)}")
    count, failing_seed = module.explore(range(first, first + seeds), defect, click.echo)
    result = f"seed {failing_seed} goes wrong" if failing_seed >= 0 else f"{seeds} seeds, none wrong"
    click.echo(f"{count:,} {module.UNIT}, {result}")
    sys.exit(0 if failing_seed < 0 else 1)


@click.command(
    help="Run the cases of WHAT with real processes on loopback under partitions, pauses and kills: a leader "
    "that is partitioned or killed (control), a route edited on both sides of a partition (rejoin), a tenant "
    "beyond its limit (quota), or overlapping signals and restarts under non-idempotent requests "
    "(operations). Prints a Markdown table and exits with 1 on a violation."
)
@click.argument("what", type=click.Choice(["control", "rejoin", "quota", "operations"]))
@click.option("--plays", type=click.IntRange(1, 1000), default=3, show_default=True, help="runs per case")
@click.option("--cases", default="", help="comma-separated names; default: all")
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="the first seed")
def partitions(what: str, plays: int, cases: str, first: int) -> None:
    """Run the cases of a fault scenario with real processes and print a table."""
    from lapisgrade.lab.partitions import control, operations, quota, rejoin

    modules = {"control": control, "rejoin": rejoin, "quota": quota, "operations": operations}
    module = modules[what]
    names = parse_names(cases, module.CASES, "case")
    all_passed = asyncio.run(module.print_table(names, range(first, first + plays), click.echo))
    sys.exit(0 if all_passed else 1)
