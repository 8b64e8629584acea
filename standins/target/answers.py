"""Wire protocol messages for results, errors and reports."""

import math
from collections.abc import Iterator
from collections.abc import Sequence

from pygwire import messages

from standins.target import errors
from standins.target import instance as instances
from standins.target import storage as storages
from standins.target import values

REPORT_PARAMETER = "kt.report"


def make_report_status(report: instances.Report) -> messages.ParameterStatus:
    """Return the ParameterStatus that reports the data a statement read."""
    role = "p" if report.is_primary else "r"
    age_ms = math.ceil(report.age_ms)
    value = f"{report.term}/{report.offset}/{age_ms}/{role}"
    return messages.ParameterStatus(REPORT_PARAMETER, value)


def make_error_response(error: errors.TargetError) -> messages.ErrorResponse:
    """Return the ErrorResponse message for an error."""
    fields = {"S": "ERROR", "V": "ERROR", "C": error.sqlstate, "M": str(error)}
    return messages.ErrorResponse(fields=fields)


def make_row_description(
    columns: Sequence[values.Column], formats: Sequence[int]
) -> messages.RowDescription:
    """Return the RowDescription of columns in the given formats."""
    expanded = expand_formats(formats, len(columns))
    return messages.RowDescription(
        fields=[
            messages.FieldDescription(
                name=column.name,
                type_oid=column.oid,
                type_size=values.get_size(column.oid),
                type_modifier=-1,
                format_code=format_code,
            )
            for column, format_code in zip(columns, expanded, strict=True)
        ]
    )


def make_data_rows(
    rows: Sequence[storages.Row],
    columns: Sequence[values.Column],
    formats: Sequence[int],
) -> Iterator[messages.DataRow]:
    """Yield a DataRow message for each row in the given formats.

    Raises:
        values.ValueFormatError: a value does not fit its column's type.
    """
    expanded = expand_formats(formats, len(columns))
    for row in rows:
        data = [
            values.encode(value, column.oid, format_code)
            for value, column, format_code in zip(
                row, columns, expanded, strict=True
            )
        ]
        yield messages.DataRow(columns=data)


def expand_formats(formats: Sequence[int], count: int) -> Sequence[int]:
    """Return one format code for each of ``count`` values."""
    if not formats:
        return [values.TEXT_FORMAT] * count
    return formats if len(formats) == count else [formats[0]] * count
