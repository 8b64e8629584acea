"""Show the log lines related to one request."""

from typing import Any

from cleo.io.inputs import argument

from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.management import traces


class TraceCommand(base.BaseCommand):
    """Show a request's log lines and related events, ordered by time."""

    name = "trace"
    description = (
        "Show the log lines related to a request from several hosts' logs."
    )
    arguments = [
        argument.Argument("id", description="id of the request"),
        argument.Argument(
            "logs", is_list=True, description="log files of the hosts"
        ),
    ]
    examples = ("knapweedtally trace 5c0e7a21d94b36f8 host-1.log host-2.log",)

    def run_command(self) -> int:
        """Print the related log lines; fail if no line has the request's id."""
        lines: list[dict[str, Any]] = []
        for path in self.argument("logs"):
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines += traces.parse_log_lines(file)
            except OSError as error:
                raise base.CommandError(
                    f"cannot read {path}: {error}", exit_codes.FAILED
                ) from error
        related = traces.find_related_lines(lines, self.argument("id"))
        for line in related:
            self.write_text(traces.format_log_line(line))
        if not related:
            self.write_error("no log line has this request id")
        return exit_codes.OK if related else exit_codes.FAILED
