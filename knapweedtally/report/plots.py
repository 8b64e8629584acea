"""Draw plots as inline SVG, without any library."""

import html
from typing import NamedTuple

WIDTH = 640
HEIGHT = 240
LEFT = 56
RIGHT = 16
TOP = 28
BOTTOM = 36
TICKS = 4
COLOURS = ("#1f6fb2", "#c0392b", "#2c8a4b", "#8e5ea2", "#b8860b", "#555555")


class Line(NamedTuple):
    """Hold one line of a plot: its label and its points."""

    label: str
    points: list[tuple[float, float]]


def draw_lines(
    title: str,
    lines: list[Line],
    x_unit: str,
    y_unit: str,
    marks: list[tuple[float, str]] | None = None,
) -> str:
    """Return a plot of lines.

    Args:
        title: text above the plot.
        lines: lines in the units of the axes.
        x_unit: unit of the horizontal axis.
        y_unit: unit of the vertical axis.
        marks: places on the horizontal axis with a label each.
    """
    points = [point for line in lines for point in line.points]
    x_high = max((x for x, _ in points), default=1.0) or 1.0
    y_high = max((y for _, y in points), default=1.0) or 1.0
    parts = [_draw_frame(title, x_unit, y_unit, x_high, y_high)]
    for at, label in marks or []:
        x = _place_x(at, x_high)
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{TOP}"'
            f' y2="{HEIGHT - BOTTOM}" stroke="#999" stroke-dasharray="4"/>'
            + _write(x + 3, TOP + 10, label)
        )
    for number, line in enumerate(lines):
        parts.append(_draw_line(number, line, x_high, y_high))
    return (
        f'<svg width="{WIDTH}" height="{HEIGHT}"'
        f' viewBox="0 0 {WIDTH} {HEIGHT}" role="img">{"".join(parts)}</svg>'
    )


def _draw_line(number: int, line: Line, x_high: float, y_high: float) -> str:
    colour = COLOURS[number % len(COLOURS)]
    path = " ".join(
        f"{_place_x(x, x_high):.1f},{_place_y(y, y_high):.1f}"
        for x, y in line.points
    )
    label = _write(
        WIDTH - RIGHT, TOP + 12 * (number + 1), line.label, "end", colour
    )
    return (
        f'<polyline points="{path}" fill="none" stroke="{colour}"'
        f' stroke-width="1.5"/>{label}'
    )


def _draw_frame(
    title: str, x_unit: str, y_unit: str, x_high: float, y_high: float
) -> str:
    bottom = HEIGHT - BOTTOM
    parts = [
        _write(LEFT, 16, title),
        _write(4, TOP - 4, y_unit),
        _write(WIDTH - RIGHT, HEIGHT - 4, x_unit, "end"),
    ]
    for tick in range(TICKS + 1):
        x = _place_x(x_high * tick / TICKS, x_high)
        y = _place_y(y_high * tick / TICKS, y_high)
        parts.append(_write(x, bottom + 16, f"{x_high * tick / TICKS:.4g}"))
        parts.append(_write(4, y + 4, f"{y_high * tick / TICKS:.3g}"))
        parts.append(
            f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y:.1f}"'
            f' y2="{y:.1f}" stroke="#ddd"/>'
        )
    return "".join(parts)


def _place_x(x: float, high: float) -> float:
    return LEFT + (WIDTH - LEFT - RIGHT) * x / high


def _place_y(y: float, high: float) -> float:
    return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * y / high


def _write(
    x: float, y: float, text: str, anchor: str = "start", colour: str = "#333"
) -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" font-size="11" fill="{colour}"'
        f' text-anchor="{anchor}">{html.escape(text)}</text>'
    )
