"""Write the burn report as one self-contained HTML page."""

import html
from collections.abc import Sequence

from knapweedtally.report import hosts
from knapweedtally.report import objectives
from knapweedtally.report import plots
from knapweedtally.report import rows

# Windows that are plotted: unit and its length in seconds.
PLOTTED = {"1h": ("minutes ago", 60.0), "3d": ("hours ago", 3600.0)}
_STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #ccc;padding:.3em .7em;text-align:left}"
    ".page{background:#f6c6c0}.ticket{background:#fbe9b7}"
)


def write_page(
    report: hosts.Report, chosen: Sequence[objectives.Objective]
) -> str:
    """Return the page."""
    parts = [
        "<h1>Service-level burn</h1>",
        f"<p>Hosts: {html.escape(', '.join(report.hosts))}.</p>",
    ]
    if report.silent:
        silent = html.escape(", ".join(report.silent))
        parts.append(f"<p><b>No answer from: {silent}.</b></p>")
    parts.append(_write_table(report, chosen))
    parts.append(
        "<p>A burn rate of 1 uses up a month's budget in a month. 'page': at "
        "least 14.4 over 1 h and 5 min, or 6 over 6 h and 1 h; 'ticket': at "
        "least 1 over 3 d and 6 h (The Site Reliability Workbook, chapter "
        "5).</p>"
    )
    for objective in chosen:
        parts.append(f"<h2>{html.escape(objective.title)}</h2>")
        parts += [_draw_plot(report, objective, name) for name in PLOTTED]
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Service-level burn</title><style>{_STYLE}</style></head>"
        f"<body>{''.join(parts)}</body></html>\n"
    )


def _write_table(
    report: hosts.Report, chosen: Sequence[objectives.Objective]
) -> str:
    head = "".join(f"<th>{html.escape(c)}</th>" for c in rows.COLUMNS)
    lines = []
    for row in rows.make_rows(report, chosen):
        cells = "".join(
            f"<td>{html.escape(str(row[c]))}</td>" for c in rows.COLUMNS
        )
        lines.append(f'<tr class="{row["action"]}">{cells}</tr>')
    return f"<table><tr>{head}</tr>{''.join(lines)}</table>"


def _draw_plot(
    report: hosts.Report, objective: objectives.Objective, window: str
) -> str:
    unit, unit_s = PLOTTED[window]
    points = []
    for age, sums in report.steps.get(window, {}).items():
        burn = objectives.compute_burn(objective, sums)
        if burn is not None:
            step = report.step_s[window] / unit_s
            points += [(age * step, burn), ((age + 1) * step, burn)]
    line = plots.Line(objective.name, points)
    title = f"burn rate in each step of the last {window}"
    return plots.draw_lines(title, [line], unit, "burn rate")
