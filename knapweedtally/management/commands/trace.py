"""Tell one request's story from logs."""

from typing import Any

from cleo.io.inputs import argument

from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.management import traces


class TraceCommand(base.BaseCommand):
    """Show a request's log lines and what bore on them, in order."""

    name = "trace"
    description = "Show one request's story from the logs of several hosts."
    arguments = [
        argument.Argument("id", description="id of the request"),
        argument.Argument(
            "logs", is_list=True, description="files with log lines"
        ),
    ]
    examples = ("knapweedtally trace 5c0e7a21d94b36f8 host-1.log host-2.log",)

    def run_command(self) -> int:
        """Print the story; fails where no line has the id."""
        lines: list[dict[str, Any]] = []
        for path in self.argument("logs"):
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines += traces.read_lines(file)
            except OSError as error:
                raise base.CommandError(
                    f"cannot read {path}: {error}", exit_codes.FAILED
                ) from error
        story = traces.find_story(lines, self.argument("id"))
        for line in story:
            self.write_text(traces.format_line(line))
        if not story:
            self.write_error("no log line has this id")
        return exit_codes.OK if story else exit_codes.FAILED
