"""Findings of plays as lines, as a table over seeds, and as one HTML page with its plots inside."""

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
    """A file that holds no findings."""


def load(path: str) -> Findings:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Findings)
    except (OSError, msgspec.MsgspecError) as wrong:
        raise FindingsError(f"{path}: {wrong}") from None


def save(found: Findings, path: Path) -> None:
    path.write_bytes(msgspec.json.encode(found))


def figures(found: Findings) -> dict[str, float]:
    """The figures of one play that are compared. Over and short are of plans without a ceiling where there
    are such (a ceiling holds its plan back by itself); `back in s` is the longest, infinite where never."""
    plans = [each for each in found.quotas.values()]
    over = [max(0.0, each) for each in found.over.values()]
    back = [each.full_service_s for each in found.faults]
    return {
        **{name: float(found.ends[name]) for name in ENDS},
        "over, worst": max(over, default=0.0),
        "over, mean": max((each["over_mean"] for each in plans), default=0.0),
        "short, share": max((each["short_share"] for each in plans), default=0.0),
        "back in s": max((float("inf") if each is None else each for each in back), default=0.0),
        "stampede": max(found.stampede.values(), default=0.0),
        "stale s": found.staleness_s,
        "rules broken": float(found.broken),
    }


def lines(found: Findings) -> list[str]:
    """One play for a person."""
    ends = ", ".join(f"{name} {found.ends[name]}" for name in ENDS)
    said = [f"{found.name} (seed {found.seed}, {found.limiters} limiters, {found.seconds:g} s): {ends}"]
    if found.exempt:
        said.append(f"of these, {found.exempt} were held by limiters that were killed or stopped")
    for plan, each in found.quotas.items():
        said.append(
            f"plan {plan}: over any window, worst {each['over_worst']:.1f} units, mean "
            f"{each['over_mean']:.1f}; beyond {each['beyond_share']:.3f}, short {each['short_share']:.3f} "
            "of rate x time"
        )
    for fault in found.faults:
        full = "not within the play" if fault.full_service_s is None else f"{fault.full_service_s:.1f} s"
        said.append(
            f"fault {fault.what} {fault.target} at {fault.began_s:.1f} s, over at {fault.ended_s:.1f} s; "
            f"full service after {full}"
        )
    if found.stampede:
        rushes = ", ".join(f"{name} {found.stampede[name]:.1f}" for name in CALLS)
        said.append(f"highest 100 ms over the mean before: {rushes}; stale for {found.staleness_s:.1f} s")
    for breach in found.breaches[:10]:
        name = f"RULE {breach.rule} BROKEN" if breach.rule else "BOUND PASSED"
        said.append(f"{name} at {breach.at_s:.2f} s: {breach.what} {breach.op}")
    if found.broken > 10:
        said.append(f"and {found.broken - 10} more")
    if found.ok:
        said.append("no rule broken, no stated bound passed")
    return said


def table(plays: list[Findings]) -> str:
    """Markdown: a row of medians and one of the worst for each name, over its seeds."""
    rows = ["| play | seeds | | " + " | ".join(COLUMNS) + " |", "|---" * (len(COLUMNS) + 3) + "|"]
    for name in dict.fromkeys(each.name for each in plays):
        mine = [figures(each) for each in plays if each.name == name]
        for label, pick in (("median", statistics.median), ("worst", max)):
            cells = []
            for column in COLUMNS:
                values = [each[column] for each in mine]
                value = min(values) if label == "worst" and column == "finished" else pick(values)
                cells.append("never" if value == float("inf") else f"{value:.3f}".rstrip("0").rstrip("."))
            rows.append(f"| {name} | {len(mine)} | {label} | " + " | ".join(cells) + " |")
    return "\n".join(rows)


def draw(found: Findings) -> bytes:
    """A PNG: goodput, calls by kind, and units over by customer."""
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


def page(plays: list[Findings]) -> str:
    """One self-contained HTML page of all plays."""
    parts = []
    for found in plays:
        picture = base64.b64encode(draw(found)).decode()
        said = "".join(f"<li>{html.escape(line)}</li>" for line in lines(found))
        share = "".join(f"<td>{found.share[i]}</td>" for i in sorted(found.share))
        parts.append(
            f"<h2>{html.escape(found.name)}, seed {found.seed}</h2><ul>{said}</ul>"
            f"<table><tr><th>tries by limiter</th>{share}</tr></table>"
            f"<img alt='goodput, calls and units over' src='data:image/png;base64,{picture}'>"
        )
    return (
        "<!doctype html><meta charset='utf-8'><title>lapisgrade fleet report</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em}</style>"
        f"<h1>Plays with real processes</h1><pre>{html.escape(table(plays))}</pre>{''.join(parts)}"
    )
