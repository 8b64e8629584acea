"""Draw line plots as inline SVG without a plotting library."""

import html
from typing import NamedTuple

# Size of the image, and the margins around the plot area.
WIDTH_PX = 640
HEIGHT_PX = 240
LEFT_PX = 56
RIGHT_PX = 16
TOP_PX = 28
BOTTOM_PX = 36
TICK_COUNT = 4
COLOURS = ("#1f6fb2", "#c0392b", "#2c8a4b", "#8e5ea2", "#b8860b", "#555555")


class Line(NamedTuple):
    """Line of a plot, with its label and its points."""

    label: str
    points: list[tuple[float, float]]


def draw_lines(
    title: str,
    lines: list[Line],
    x_unit: str,
    y_unit: str,
    markers: list[tuple[float, str]] | None = None,
) -> str:
    """Return a line plot as an SVG element.

    Args:
        title: text above the plot.
        lines: lines whose points are in the units of the axes.
        x_unit: unit of the horizontal axis.
        y_unit: unit of the vertical axis.
        markers: positions on the horizontal axis, each with a label.
    """
    points = [point for line in lines for point in line.points]
    x_max = max((x for x, _ in points), default=1.0) or 1.0
    y_max = max((y for _, y in points), default=1.0) or 1.0
    parts = [_draw_axes(title, x_unit, y_unit, x_max, y_max)]
    for position, label in markers or []:
        x = _scale_x(position, x_max)
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP_PX}"'
            f' y2="{HEIGHT_PX - BOTTOM_PX}"'
            ' stroke="#999" stroke-dasharray="4"/>'
            + _draw_text(x + 3, TOP_PX + 10, label)
        )
    for index, line in enumerate(lines):
        parts.append(_draw_line(index, line, x_max, y_max))
    return (
        f'<svg width="{WIDTH_PX}" height="{HEIGHT_PX}"'
        f' viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" role="img">'
        f"{''.join(parts)}</svg>"
    )


def _draw_line(index: int, line: Line, x_max: float, y_max: float) -> str:
    colour = COLOURS[index % len(COLOURS)]
    svg_points = " ".join(
        f"{_scale_x(x, x_max):.1f},{_scale_y(y, y_max):.1f}"
        for x, y in line.points
    )
    label = _draw_text(
        WIDTH_PX - RIGHT_PX,
        TOP_PX + 12 * (index + 1),
        line.label,
        "end",
        colour,
    )
    return (
        f'<polyline points="{svg_points}" fill="none" stroke="{colour}"'
        f' stroke-width="1.5"/>{label}'
    )


def _draw_axes(
    title: str, x_unit: str, y_unit: str, x_max: float, y_max: float
) -> str:
    bottom = HEIGHT_PX - BOTTOM_PX
    parts = [
        _draw_text(LEFT_PX, 16, title),
        _draw_text(4, TOP_PX - 4, y_unit),
        _draw_text(WIDTH_PX - RIGHT_PX, HEIGHT_PX - 4, x_unit, "end"),
    ]
    for tick in range(TICK_COUNT + 1):
        x = _scale_x(x_max * tick / TICK_COUNT, x_max)
        y = _scale_y(y_max * tick / TICK_COUNT, y_max)
        parts.append(
            _draw_text(x, bottom + 16, f"{x_max * tick / TICK_COUNT:.4g}")
        )
        parts.append(_draw_text(4, y + 4, f"{y_max * tick / TICK_COUNT:.3g}"))
        parts.append(
            f'<line x1="{LEFT_PX}" x2="{WIDTH_PX - RIGHT_PX}" y1="{y:.1f}"'
            f' y2="{y:.1f}" stroke="#ddd"/>'
        )
    return "".join(parts)


def _scale_x(x: float, x_max: float) -> float:
    return LEFT_PX + (WIDTH_PX - LEFT_PX - RIGHT_PX) * x / x_max


def _scale_y(y: float, y_max: float) -> float:
    return HEIGHT_PX - BOTTOM_PX - (HEIGHT_PX - TOP_PX - BOTTOM_PX) * y / y_max


def _draw_text(
    x: float, y: float, text: str, anchor: str = "start", colour: str = "#333"
) -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" font-size="11" fill="{colour}"'
        f' text-anchor="{anchor}">{html.escape(text)}</text>'
    )
