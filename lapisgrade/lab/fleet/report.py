"""Reports of findings: text lines, a table over seeds, and an HTML page with embedded plots."""

import base64
import html
import io
import statistics
from pathlib import Path

import msgspec

from lapisgrade.lab.fleet.checker import BIN_US, CALLS, ENDS, Findings

SECOND = 1_000_000
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
DPI = 110


class FindingsError(ValueError):
    """A findings file is missing or malformed; the message names the file and the reason."""


def load(path: str) -> Findings:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Findings)
    except (OSError, msgspec.MsgspecError) as error:
        raise FindingsError(f"{path}: {error}") from None


def save(found: Findings, path: Path) -> None:
    path.write_bytes(msgspec.json.encode(found))


def figures(found: Findings) -> dict[str, float]:
    """Return the figures by which runs are compared.

    `back in s` is the longest time to full service after a fault, infinite if a run never reached it.
    """
    plans = [each for each in found.quotas.values()]
    over = [max(0.0, each) for each in found.over.values()]
    recovery_times_s = [each.full_service_s for each in found.faults]
    return {
        **{name: float(found.ends[name]) for name in ENDS},
        "over, worst": max(over, default=0.0),
        "over, mean": max((each["over_mean"] for each in plans), default=0.0),
        "short, share": max((each["short_share"] for each in plans), default=0.0),
        "back in s": max((float("inf") if each is None else each for each in recovery_times_s), default=0.0),
        "stampede": max(found.stampede.values(), default=0.0),
        "stale s": found.staleness_s,
        "rules broken": float(found.broken),
    }


def lines(found: Findings) -> list[str]:
    """Return the findings of a run as text lines."""
    ends = ", ".join(f"{name} {found.ends[name]}" for name in ENDS)
    text_lines = [f"{found.name} (seed {found.seed}, {found.limiters} limiters, {found.seconds:g} s): {ends}"]
    if found.exempt:
        text_lines.append(f"of these, {found.exempt} were in flight in limiters that were killed or paused")
    for plan, each in found.quotas.items():
        text_lines.append(
            f"plan {plan}: over any window, worst {each['over_worst']:.1f} units, mean "
            f"{each['over_mean']:.1f}; beyond {each['beyond_share']:.3f}, short {each['short_share']:.3f} "
            "of rate x time"
        )
    for fault in found.faults:
        recovery = "not within the run" if fault.full_service_s is None else f"{fault.full_service_s:.1f} s"
        text_lines.append(
            f"fault {fault.what} {fault.target} from {fault.began_s:.1f} s to {fault.ended_s:.1f} s; "
            f"time to full service: {recovery}"
        )
    if found.stampede:
        peaks = ", ".join(f"{name} {found.stampede[name]:.1f}" for name in CALLS)
        text_lines.append(f"peak 100 ms over the mean before: {peaks}; stale for {found.staleness_s:.1f} s")
    for breach in found.breaches[:10]:
        name = f"RULE {breach.rule} BROKEN" if breach.rule else "BOUND EXCEEDED"
        text_lines.append(f"{name} at {breach.at_s:.2f} s: {breach.what} {breach.op}")
    if found.broken > 10:
        text_lines.append(f"and {found.broken - 10} more")
    if found.ok:
        text_lines.append("no rule broken, no stated bound exceeded")
    return text_lines


def table(runs: list[Findings]) -> str:
    """Return a Markdown table with the medians and the worst figures of each name over its seeds."""
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


def draw(found: Findings) -> bytes:
    """Return a PNG with goodput, calls by kind, and units over by customer."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    fig, axes = plt.subplots(3, 1, figsize=(10, 9))
    seconds = [i * BIN_US / SECOND for i in range(len(found.goodput))]
    a_second = SECOND / BIN_US
    axes[0].plot(seconds, [each * a_second for each in found.goodput], label="finished")
    for kind, series in found.calls.items():
        axes[1].plot(seconds[: len(series)], [each * a_second for each in series], label=kind)
    for axis, title in ((axes[0], "finished a second"), (axes[1], "calls a second")):
        for fault in found.faults:
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
    over = sorted(found.over.values(), reverse=True)
    axes[2].bar(range(len(over)), over)
    if found.over_bound is not None:
        axes[2].axhline(found.over_bound, color="red", linestyle=":", label="stated bound")
        axes[2].legend(fontsize=7)
    axes[2].set_title("units beyond burst + rate x length, worst window of each customer", fontsize=10)
    fig.tight_layout()
    out = io.BytesIO()
    fig.savefig(out, format="png", dpi=DPI)
    plt.close(fig)
    return out.getvalue()


def page(runs: list[Findings]) -> str:
    """Return a self-contained HTML page of all runs."""
    parts = []
    for found in runs:
        picture = base64.b64encode(draw(found)).decode()
        text_lines = "".join(f"<li>{html.escape(line)}</li>" for line in lines(found))
        share = "".join(f"<td>{found.share[i]}</td>" for i in sorted(found.share))
        parts.append(
            f"<h2>{html.escape(found.name)}, seed {found.seed}</h2><ul>{text_lines}</ul>"
            f"<table><tr><th>attempts by limiter</th>{share}</tr></table>"
            f"<img alt='goodput, calls and units over' src='data:image/png;base64,{picture}'>"
        )
    return (
        "<!doctype html><meta charset='utf-8'><title>lapisgrade fleet report</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em}</style>"
        f"<h1>Runs with real processes</h1><pre>{html.escape(table(runs))}</pre>{''.join(parts)}"
    )
