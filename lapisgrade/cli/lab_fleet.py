"""`lapisgrade lab fleet`: scenario runs with real processes, and their reports."""

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from lapisgrade.lab.emulator.scenario import Scenario
    from lapisgrade.lab.fleet.checker import Findings

FOLDER = click.Path(file_okay=False)
RUNS_FOLDER = "fleet-runs"

EXIT_INVALID_INPUT = 2
EXIT_NOT_STARTED = 3  # a process could not be started or exited unexpectedly
EXIT_INTERRUPTED = 130  # 128 + SIGINT, as in a shell


@click.group()
def fleet() -> None:
    """Scenario runs with real processes, fault injection, and a checker of the recorded history."""


@fleet.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=None, help="overrides the scenario")
@click.option("--limiters", type=click.IntRange(1, 200), default=None, help="overrides the scenario")
@click.option("--out", type=FOLDER, default=None, help="folder for the run (default: fleet-runs/NAME-SEED)")
def run(scenario: str, seed: int | None, limiters: int | None, out: str | None) -> None:
    """Run SCENARIO with real processes; write history and findings; exit 1 if a rule or bound is violated."""
    findings = _run_scenario(scenario, seed, limiters, Path(out) if out else None)
    sys.exit(0 if findings.ok else 1)


@fleet.command("repeat")
@click.argument("scenarios", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--seeds", default="1,2,3,4,5", show_default=True)
@click.option("--limiters", type=click.IntRange(1, 200), default=None, help="overrides the scenarios")
@click.option("--out", type=FOLDER, default=None, help="parent folder of one folder per run")
def repeat(scenarios: tuple[str, ...], seeds: str, limiters: int | None, out: str | None) -> None:
    """Run each scenario with each seed; print a Markdown table of medians and worst values."""
    from lapisgrade.lab.fleet import report as reports

    try:
        seed_values = [int(seed) for seed in seeds.split(",")]
    except ValueError:
        raise click.BadParameter("seeds must be comma-separated integers") from None
    is_single_seed = len(seed_values) == 1
    # With a single seed, `out` is the folder of the run itself.
    folder = Path(out) if out and is_single_seed else None
    runs_folder = Path(out or RUNS_FOLDER)
    findings = [
        _run_scenario(path, seed, limiters, folder, runs_folder) for path in scenarios for seed in seed_values
    ]
    click.echo(reports.table(findings))
    sys.exit(0 if all(each.ok for each in findings) else 1)


@fleet.command("report")
@click.argument("folders", nargs=-1, required=True, type=FOLDER)
@click.option("--out", default="fleet-runs/report.html", show_default=True, type=click.Path(dir_okay=False))
def report(folders: tuple[str, ...], out: str) -> None:
    """Write one HTML page with plots of the runs in FOLDERS."""
    from lapisgrade.lab.fleet import report as reports

    try:
        findings = [reports.load(f"{folder}/findings.json") for folder in folders]
    except reports.FindingsError as error:
        click.echo(f"cannot read the findings: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    Path(out).parent.mkdir(parents=True, exist_ok=True)
    Path(out).write_text(reports.page(findings), encoding="utf-8")
    click.echo(f"written {out}")


@fleet.command("counts")
@click.argument("logs", nargs=-1, required=True, type=click.Path())
def counts(logs: tuple[str, ...]) -> None:
    """Sum the counters in LOGS: limiter logs, or folders of them (of a run, or of the bench's `--logs`)."""
    from lapisgrade.lab.fleet import counts as fleet_counts

    try:
        counters = fleet_counts.read(list(logs))
    except OSError as error:
        click.echo(f"cannot read the logs: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    for line in fleet_counts.lines(counters):
        click.echo(line)
    sys.exit(0 if counters.limiters else 1)


def _run_scenario(
    path: str,
    seed: int | None,
    limiters: int | None,
    folder: Path | None,
    runs_folder: Path = Path(RUNS_FOLDER),
) -> "Findings":
    """Run a scenario, check its history, and save, print and return the findings.

    Exits the process with EXIT_INVALID_INPUT, EXIT_NOT_STARTED or EXIT_INTERRUPTED on an error.

    Args:
        path: File of the scenario.
        seed: Overrides the scenario's seed; None to keep it.
        limiters: Overrides the scenario's number of limiters; None to keep it.
        folder: Folder of the run; None for `runs_folder`/NAME-SEED.
        runs_folder: Parent folder of the runs.
    """
    from lapisgrade.lab.fleet import checker, history, process, test_bed
    from lapisgrade.lab.fleet import report as reports

    changes = {"seed": seed, "limiters": limiters}
    text, scenario = _read_scenario(path, changes)
    folder = folder or runs_folder / f"{scenario.name}-{scenario.seed}"
    try:
        files = asyncio.run(test_bed.run(scenario, text, path, folder.resolve(), changes))
    except process.ProcessFailedError as error:
        click.echo(f"the run failed: {error}", err=True)
        sys.exit(EXIT_NOT_STARTED)
    except KeyboardInterrupt:
        click.echo("interrupted; all processes of the run were stopped", err=True)
        sys.exit(EXIT_INTERRUPTED)
    findings = checker.check(history.merged(files))
    reports.save(findings, folder / "findings.json")
    for line in reports.lines(findings):
        click.echo(line)
    return findings


def _read_scenario(path: str, changes: dict[str, int | None]) -> tuple[str, "Scenario"]:
    """Return a scenario's text and the scenario with the changes; exit the process if it is invalid."""
    from lapisgrade.lab.emulator import scenario as scenarios

    try:
        text = scenarios.read_text(path)
        return text, scenarios.override(scenarios.parse(text, path), changes)
    except scenarios.ScenarioError as error:
        click.echo(f"cannot load the scenario: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
