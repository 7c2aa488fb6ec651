"""`lapisgrade lab balancing`, `capacity` and `quota`: comparisons of algorithms and their costs."""

import click

from lapisgrade.cli.options import parse_names

MAX_QUOTA_LIMITERS = 4000  # upper bound of each number in `quota --limiters`
SERVERS_PER_LIMITER = 1.3  # determines the default of `balancing --servers`


@click.command()
@click.option("--limiters", type=click.IntRange(1, 2000), default=100, show_default=True)
@click.option("--servers", type=click.IntRange(1, 4000), default=None, help="default: 1.3 per limiter")
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
@click.option("--choosers", default="", help="comma-separated names; default: all")
def balancing(
    limiters: int,
    servers: int | None,
    load: float,
    slots: int,
    ill: float,
    seconds: float,
    seed: int,
    choosers: str,
) -> None:
    """Compare load balancing algorithms at few requests per limiter; print a Markdown table."""
    from lapisgrade.lab.balancing import choosers as balancing_choosers
    from lapisgrade.lab.balancing.model import Spec
    from lapisgrade.lab.balancing.simulation import comparison_table

    names = parse_names(choosers, balancing_choosers.CHOOSERS, "chooser")
    spec = Spec(
        limiters,
        servers or round(SERVERS_PER_LIMITER * limiters),
        load=load,
        slots=slots,
        unhealthy_share=ill,
        seconds=seconds,
        seed=seed,
    )
    for line in comparison_table(spec, names):
        click.echo(line)


@click.command()
def capacity() -> None:
    """Measure the cost of the control plane's parts by fleet size; print a Markdown table with slopes."""
    from lapisgrade.lab.capacity import report

    report(click.echo)


@click.command()
@click.option("--limiters", default="10,100", show_default=True, help="comma-separated numbers of limiters")
@click.option("--rate", type=click.FloatRange(1, 10_000), default=60.0, show_default=True)
@click.option("--burst", type=click.FloatRange(0, 10_000), default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--ways", default="", help="comma-separated names; default: all")
def quota(limiters: str, rate: float, burst: float, seed: int, ways: str) -> None:
    """Compare ways to enforce a tenant's quota across limiters, with and without a reachable owner."""
    from lapisgrade.lab import quota_comparison

    names = parse_names(ways, quota_comparison.POLICIES, "way")
    sizes = limiters.split(",")
    for size in sizes:
        if not size.isdecimal() or not 1 < int(size) <= MAX_QUOTA_LIMITERS:
            raise click.BadParameter(f"{size} is no number of limiters from 2 to {MAX_QUOTA_LIMITERS}")
    quota_comparison.table([int(size) for size in sizes], names, seed, rate, burst, click.echo)
