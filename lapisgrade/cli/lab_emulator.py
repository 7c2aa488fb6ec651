"""`lapisgrade lab run`, `report` and `sweep`: emulated fleets in simulated time."""

import itertools
import json
import os
import sys
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from lapisgrade.lab.emulator.metrics import Result
    from lapisgrade.lab.emulator.scenario import Scenario

SECOND_US = 1_000_000
MAX_BREACHES_SHOWN = 10  # printed by `run`; the result file has further ones

SWEEP_COLUMNS = (
    "scenario",
    "limiters",
    "spread",
    "policy",
    "payoff share",
    "finished",
    "turned back",
    "given up",
    "lost",
    "over, worst units",
    "over, share",
    "short, share",
    "p99 ms",
    "counter calls",
    "broken",
    "events a s",
    "wall s",
    "MB",
)


@click.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option(
    "--policy",
    type=click.Choice(["module", "local", "central"]),
    default=None,
    help="overrides the scenario: the decision module or a baseline",
)
@click.option("--seed", type=int, default=None, help="overrides the scenario")
@click.option("--limiters", type=click.IntRange(1, 10_000), default=None, help="overrides the scenario")
@click.option("--servers", type=click.IntRange(1, 10_000), default=None, help="overrides the scenario")
@click.option("--customers", type=click.IntRange(1, 1_000_000), default=None)
@click.option(
    "--out",
    type=click.Path(dir_okay=False),
    default=None,
    help="JSON file for the result (default: lab-runs/NAME-POLICY-SEED.json)",
)
def run(
    scenario: str,
    policy: str | None,
    seed: int | None,
    limiters: int | None,
    servers: int | None,
    customers: int | None,
    out: str | None,
) -> None:
    """Emulate SCENARIO (TOML, see docs/lab.md) and write its result; exit 1 if a rule was broken."""
    from lapisgrade.lab.emulator import scenario as scenarios
    from lapisgrade.lab.emulator.world import World

    loaded = _read_scenario(scenario)
    scenarios.override(
        loaded,
        {"policy": policy, "seed": seed, "limiters": limiters, "servers": servers, "customers": customers},
    )
    result = World(loaded).run()
    path = out or f"lab-runs/{loaded.name}-{loaded.policy}-{loaded.seed}.json"
    os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(result.as_dict(), file)
    _print_result(result, path)
    sys.exit(1 if result.broken else 0)


def _read_scenario(path: str) -> "Scenario":
    """Read a scenario for the emulator; exit with 2 if it is invalid or not supported."""
    from lapisgrade.lab.emulator import scenario as scenarios

    try:
        return scenarios.read_for_emulator(path)
    except scenarios.ScenarioError as error:
        click.echo(f"cannot load the scenario: {error}", err=True)
        sys.exit(2)


def _print_result(result: "Result", path: str) -> None:
    """Print the outcomes, figures, cost and first breaches of a run whose result is written to `path`."""
    ends = ", ".join(f"{name} {count}" for name, count in result.ends.items())
    click.echo(f"{result.name} ({result.policy}, seed {result.seed}): {result.operations} operations: {ends}")
    click.echo(
        f"payoff share {result.payoff_share:.3f}; latency ms p50 {result.latency_ms['p50']:.1f} "
        f"p99 {result.latency_ms['p99']:.1f}; overshoot p99 {result.overshoot['p99']:.3f}; "
        f"counter calls {result.counter_calls}"
    )
    click.echo(
        f"{result.events} events in {result.wall_s:.1f} s ({result.events_per_s:,.0f} per second), "
        f"peak {result.peak_mb:.0f} MB; written to {path}"
    )
    for breach in result.breaches[:MAX_BREACHES_SHOWN]:
        click.echo(
            f"RULE {breach['rule']} BROKEN at step {breach['step']}: {breach['what']} ({breach['operation']})"
        )


@click.command("report")
@click.argument("runs", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", default="lab-runs/report", show_default=True, help="output path without .png/.html")
def report(runs: tuple[str, ...], out: str) -> None:
    """Plot one run, or several side by side, into a PNG and a self-contained HTML page."""
    from lapisgrade.lab.report import plots

    try:
        written = plots.report(list(runs), out)
    except plots.RunFileError as error:
        click.echo(f"cannot read the run: {error}", err=True)
        sys.exit(2)
    for path in written:
        click.echo(f"written {path}")


@dataclass(frozen=True, slots=True)
class SweepPoint:
    """Values that override those of a scenario."""

    limiters: int
    spread: int | None  # limiters per customer; None: as in the scenario
    policy: str
    seconds: float | None  # length of the run; None: as in the scenario

    def apply(self, scenario: "Scenario") -> None:
        """Override the scenario's values.

        Servers, customers and rate scale with the limiters, and the times of faults with the length.
        """
        scale = self.limiters / scenario.limiters
        scenario.rate *= scale
        scenario.limiters = self.limiters
        scenario.servers = max(1, round(scenario.servers * scale))
        scenario.customers = max(1, round(scenario.customers * scale))
        scenario.policy = self.policy
        scenario.spread = self.spread or scenario.spread
        if self.seconds:
            time_scale = self.seconds * SECOND_US / scenario.seconds_us
            scenario.seconds_us = round(self.seconds * SECOND_US)
            scenario.faults = [
                replace(
                    fault,
                    at_us=round(fault.at_us * time_scale),
                    duration_us=round(fault.duration_us * time_scale),
                )
                for fault in scenario.faults
            ]


@click.command("sweep")
@click.argument("scenarios", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--sizes",
    default="10,100,1000",
    show_default=True,
    help="comma-separated numbers of limiters; servers, customers and traffic scale in proportion",
)
@click.option("--policies", default="module,local,central", show_default=True)
@click.option("--spreads", default="", help="comma-separated numbers of limiters per customer")
@click.option(
    "--seconds",
    type=float,
    default=None,
    help="overrides the scenarios; the times of their faults scale in proportion",
)
def sweep(scenarios: tuple[str, ...], sizes: str, policies: str, spreads: str, seconds: float | None) -> None:
    """Emulate each scenario at each size, spread and policy; print a Markdown table of the results."""
    from lapisgrade.lab.emulator.world import World

    points = _sweep_points(sizes, policies, spreads, seconds)
    click.echo(f"| {' | '.join(SWEEP_COLUMNS)} |")
    click.echo("|---" * len(SWEEP_COLUMNS) + "|")
    for path in scenarios:
        for point in points:
            scenario = _read_scenario(path)
            point.apply(scenario)
            click.echo(_sweep_row(scenario, World(scenario).run()))


def _sweep_points(sizes: str, policies: str, spreads: str, seconds: float | None) -> list[SweepPoint]:
    """Return all combinations of the comma-separated lists.

    Raises:
        click.BadParameter: A size or spread is not a positive integer, or a policy is unknown.
    """
    from lapisgrade.lab.emulator import scenario as scenarios

    try:
        limiters = [int(size) for size in sizes.split(",")]
        spread_sizes: list[int | None] = [int(spread) for spread in spreads.split(",")] if spreads else [None]
        policy_names = policies.split(",")
        if min([*limiters, *(spread for spread in spread_sizes if spread is not None)]) < 1 or not set(
            policy_names
        ) <= set(scenarios.POLICIES):
            raise ValueError
    except ValueError:
        raise click.BadParameter(
            "sizes and spreads must be positive integers, policies among module, local, central"
        ) from None
    combinations = itertools.product(limiters, spread_sizes, policy_names)
    return [SweepPoint(size, spread, policy, seconds) for size, spread, policy in combinations]


def _sweep_row(scenario: "Scenario", result: "Result") -> str:
    """Return the table row of a run, with the columns SWEEP_COLUMNS."""
    ends, quotas = result.ends, result.quotas
    return (
        f"| {result.name} | {scenario.limiters} | {scenario.spread} | {scenario.policy} "
        f"| {result.payoff_share:.3f} | {ends['finished']} | {ends['turned back']} | {ends['given up']} "
        f"| {ends['lost']} | {quotas['over_worst']:.1f} | {quotas['over_share']:.3f} "
        f"| {quotas['short_share']:.3f} | {result.latency_ms['p99']:.0f} | {result.counter_calls} "
        f"| {result.broken} | {result.events_per_s:,.0f} | {result.wall_s:.1f} | {result.peak_mb:.0f} |"
    )
