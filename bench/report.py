"""Write results as JSON and as a self-contained HTML page."""

import html
import json
import pathlib
import subprocess
import sys
from typing import Any

from bench import cluster
from bench import systems
from knapweedtally.report import plots

PERCENTILES = ("p50", "p90", "p99", "p99.9", "p100")
# Columns of the table of runs: title, and key of the value in a run's results.
_RUN_COLUMNS = (
    ("run", "name"),
    ("answered/s", "answered_per_s"),
    ("refused", "refused_total"),
    ("with hint", "refusals_with_hint"),
    ("replica share", "replica_share"),
    ("proxy us/statement", "proxy_us_per_statement"),
    ("target us/statement", "target_us_per_statement"),
    ("stale", "stale_reads"),
    ("lost", "lost_writes"),
    ("doubled", "doubled_writes"),
    ("no answer", "unanswered"),
    ("unsent", "unsent"),
)
_STYLE = (
    "body{font:14px sans-serif;max-width:1000px;margin:2em auto}"
    "table{border-collapse:collapse}td,th{border:1px solid #ccc;"
    "padding:2px 8px;text-align:right}td:first-child{text-align:left}"
)


def make_results(experiments: list[dict[str, Any]]) -> dict[str, Any]:
    """Return results with the command, the commit and the machine's state."""
    return {
        "command": " ".join(["python -m bench", *sys.argv[1:]]),
        "commit": read_commit(),
        "machine": systems.describe_machine(),
        "experiments": experiments,
    }


def read_commit() -> str:
    """Return the commit of the working tree, marked if it has changes."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12"]
    completed = subprocess.run(
        command, cwd=cluster.ROOT, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip() or "unknown"


def write_results(results: dict[str, Any], directory: str, name: str) -> str:
    """Write the JSON file and the HTML page; return the path of the page."""
    write_json(results, directory, name)
    page = pathlib.Path(directory, f"{name}.html")
    page.write_text(render_page(results, name), "utf-8")
    return str(page)


def write_json(results: dict[str, Any], directory: str, name: str) -> str:
    """Write the results as JSON and return the path."""
    output_directory = pathlib.Path(directory)
    output_directory.mkdir(parents=True, exist_ok=True)
    path = output_directory.joinpath(f"{name}.json")
    path.write_text(json.dumps(results, indent=1), "utf-8")
    return str(path)


def render_page(results: dict[str, Any], title: str) -> str:
    """Return the results as an HTML page."""
    parts = [_render_experiment(e) for e in results["experiments"]]
    metadata = {key: results[key] for key in ("command", "commit", "machine")}
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{_STYLE}</style>"
        f"<h1>{html.escape(title)}</h1>"
        f"<pre>{html.escape(json.dumps(metadata, indent=1))}</pre>"
        f"{''.join(parts)}</html>"
    )


def format_runs(runs: list[dict[str, Any]]) -> str:
    """Return a text summary of runs for the terminal."""
    lines = []
    for run in runs:
        values = [f"{title} {run.get(key)}" for title, key in _RUN_COLUMNS[1:]]
        lines.append(f"{run['name']}: " + ", ".join(values))
        lines += [f"  {text}" for text in _format_latency(run)]
        lines += [f"  {event}" for event in run["events"]]
        if run["refused"]:
            lines.append(f"  refused {run['refused']} in {run['refusal_ms']}")
            lines.append(f"  callers answered {run['callers']}")
            lines.append(f"  callers refused {run['refused_callers']}")
    return "\n".join(lines)


def _format_latency(run: dict[str, Any]) -> list[str]:
    return [
        f"{kind}: {run['answered'][kind]} answered, ms "
        + ", ".join(f"{name} {value:.1f}" for name, value in values.items())
        for kind, values in sorted(run["latency_ms"].items())
    ]


def _render_experiment(experiment: dict[str, Any]) -> str:
    runs = experiment["runs"]
    parts = [f"<h2>{html.escape(experiment['title'])}</h2>"]
    parts.append(_render_table(runs))
    parts.append(_draw_latency(runs))
    parts += [_draw_timeline(run) for run in runs]
    text = format_runs(runs)
    parts.append(f"<pre>{html.escape(text)}</pre>")
    return "".join(parts)


def _render_table(runs: list[dict[str, Any]]) -> str:
    head = "".join(f"<th>{title}</th>" for title, _ in _RUN_COLUMNS)
    rows = "".join(
        "<tr>"
        + "".join(
            f"<td>{html.escape(str(run.get(key)))}</td>"
            for _, key in _RUN_COLUMNS
        )
        + "</tr>"
        for run in runs
    )
    return f"<table><tr>{head}</tr>{rows}</table>"


def _draw_latency(runs: list[dict[str, Any]]) -> str:
    lines = [
        plots.Line(
            f"{run['name']} {kind}",
            [(n, values[p]) for n, p in enumerate(PERCENTILES)],
        )
        for run in runs
        for kind, values in sorted(run["latency_ms"].items())
    ]
    axis = "0 to 4: " + ", ".join(PERCENTILES)
    return plots.draw_lines("latency", lines, axis, "ms")


def _draw_timeline(run: dict[str, Any]) -> str:
    lines = [
        plots.Line(
            name, [(point["second"], point[name]) for point in run["timeline"]]
        )
        for name in ("answered", "refused")
    ]
    marks = [(e["second"], f"{e['do']} {e['name']}") for e in run["events"]]
    title = f"{run['name']}: statements a second"
    return plots.draw_lines(title, lines, "s", "1/s", marks)
