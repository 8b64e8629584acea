"""Linear least squares."""

from collections.abc import Sequence


def fit_slopes(
    rows: Sequence[Sequence[float]], values: Sequence[float]
) -> list[float]:
    """Return the coefficients of the least squares fit.

    Args:
        rows: variables of each point; a column of ones gives an intercept.
        values: measured value of each point.
    """
    size = len(rows[0])
    normal_matrix = [
        [sum(row[i] * row[j] for row in rows) for j in range(size)]
        for i in range(size)
    ]
    right_side = [
        sum(row[i] * value for row, value in zip(rows, values, strict=True))
        for i in range(size)
    ]
    return _solve_linear_equations(normal_matrix, right_side)


def _solve_linear_equations(
    matrix: list[list[float]], right_side: list[float]
) -> list[float]:
    """Solve linear equations by Gaussian elimination with partial pivoting."""
    size = len(right_side)
    augmented = [
        [*row, value] for row, value in zip(matrix, right_side, strict=True)
    ]
    for column in range(size):
        magnitudes = [abs(row[column]) for row in augmented]
        pivot = max(range(column, size), key=magnitudes.__getitem__)
        augmented[column], augmented[pivot] = (
            augmented[pivot],
            augmented[column],
        )
        for row_index in range(column + 1, size):
            factor = augmented[row_index][column] / augmented[column][column]
            for k in range(column, size + 1):
                augmented[row_index][k] -= factor * augmented[column][k]
    result = [0.0] * size
    for row_index in reversed(range(size)):
        solved_sum = sum(
            augmented[row_index][k] * result[k]
            for k in range(row_index + 1, size)
        )
        result[row_index] = (
            augmented[row_index][size] - solved_sum
        ) / augmented[row_index][row_index]
    return result
