"""Fetch a decision record from the host that took the decision."""

from typing import Any
from typing import Protocol
from urllib import parse

from knapweedtally.core import state as state_module
from knapweedtally.utils import http
from knapweedtally.utils import http_client

TIMEOUT_S = 2.0


class DecisionFetcher(Protocol):
    """Fetch a decision record of another host."""

    async def __call__(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        """Return the record, or None when it can't be had."""


class AdminFetcher:
    """Ask the administration API of the other host, with the same token."""

    def __init__(
        self, state: state_module.ProxyState, token: str, source_host: str
    ) -> None:
        self._state = state
        self._token = token
        self._source_host = source_host

    async def __call__(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        """Return the record, or None when it can't be had."""
        known = self._state.membership.hosts.get(host)
        if known is None or known.admin_port == 0:
            return None
        client = http_client.Client(
            known.address, known.admin_port, self._source_host
        )
        request = http.Request(
            "GET",
            f"/v1/decisions/{parse.quote(decision_id)}",
            {"authorization": f"Bearer {self._token}"},
        )
        try:
            response = await client.send(request, TIMEOUT_S)
            shown: dict[str, Any] = response.parse_json()
        except (http.HttpError, ValueError):
            return None
        finally:
            await client.close()
        return shown if response.status == 200 else None
