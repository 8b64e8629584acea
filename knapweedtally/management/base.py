"""Base class of the commands, with their common options and output."""

import json
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import ClassVar

from cleo.commands import command
from cleo.io.inputs import option
from cleo.io.outputs import output

from knapweedtally.management import exit_codes


class CommandError(Exception):
    """Raised to end a command with an error message and an exit code.

    Attributes:
        exit_code: one of the codes in ``exit_codes``.
    """

    def __init__(self, message: str, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code


JSON_OPTION = option.Option(
    "json", flag=True, description="print JSON instead of a table"
)


class BaseCommand(command.Command):
    """Base class of commands; subclasses implement ``run_command``.

    Attributes:
        examples: example command lines for the help text.
    """

    examples: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        examples = "\n".join(f"  {line}" for line in self.examples)
        self.help = (
            f"{self.description}\n\nExamples:\n{examples}\n\n"
            f"{exit_codes.describe_exit_codes()}"
        )
        super().__init__()

    def handle(self) -> int:
        """Run the command, print its error if any, and return its exit code."""
        try:
            return self.run_command()
        except CommandError as error:
            self.write_error(str(error))
            return error.exit_code

    def run_command(self) -> int:
        """Run the command and return its exit code.

        Raises:
            CommandError: the command failed.
        """
        raise NotImplementedError

    def write_text(self, text: str) -> None:
        """Write text to standard output without interpreting markup."""
        self.io.write_line(text, type=output.Type.RAW)

    def write_error(self, text: str) -> None:
        """Write text to standard error without interpreting markup."""
        self.io.write_error_line(text, type=output.Type.RAW)

    def write_rows(
        self, columns: Sequence[str], rows: Sequence[Mapping[str, Any]]
    ) -> None:
        """Write rows as a table, or as a JSON list with ``--json``."""
        if self.option("json"):
            self.write_text(json.dumps(list(rows), indent=2))
            return
        cells = [
            [_format_cell(row.get(name)) for name in columns] for row in rows
        ]
        self.write_text(format_table(columns, cells))

    def write_values(self, values: Mapping[str, Any]) -> None:
        """Write named values as lines, or as a JSON object with ``--json``."""
        if self.option("json"):
            self.write_text(json.dumps(dict(values), indent=2))
            return
        width = max(map(len, values), default=0)
        for name, value in values.items():
            self.write_text(f"{name:<{width}}  {_format_cell(value)}")


def format_table(columns: Sequence[str], cells: Sequence[Sequence[str]]) -> str:
    """Return a table as text, with a header line and aligned columns."""
    lines = [list(columns), *map(list, cells)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple | dict):
        return json.dumps(value)
    return "-" if value in (None, "") else str(value)
