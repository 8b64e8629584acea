"""Render the burn report as one self-contained HTML page."""

import html
from collections.abc import Sequence

from knapweedtally.report import hosts
from knapweedtally.report import objectives
from knapweedtally.report import plots
from knapweedtally.report import rows

# Plotted windows, each with the unit of its time axis and the length of that
# unit in seconds.
PLOTTED_WINDOWS = {"1h": ("minutes ago", 60.0), "3d": ("hours ago", 3600.0)}
_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #ccc;padding:.3em .7em;text-align:left}"
    ".page{background:#f6c6c0}.ticket{background:#fbe9b7}"
)


def render_page(
    report: hosts.Report, slos: Sequence[objectives.Objective]
) -> str:
    """Return the burn report on some objectives as an HTML document."""
    parts = [
        "<h1>Service-level burn</h1>",
        f"<p>Hosts: {html.escape(', '.join(report.hosts))}.</p>",
    ]
    if report.unreachable:
        unreachable = html.escape(", ".join(report.unreachable))
        parts.append(f"<p><b>No answer from: {unreachable}.</b></p>")
    parts.append(_render_table(report, slos))
    parts.append(
        "<p>A burn rate of 1 uses up a month's budget in a month. 'page': at "
        "least 14.4 over 1 h and 5 min, or 6 over 6 h and 1 h; 'ticket': at "
        "least 1 over 3 d and 6 h (The Site Reliability Workbook, chapter "
        "5).</p>"
    )
    for objective in slos:
        parts.append(f"<h2>{html.escape(objective.title)}</h2>")
        parts += [
            _draw_plot(report, objective, name) for name in PLOTTED_WINDOWS
        ]
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{_STYLE}</style></head>"
        f"<body>{''.join(parts)}</body></html>\n"
    )


def _render_table(
    report: hosts.Report, slos: Sequence[objectives.Objective]
) -> str:
    header_cells = "".join(f"<th>{html.escape(c)}</th>" for c in rows.COLUMNS)
    body_rows = []
    for row in rows.make_rows(report, slos):
        cells = "".join(
            f"<td>{html.escape(str(row[c]))}</td>" for c in rows.COLUMNS
        )
        body_rows.append(f'<tr class="{row["action"]}">{cells}</tr>')
    return f"<table><tr>{header_cells}</tr>{''.join(body_rows)}</table>"


def _draw_plot(
    report: hosts.Report, objective: objectives.Objective, window: str
) -> str:
    unit, unit_s = PLOTTED_WINDOWS[window]
    points = []
    for age, sums in report.steps.get(window, {}).items():
        burn_rate = objectives.compute_burn_rate(objective, sums)
        if burn_rate is not None:
            step_length = report.step_s[window] / unit_s
            points += [
                (age * step_length, burn_rate),
                ((age + 1) * step_length, burn_rate),
            ]
    line = plots.Line(objective.name, points)
    title = f"burn rate in each step of the last {window}"
    return plots.draw_lines(title, [line], unit, "burn rate")
