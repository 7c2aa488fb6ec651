"""Reports of findings: text lines, a table over seeds, and an HTML page with embedded plots."""

import base64
import html
import io
import statistics
from pathlib import Path

import msgspec

from lapisgrade.lab.fleet.checker import BIN_US, CALLS, ENDS, Findings

SECOND = 1_000_000
# Columns of the table, the keys of `figures`: outcomes as in ENDS, units, shares, seconds and counts.
COLUMNS = (
    "finished",
    "turned back",
    "given up",
    "broken",
    "none",
    "over, worst",
    "over, mean",
    "short, share",
    "back in s",
    "stampede",
    "stale s",
    "rules broken",
)
DPI = 110  # resolution of the plots


class FindingsError(ValueError):
    """A findings file is missing or malformed; the message names the file and the reason."""


def load(path: str) -> Findings:
    """Read the findings of a run from a JSON file.

    Raises:
        FindingsError: The file can't be read or is malformed.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Findings)
    except (OSError, msgspec.MsgspecError) as error:
        raise FindingsError(f"{path}: {error}") from None


def save(findings: Findings, path: Path) -> None:
    """Write the findings of a run to a JSON file.

    Raises:
        OSError: The file can't be written.
    """
    path.write_bytes(msgspec.json.encode(findings))


def figures(findings: Findings) -> dict[str, float]:
    """Return the figures by which runs are compared, by their names in COLUMNS.

    `over, worst` is of any customer; `over, mean` and `short, share` are of the plan with the highest value.
    Plans with a rate limit count too, although that limit, and not only the quota, holds them back.
    `back in s` is the longest time to full service after a fault, infinite if a run never reached it.
    """
    plans = [each for each in findings.quotas.values()]
    over = [max(0.0, each) for each in findings.over.values()]
    recovery_times_s = [each.full_service_s for each in findings.faults]
    return {
        **{name: float(findings.ends[name]) for name in ENDS},
        "over, worst": max(over, default=0.0),
        "over, mean": max((each["over_mean"] for each in plans), default=0.0),
        "short, share": max((each["short_share"] for each in plans), default=0.0),
        "back in s": max((float("inf") if each is None else each for each in recovery_times_s), default=0.0),
        "stampede": max(findings.stampede.values(), default=0.0),
        "stale s": findings.staleness_s,
        "rules broken": float(findings.broken),
    }


def lines(findings: Findings) -> list[str]:
    """Return the findings of a run as text lines."""
    ends = ", ".join(f"{name} {findings.ends[name]}" for name in ENDS)
    text_lines = [
        f"{findings.name} (seed {findings.seed}, {findings.limiters} limiters, {findings.seconds:g} s): "
        f"{ends}"
    ]
    if findings.exempt:
        text_lines.append(
            f"of these, {findings.exempt} were in flight in limiters that were killed or paused"
        )
    for plan, quota in findings.quotas.items():
        text_lines.append(
            f"plan {plan}: units over the quota in any window: worst {quota['over_worst']:.1f}, mean "
            f"{quota['over_mean']:.1f}; beyond the quota {quota['beyond_share']:.3f}, short of it "
            f"{quota['short_share']:.3f} of rate x time"
        )
    for fault in findings.faults:
        recovery = "not within the run" if fault.full_service_s is None else f"{fault.full_service_s:.1f} s"
        text_lines.append(
            f"fault {fault.what} {fault.target} from {fault.began_s:.1f} s to {fault.ended_s:.1f} s; "
            f"time to full service: {recovery}"
        )
    if findings.stampede:
        peaks = ", ".join(f"{name} {findings.stampede[name]:.1f}" for name in CALLS)
        text_lines.append(
            f"calls in the highest 100 ms after the first fault, relative to the mean before it: {peaks}; "
            f"requests reached departed servers for up to {findings.staleness_s:.1f} s"
        )
    for breach in findings.breaches[:10]:
        name = f"RULE {breach.rule} BROKEN" if breach.rule else "BOUND EXCEEDED"
        text_lines.append(f"{name} at {breach.at_s:.2f} s: {breach.what} {breach.op}")
    if findings.broken > 10:
        text_lines.append(f"and {findings.broken - 10} more violations")
    if findings.ok:
        text_lines.append("no rule broken, no stated bound exceeded")
    return text_lines


def table(runs: list[Findings]) -> str:
    """Return a Markdown table with the medians and the worst figures of each scenario over its seeds."""
    rows = ["| run | seeds | | " + " | ".join(COLUMNS) + " |", "|---" * (len(COLUMNS) + 3) + "|"]
    for name in dict.fromkeys(each.name for each in runs):
        run_figures = [figures(each) for each in runs if each.name == name]
        for label, select in (("median", statistics.median), ("worst", max)):
            cells = []
            for column in COLUMNS:
                values = [each[column] for each in run_figures]
                value = min(values) if label == "worst" and column == "finished" else select(values)
                cells.append("never" if value == float("inf") else f"{value:.3f}".rstrip("0").rstrip("."))
            rows.append(f"| {name} | {len(run_figures)} | {label} | " + " | ".join(cells) + " |")
    return "\n".join(rows)


def draw(findings: Findings) -> bytes:
    """Return a PNG image with the goodput, the calls by kind, and the units over the quota by customer."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(3, 1, figsize=(10, 9))
    seconds = [i * BIN_US / SECOND for i in range(len(findings.goodput))]
    bins_per_s = SECOND / BIN_US
    axes[0].plot(seconds, [each * bins_per_s for each in findings.goodput], label="finished")
    for kind, series in findings.calls.items():
        axes[1].plot(seconds[: len(series)], [each * bins_per_s for each in series], label=kind)
    for axis, title in ((axes[0], "operations finished per second"), (axes[1], "calls per second")):
        for fault in findings.faults:
            # At least 0.05 s wide, so that a fault without a duration is visible.
            axis.axvspan(fault.began_s, max(fault.ended_s, fault.began_s + 0.05), color="grey", alpha=0.25)
            axis.annotate(
                f"{fault.what} {fault.target}",
                (fault.began_s, axis.get_ylim()[1]),
                fontsize=7,
                rotation=90,
                va="top",
            )
        axis.set_title(title, fontsize=10)
        axis.set_xlabel("s")
        axis.legend(fontsize=7, loc="lower right")
    over = sorted(findings.over.values(), reverse=True)
    axes[2].bar(range(len(over)), over)
    if findings.over_bound is not None:
        axes[2].axhline(findings.over_bound, color="red", linestyle=":", label="stated bound")
        axes[2].legend(fontsize=7)
    axes[2].set_title("units over burst + rate x length in the worst window of each customer", fontsize=10)
    fig.tight_layout()
    out = io.BytesIO()
    fig.savefig(out, format="png", dpi=DPI)
    plt.close(fig)
    return out.getvalue()


def page(runs: list[Findings]) -> str:
    """Return a self-contained HTML page of all runs."""
    parts = []
    for findings in runs:
        picture = base64.b64encode(draw(findings)).decode()
        text_lines = "".join(f"<li>{html.escape(line)}</li>" for line in lines(findings))
        share = "".join(f"<td>{findings.share[i]}</td>" for i in sorted(findings.share))
        parts.append(
            f"<h2>{html.escape(findings.name)}, seed {findings.seed}</h2><ul>{text_lines}</ul>"
            f"<table><tr><th>attempts by limiter</th>{share}</tr></table>"
            f"<img alt='goodput, calls and units over the quota' src='data:image/png;base64,{picture}'>"
        )
    return (
        "<!doctype html><meta charset='utf-8'><title>lapisgrade fleet report</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em}</style>"
        f"<h1>Runs with real processes</h1><pre>{html.escape(table(runs))}</pre>{''.join(parts)}"
    )
