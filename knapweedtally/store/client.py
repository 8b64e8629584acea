"""The platform's calls, with typed answers and errors."""

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

from knapweedtally.core import model
from knapweedtally.utils import http
from knapweedtally.utils import http_client

CALL_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1024 * 1024
_UNAVAILABLE = (429, 503)


class PlatformError(Exception):
    """Report a call that failed; base of this module's errors.

    Attributes:
        retry_after_s: time before which there is no use in another call.
    """

    retry_after_s = 0.0


class UnavailableError(PlatformError):
    """Report a call that did not run: no connection, over rate or outage."""


class AnswerLostError(PlatformError):
    """Report a call that may have run."""


class RefusedError(PlatformError):
    """Report a call that the platform doesn't accept; it did not run."""


class PlatformObject(NamedTuple):
    """Hold an object's state.

    Attributes:
        kind: kind of the object.
        name: its name.
        version: its version; 0 when it doesn't exist.
        value: its value; empty when it doesn't exist.
    """

    kind: str
    name: str
    version: int
    value: dict[str, object]


class Listing(NamedTuple):
    """Hold the objects of a kind that changed after a revision."""

    revision: int
    objects: list[PlatformObject]


class UpdateResult(NamedTuple):
    """Tell what became of a conditional update.

    Attributes:
        is_winner: whether the update took effect.
        current: the object's state afterwards.
    """

    is_winner: bool
    current: PlatformObject


class PlatformClient:
    """Make calls to the platform; none is repeated."""

    def __init__(
        self,
        address: tuple[str, int],
        source_host: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._client = http_client.Client(*address, source_host)
        self._timeout_s = timeout_s

    async def close(self) -> None:
        """Close the kept connections."""
        await self._client.close()

    async def get_object(self, kind: str, name: str) -> PlatformObject:
        """Return an object's state.

        Raises:
            PlatformError: there is no answer.
        """
        response = await self._call("GET", _make_path("objects", kind, name))
        if response.status == 404:
            return PlatformObject(kind, name, 0, {})
        return _parse(response, _parse_object)

    async def update_object(
        self,
        kind: str,
        name: str,
        expected_version: int,
        value: dict[str, object],
    ) -> UpdateResult:
        """Update an object if it has the expected version.

        Raises:
            UnavailableError: the update did not run.
            RefusedError: the platform doesn't accept the value.
            AnswerLostError: the update may have run.
        """
        response = await self._call(
            "PUT",
            _make_path("objects", kind, name),
            value,
            {"if-match": str(expected_version)},
            accepted=(200, 412),
        )
        if response.status == 412:
            return UpdateResult(False, _parse(response, _parse_object))
        version = _parse(response, lambda answer: int(answer["version"]))
        return UpdateResult(True, PlatformObject(kind, name, version, value))

    async def list_objects(
        self, kind: str, since: int, wait_ms: int
    ) -> Listing:
        """Return the objects of a kind that changed after a revision.

        Args:
            kind: kind of the objects.
            since: revision of the listing before; 0 returns all of them.
            wait_ms: time to wait for a change.

        Raises:
            PlatformError: there is no answer.
        """
        query = {"since": since, "wait_ms": wait_ms}
        path = _make_path("objects", kind)
        response = await self._call(
            "GET",
            f"{path}?{parse.urlencode(query)}",
            timeout_s=self._timeout_s + wait_ms / 1000,
        )
        return _parse(response, _parse_listing)

    async def list_hosts(self) -> tuple[model.ListedHost, ...]:
        """Return the platform's list of hosts, which lags.

        Raises:
            PlatformError: there is no answer.
        """
        response = await self._call("GET", "/hosts")
        return _parse(response, _parse_hosts)

    async def register_host(self, host: model.ListedHost) -> None:
        """Tell the platform of a host.

        Raises:
            PlatformError: there is no answer.
        """
        value = {
            "address": host.address,
            "port": host.port,
            "data_centre": host.data_centre,
            "state": "leaving" if host.is_leaving else "live",
        }
        await self._call("PUT", _make_path("hosts", host.name), value)

    async def _call(
        self,
        method: str,
        target: str,
        value: dict[str, object] | None = None,
        headers: dict[str, str] | None = None,
        *,
        accepted: tuple[int, ...] = (200, 404),
        timeout_s: float | None = None,
    ) -> http.Response:
        body = b"" if value is None else json.dumps(value).encode()
        if len(body) > MAX_VALUE_BYTES:
            raise RefusedError(
                f"{target}: value has {len(body)} bytes; "
                f"use at most {MAX_VALUE_BYTES}"
            )
        request = http.Request(method, target, headers or {}, body)
        try:
            response = await self._client.send(
                request, timeout_s or self._timeout_s
            )
        except http.ConnectionRefused as error:
            raise UnavailableError(str(error)) from error
        except http.HttpError as error:
            raise AnswerLostError(str(error)) from error
        if response.status not in accepted:
            raise _make_status_error(target, response)
        return response


def _make_path(*parts: str) -> str:
    return "/" + "/".join(parse.quote(part, safe="") for part in parts)


def _make_status_error(target: str, response: http.Response) -> PlatformError:
    text = response.body[:200].decode(errors="replace")
    message = f"{target}: status {response.status}: {text}"
    if response.status in _UNAVAILABLE:
        error: PlatformError = UnavailableError(message)
        retry_after = response.headers.get("retry-after", "")
        error.retry_after_s = float(retry_after) if retry_after else 0.0
        return error
    if 400 <= response.status < 500:
        return RefusedError(message)
    return AnswerLostError(message)


def _parse(response: http.Response, parse_value: Any) -> Any:
    try:
        return parse_value(response.parse_json())
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise AnswerLostError(f"platform's answer is malformed: {error}") from (
            error
        )


def _parse_object(value: Any) -> PlatformObject:
    return PlatformObject(
        str(value["kind"]),
        str(value["name"]),
        int(value["version"]),
        dict(value["value"]),
    )


def _parse_listing(value: Any) -> Listing:
    objects = [_parse_object(found) for found in value["objects"]]
    return Listing(int(value["revision"]), objects)


def _parse_hosts(value: Any) -> tuple[model.ListedHost, ...]:
    return tuple(
        model.ListedHost(
            str(host["name"]),
            str(host["address"]),
            int(host["port"]),
            str(host["data_centre"]),
            host["state"] == "leaving",
        )
        for host in value["hosts"]
    )
