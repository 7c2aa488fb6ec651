"""Plots and an HTML page for one or more runs of the emulator, from their JSON results.

The picture has a plot per run of its operations per second by outcome, and for several runs a bar chart that
compares them. The page has a table of the runs' figures and embeds the picture, so that it is a single file,
which can be mailed or opened anywhere.
"""

import base64
import html
import io
import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # imported after the backend is set

SERIES = ("arrived", "finished", "turned back", "given up", "lost", "front")
FIGURES = (
    "payoff_share",
    "finished share",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "overshoot p50",
    "overshoot p99",
    "overshoot max",
    "counter calls a s",
    "spread over limiters",
    "breaches",
)
DPI = 110


class RunFileError(ValueError):
    """A run file is missing or malformed; the message names the file and the reason."""


def load(path: str) -> dict[str, Any]:
    """Return the result of a run, as `lapisgrade lab run` writes it.

    Raises:
        RunFileError: The file can't be read, or is not such a result.
    """
    try:
        with open(path, encoding="utf-8") as file:
            run = json.load(file)
    except (OSError, ValueError) as error:
        raise RunFileError(f"{path}: {error}") from None
    if not isinstance(run, dict) or "series" not in run or "ends" not in run:
        raise RunFileError(f"{path}: not the result of an emulator run: `series` or `ends` is missing")
    return run


def figures(run: dict[str, Any]) -> dict[str, float]:
    """Return the figures by which runs are compared, by the names in FIGURES."""
    operations = max(1, run["operations"])
    return {
        "payoff_share": run["payoff_share"],
        "finished share": run["ends"]["finished"] / operations,
        "p50 ms": run["latency_ms"].get("p50", 0.0),
        "p99 ms": run["latency_ms"].get("p99", 0.0),
        "p99.9 ms": run["latency_ms"].get("p99.9", 0.0),
        "overshoot p50": run["overshoot"].get("p50", 0.0),
        "overshoot p99": run["overshoot"].get("p99", 0.0),
        "overshoot max": run["overshoot"].get("max", 0.0),
        "counter calls a s": run["counter_calls"] / max(run["seconds"], 1e-9),
        "spread over limiters": run["spread"],
        "breaches": run["broken"],
    }


def label(run: dict[str, Any]) -> str:
    """Return the name, policy and seed of a run."""
    return f"{run['name']} ({run['policy']}, seed {run['seed']})"


def draw(runs: list[dict[str, Any]]) -> bytes:
    """Return a PNG with a plot per run, and a bar chart of the figures if there are several runs."""
    rows = len(runs) + (1 if len(runs) > 1 else 0)
    fig, axes = plt.subplots(rows, 1, figsize=(10, 3.2 * rows), squeeze=False)
    for axis, run in zip(axes[:, 0], runs, strict=False):
        for name in SERIES:
            values = run["series"].get(name, [])
            if any(values):
                axis.plot(range(1, len(values) + 1), values, label=name)
        for at_us, kind, target in run.get("faults", []):
            axis.axvline(at_us / 1e6, color="grey", linestyle=":", linewidth=1)
            axis.annotate(
                f"{kind} {target}",
                (at_us / 1e6, axis.get_ylim()[1]),
                fontsize=7,
                rotation=90,
                va="top",
                color="grey",
            )
        axis.set_title(label(run), fontsize=10)
        axis.set_xlabel("s")
        axis.set_ylabel("operations a second")
        axis.legend(fontsize=7, loc="upper right")
    if len(runs) > 1:
        axis = axes[-1, 0]
        shown = ("payoff_share", "finished share", "overshoot p99")
        width = 0.8 / len(runs)
        for i, run in enumerate(runs):
            values = figures(run)
            axis.bar(
                [k + i * width for k in range(len(shown))],
                [values[name] for name in shown],
                width,
                label=label(run),
            )
        axis.set_xticks([k + 0.4 - width / 2 for k in range(len(shown))], shown)
        axis.legend(fontsize=7)
        axis.set_title("side by side", fontsize=10)
    fig.tight_layout()
    png = io.BytesIO()
    fig.savefig(png, format="png", dpi=DPI)
    plt.close(fig)
    return png.getvalue()


def page(runs: list[dict[str, Any]], png: bytes) -> str:
    """Return a self-contained HTML page with the picture and a table of the figures."""
    head = "".join(f"<th>{html.escape(name)}</th>" for name in FIGURES)
    rows = []
    for run in runs:
        values = figures(run)
        cells = "".join(
            f"<td>{values[name]:.3f}</td>" if isinstance(values[name], float) else f"<td>{values[name]}</td>"
            for name in FIGURES
        )
        rows.append(f"<tr><th>{html.escape(label(run))}</th>{cells}</tr>")
    breaches = [
        f"<li>{html.escape(run['name'])}: rule {breach['rule']}, {html.escape(breach['what'])}, "
        f"operation {html.escape(breach['operation'])}, step {breach['step']}</li>"
        for run in runs
        for breach in run["breaches"][:20]
    ]
    picture = base64.b64encode(png).decode()
    return (
        "<!doctype html><meta charset='utf-8'><title>lapisgrade lab report</title>"
        "<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em;text-align:right}</style>"
        f"<h1>Emulated runs</h1><table><tr><th></th>{head}</tr>{''.join(rows)}</table>"
        f"<h2>Breaches</h2><ul>{''.join(breaches) or '<li>none</li>'}</ul>"
        f"<img alt='series' src='data:image/png;base64,{picture}'>"
    )


def report(paths: list[str], out: str) -> list[str]:
    """Write `out`.png and `out`.html for the runs at `paths`; return the paths written.

    Raises:
        RunFileError: A run can't be read.
    """
    runs = [load(path) for path in paths]
    png = draw(runs)
    target = Path(out)
    target.parent.mkdir(parents=True, exist_ok=True)
    png_path, html_path = target.with_suffix(".png"), target.with_suffix(".html")
    png_path.write_bytes(png)
    html_path.write_text(page(runs, png), encoding="utf-8")
    return [str(png_path), str(html_path)]
