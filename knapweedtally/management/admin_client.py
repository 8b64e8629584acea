"""Client of the administration API of a host."""

import os
from typing import Any
from urllib import parse

import anyio
from cleo.io.inputs import option

from knapweedtally.conf import setting_definitions
from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.utils import http
from knapweedtally.utils import http_client

TIMEOUT_S = 10.0
DEFAULT_PORT = 7200
URL_VARIABLE = f"{setting_definitions.ENVIRONMENT_PREFIX}ADMIN_URL"
TOKEN_VARIABLE = f"{setting_definitions.ENVIRONMENT_PREFIX}ADMIN_TOKEN"

OPTIONS = [
    option.Option(
        "admin-url",
        flag=False,
        description="administration API of a host, for example "
        f"http://127.0.1.2:7200; or {URL_VARIABLE}",
    ),
    option.Option(
        "admin-token",
        flag=False,
        description=f"token of the administration API; or {TOKEN_VARIABLE}",
    ),
]


class AdminClient:
    """Send requests to the administration API of one host."""

    def __init__(self, url: str, token: str) -> None:
        """Initialise the client without connecting.

        Args:
            url: ``http://IP:PORT``.
            token: bearer token of the API.

        Raises:
            base.CommandError: the URL is invalid.
        """
        parts = parse.urlsplit(url)
        try:
            port = parts.port or DEFAULT_PORT
        except ValueError:
            port = 0
        if parts.scheme != "http" or not parts.hostname or not port:
            raise base.CommandError(
                f"--admin-url: {url!r}: use http://IP:PORT", exit_codes.INVALID
            )
        self._url = url
        self._headers = {"authorization": f"Bearer {token}"}
        self._client = http_client.Client(parts.hostname, port)

    async def call(
        self, method: str, path: str, body: bytes = b""
    ) -> dict[str, Any]:
        """Send a request and return the JSON of the response.

        Raises:
            base.CommandError: there is no response, or it reports an error.
        """
        request = http.Request(method, path, self._headers, body)
        try:
            response = await self._client.send(request, TIMEOUT_S)
            value: dict[str, Any] = response.parse_json()
        except (http.HttpError, ValueError) as error:
            is_unsent = isinstance(error, http.ConnectionRefused)
            is_without_effect = method == "GET" or is_unsent
            raise base.CommandError(
                f"{self._url}: {error}",
                exit_codes.UNREACHABLE
                if is_without_effect
                else exit_codes.UNKNOWN_OUTCOME,
            ) from error
        if response.status >= 300:
            message = value.get("error", f"status {response.status}")
            raise base.CommandError(
                f"{self._url}{path}: {message}", exit_codes.FAILED
            )
        return value

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()


def make_client(command: Any, url: str = "") -> AdminClient:
    """Return a client for the URL and token of the options or environment.

    Args:
        command: the command.
        url: URL of another host to query instead, with the same token.

    Raises:
        base.CommandError: the URL or the token is missing.
    """
    url = url or _get_option_value(command, "admin-url", URL_VARIABLE)
    token = _get_option_value(command, "admin-token", TOKEN_VARIABLE)
    return AdminClient(url, token)


def call_once(
    command: Any, method: str, path: str, body: bytes = b""
) -> dict[str, Any]:
    """Send one request of a command and return the JSON of the response.

    Raises:
        base.CommandError: there is no response, or it reports an error.
    """
    client = make_client(command)

    async def run() -> dict[str, Any]:
        try:
            return await client.call(method, path, body)
        finally:
            await client.close()

    return anyio.run(run)


def _get_option_value(command: Any, name: str, variable: str) -> str:
    text: str | None = command.option(name) or os.environ.get(variable)
    if not text:
        raise base.CommandError(
            f"--{name}: no value: set it or {variable}", exit_codes.INVALID
        )
    return text
