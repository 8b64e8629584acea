"""Ask a running entry host where a request would go now."""

import json
from typing import Any
from urllib import parse

import anyio
from cleo.io.inputs import option

from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.utils import http
from knapweedtally.utils import http_client

TIMEOUT_S = 5.0

_TARGET_COLUMNS = (
    "target",
    "is_primary",
    "answered_age_s",
    "idle",
    "running",
    "run_time_s",
    "position",
    "lag_s",
    "lag_age_s",
    "pace",
    "ruled_out",
)


def _option(name: str, text: str) -> option.Option:
    return option.Option(name, flag=False, description=text)


class EntryExplainCommand(base.BaseCommand):
    """Print where an entry host would send a request, and why."""

    name = "entry-explain"
    description = (
        "Show where an entry host would send a request now, what it knows and"
        " what rules other targets out. Nothing is sent to a target."
    )
    options = [
        _option("url", "metrics address of the host, http://IP:PORT"),
        _option("database", "database that the caller names"),
        _option("kind", "read or write; default: read"),
        _option("team", "name of the caller's team"),
        _option("position", "position of the session's last commit"),
        base.JSON_OPTION,
    ]
    examples = (
        "knapweedtally entry-explain --url http://10.0.0.5:7103"
        " --database records --kind read",
    )

    def run_command(self) -> int:
        """Print the answer; fail if no target would get the request."""
        answer = anyio.run(self._ask)
        if self.option("json"):
            self.write_text(json.dumps(answer, indent=2))
        else:
            targets = answer.pop("targets", [])
            self.write_values(answer)
            self.write_rows(_TARGET_COLUMNS, targets)
        return exit_codes.OK if answer.get("target") else exit_codes.FAILED

    async def _ask(self) -> dict[str, Any]:
        url = self.option("url") or ""
        parts = parse.urlsplit(url)
        try:
            port = parts.port
        except ValueError:
            port = None
        if parts.scheme != "http" or not parts.hostname or not port:
            raise base.CommandError(
                f"--url: {url!r}: use http://IP:PORT", exit_codes.INVALID
            )
        names = ("database", "team", "position")
        query = {n: self.option(n) for n in names if self.option(n)}
        query["kind"] = self.option("kind") or "read"
        client = http_client.Client(parts.hostname, port)
        request = http.Request("GET", f"/explain?{parse.urlencode(query)}")
        try:
            response = await client.send(request, TIMEOUT_S)
            value: dict[str, Any] = response.parse_json()
        except (http.HttpError, ValueError) as error:
            raise base.CommandError(
                f"{url}: {error}", exit_codes.UNREACHABLE
            ) from error
        finally:
            await client.close()
        if response.status != 200:
            raise base.CommandError(
                f"{url}: {value.get('error', response.status)}",
                exit_codes.INVALID,
            )
        return value
