"""`lapisgrade lab fleet`: plays with real processes, and their reports."""

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
EXIT_NOT_STARTED = 3  # processes could not be started, or ended by themselves
EXIT_INTERRUPTED = 130  # 128 and SIGINT, as a shell says it


@click.group()
def fleet() -> None:
    """The proving ground: real processes, faults between them, and a checker of what they did."""


@fleet.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=None, help="in place of the scenario's")
@click.option("--limiters", type=click.IntRange(1, 200), default=None, help="in place of the scenario's")
@click.option("--out", type=FOLDER, default=None, help="folder for the play (default: fleet-runs/NAME-SEED)")
def run(scenario: str, seed: int | None, limiters: int | None, out: str | None) -> None:
    """Play SCENARIO with real processes; write history and findings; exit 1 where a rule or bound broke."""
    findings = _play(scenario, seed, limiters, Path(out) if out else None)
    sys.exit(0 if findings.ok else 1)


@fleet.command("repeat")
@click.argument("scenarios", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--seeds", default="1,2,3,4,5", show_default=True)
@click.option("--limiters", type=click.IntRange(1, 200), default=None, help="in place of the scenarios'")
@click.option("--out", type=FOLDER, default=None, help="folder that holds a folder for each play")
def repeat(scenarios: tuple[str, ...], seeds: str, limiters: int | None, out: str | None) -> None:
    """Play each scenario with each seed; print a Markdown table of medians and the worst."""
    from lapisgrade.lab.fleet import report as reports

    try:
        numbers = [int(seed) for seed in seeds.split(",")]
    except ValueError:
        raise click.BadParameter("seeds are whole numbers, with commas between them") from None
    is_single = len(numbers) == 1
    folder = Path(out) if out and is_single else None
    runs_folder = Path(out or RUNS_FOLDER)
    findings = [_play(path, seed, limiters, folder, runs_folder) for path in scenarios for seed in numbers]
    click.echo(reports.table(findings))
    sys.exit(0 if all(each.ok for each in findings) else 1)


@fleet.command("report")
@click.argument("folders", nargs=-1, required=True, type=FOLDER)
@click.option("--out", default="fleet-runs/report.html", show_default=True, type=click.Path(dir_okay=False))
def report(folders: tuple[str, ...], out: str) -> None:
    """One HTML page, plots inside, of the plays in FOLDERS."""
    from lapisgrade.lab.fleet import report as reports

    try:
        findings = [reports.load(f"{folder}/findings.json") for folder in folders]
    except reports.FindingsError as error:
        click.echo(f"the findings: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    Path(out).parent.mkdir(parents=True, exist_ok=True)
    Path(out).write_text(reports.page(findings), encoding="utf-8")
    click.echo(f"written {out}")


@fleet.command("counts")
@click.argument("logs", nargs=-1, required=True, type=click.Path())
def counts(logs: tuple[str, ...]) -> None:
    """Add up the counters in LOGS: limiters' logs, or folders of them (a play's, or a bench's `--logs`)."""
    from lapisgrade.lab.fleet import counts as fleet_counts

    try:
        found = fleet_counts.read(list(logs))
    except OSError as error:
        click.echo(f"the logs: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
    for line in fleet_counts.lines(found):
        click.echo(line)
    sys.exit(0 if found.limiters else 1)


def _play(
    path: str,
    seed: int | None,
    limiters: int | None,
    folder: Path | None,
    runs_folder: Path = Path(RUNS_FOLDER),
) -> "Findings":
    """Play the scenario at `path`, save and print what the checker found; ends the command on an error.

    Args:
        path: the scenario's file.
        seed: in place of the scenario's, None for that.
        limiters: in place of the scenario's, None for that.
        folder: of the play; None for one of its own in `runs_folder`.
        runs_folder: holds a folder for each play.
    """
    from lapisgrade.lab.fleet import checker, history, process, test_bed
    from lapisgrade.lab.fleet import report as reports

    changes = {"seed": seed, "limiters": limiters}
    text, scenario = _read_scenario(path, changes)
    folder = folder or runs_folder / f"{scenario.name}-{scenario.seed}"
    try:
        files = asyncio.run(test_bed.run(scenario, text, path, folder.resolve(), changes))
    except process.ProcessFailedError as error:
        click.echo(f"the play: {error}", err=True)
        sys.exit(EXIT_NOT_STARTED)
    except KeyboardInterrupt:
        click.echo("interrupted; every process of the play has been ended", err=True)
        sys.exit(EXIT_INTERRUPTED)
    findings = checker.check(history.merged(files))
    reports.save(findings, folder / "findings.json")
    for line in reports.lines(findings):
        click.echo(line)
    return findings


def _read_scenario(path: str, changes: dict[str, int | None]) -> tuple[str, "Scenario"]:
    """Read a scenario's text, and the scenario with those changes; ends the command where it can't be."""
    from lapisgrade.lab.emulator import scenario as scenarios

    try:
        text = scenarios.read_text(path)
        return text, scenarios.override(scenarios.parse(text, path), changes)
    except scenarios.ScenarioError as error:
        click.echo(f"the scenario: {error}", err=True)
        sys.exit(EXIT_INVALID_INPUT)
