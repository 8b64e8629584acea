"""Report burn rates of the error budgets of the service levels."""

import pathlib
from typing import Any

import anyio
from cleo.io.inputs import option

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.report import hosts
from knapweedtally.report import objectives
from knapweedtally.report import page
from knapweedtally.report import rows

PERCENT = 100.0


def _make_option(objective: objectives.Objective) -> option.Option:
    default = f"{objective.target * PERCENT:g}"
    return option.Option(
        f"{objective.name}-objective",
        flag=False,
        default=default,
        description=f"{objective.title}, in percent; default {default}",
    )


class ReportBurnCommand(base.BaseCommand):
    """Report burn rates of the error budgets over four windows."""

    name = "report burn"
    description = "Report the burn rates of the service levels' error budgets."
    options = [
        *admin_client.OPTIONS,
        *map(_make_option, objectives.OBJECTIVES),
        option.Option(
            "html",
            flag=False,
            description="also write an HTML page to this path",
        ),
        base.JSON_OPTION,
    ]
    examples = (
        "knapweedtally report burn --admin-url http://127.0.1.2:7200",
        "knapweedtally report burn --html burn.html --writes-objective 99.9",
    )

    def run_command(self) -> int:
        """Print one row for each pair of objective and window."""
        adjusted_objectives = [
            self._read_objective(objective)
            for objective in objectives.OBJECTIVES
        ]
        report = anyio.run(self._collect_report)
        if report.unreachable:
            self.write_error(
                f"no answer from {', '.join(report.unreachable)}: the sums "
                "don't include the requests of these hosts"
            )
        self.write_rows(
            rows.COLUMNS, rows.make_rows(report, adjusted_objectives)
        )
        if self.option("html"):
            self._write_page(page.render_page(report, adjusted_objectives))
        return exit_codes.OK

    def _read_objective(
        self, objective: objectives.Objective
    ) -> objectives.Objective:
        name = f"{objective.name}-objective"
        text = self.option(name)
        try:
            percent = float(text)
        except ValueError:
            percent = -1.0
        if not 0 <= percent < PERCENT:
            raise base.CommandError(
                f"--{name}: {text!r}: use a number from 0 to below 100",
                exit_codes.INVALID,
            )
        return objective._replace(target=percent / PERCENT)

    async def _collect_report(self) -> hosts.Report:
        client = admin_client.make_client(self)
        try:
            own_status = await client.call("GET", hosts.STATUS_PATH)
        finally:
            await client.close()
        collected = await hosts.collect_statuses(own_status, self._fetch_status)
        return hosts.make_report(*collected)

    async def _fetch_status(self, url: str) -> dict[str, Any] | None:
        client = admin_client.make_client(self, url)
        try:
            return await client.call("GET", hosts.STATUS_PATH)
        except base.CommandError:
            return None
        finally:
            await client.close()

    def _write_page(self, text: str) -> None:
        path = self.option("html")
        try:
            pathlib.Path(path).write_text(text)
        except OSError as error:
            raise base.CommandError(
                f"--html: {path!r}: {error.strerror}; use a path that can be "
                "written",
                exit_codes.INVALID,
            ) from error
