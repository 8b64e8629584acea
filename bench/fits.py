"""Least squares over a few variables."""

from collections.abc import Sequence


def fit_slopes(
    rows: Sequence[Sequence[float]], values: Sequence[float]
) -> list[float]:
    """Return the coefficients that fit values best.

    Args:
        rows: variables of each point; a column of ones gives an intercept.
        values: measured value of each point.
    """
    size = len(rows[0])
    normal = [
        [sum(row[i] * row[j] for row in rows) for j in range(size)]
        for i in range(size)
    ]
    right = [
        sum(row[i] * value for row, value in zip(rows, values, strict=True))
        for i in range(size)
    ]
    return _solve(normal, right)


def _solve(matrix: list[list[float]], right: list[float]) -> list[float]:
    """Solve linear equations by elimination with pivoting."""
    size = len(right)
    work = [[*row, value] for row, value in zip(matrix, right, strict=True)]
    for column in range(size):
        sizes = [abs(row[column]) for row in work]
        pivot = max(range(column, size), key=sizes.__getitem__)
        work[column], work[pivot] = work[pivot], work[column]
        for place in range(column + 1, size):
            factor = work[place][column] / work[column][column]
            for k in range(column, size + 1):
                work[place][k] -= factor * work[column][k]
    result = [0.0] * size
    for place in reversed(range(size)):
        known = sum(work[place][k] * result[k] for k in range(place + 1, size))
        result[place] = (work[place][size] - known) / work[place][place]
    return result
