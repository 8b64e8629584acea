"""Client of the platform's HTTP API, with typed results and errors."""

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

from knapweedtally.core import model
from knapweedtally.utils import http
from knapweedtally.utils import http_client

CALL_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1024 * 1024
_UNAVAILABLE_STATUSES = (429, 503)


class PlatformError(Exception):
    """Base class for errors of failed calls.

    Attributes:
        retry_after_s: minimum delay before a retry; 0 if the platform
            asked for none.
    """

    retry_after_s = 0.0


class UnavailableError(PlatformError):
    """Raised for a call that did not run.

    There was no connection, the call was rate limited, or the platform was
    unavailable.
    """


class ResponseLostError(PlatformError):
    """Raised for a call whose outcome is unknown: it may have run."""


class RefusedError(PlatformError):
    """Raised for a call that the platform rejected; it did not run."""


class PlatformObject(NamedTuple):
    """State of an object.

    Attributes:
        kind: kind of the object.
        name: name of the object, unique within its kind.
        version: version of the object; 0 if it doesn't exist.
        value: value of the object; empty if it doesn't exist.
    """

    kind: str
    name: str
    version: int
    value: dict[str, object]


class Listing(NamedTuple):
    """Objects of a kind that changed after a revision.

    Attributes:
        revision: revision from which to list the next changes.
        objects: the changed objects.
    """

    revision: int
    objects: list[PlatformObject]


class UpdateResult(NamedTuple):
    """Outcome of a conditional update.

    Attributes:
        is_applied: whether the update was applied.
        current: state of the object after the update.
    """

    is_applied: bool
    current: PlatformObject


class PlatformClient:
    """Client of the platform; it doesn't retry calls."""

    def __init__(
        self,
        address: tuple[str, int],
        source_host: str | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._client = http_client.Client(*address, source_host)
        self._timeout_s = timeout_s

    async def close(self) -> None:
        """Close the persistent connections."""
        await self._client.close()

    async def get_object(self, kind: str, name: str) -> PlatformObject:
        """Return the state of an object.

        Raises:
            PlatformError: the call failed.
        """
        response = await self._call("GET", _make_path("objects", kind, name))
        if response.status == 404:
            return PlatformObject(kind, name, 0, {})
        return _parse_response(response, _parse_object)

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
            RefusedError: the platform rejected the value.
            ResponseLostError: the update may have run.
        """
        response = await self._call(
            "PUT",
            _make_path("objects", kind, name),
            value,
            {"if-match": str(expected_version)},
            accepted=(200, 412),
        )
        if response.status == 412:
            return UpdateResult(False, _parse_response(response, _parse_object))
        version = _parse_response(
            response, lambda answer: int(answer["version"])
        )
        return UpdateResult(True, PlatformObject(kind, name, version, value))

    async def list_objects(
        self, kind: str, since: int, wait_ms: int
    ) -> Listing:
        """Return the objects of a kind that changed after a revision.

        Args:
            kind: kind of the objects.
            since: revision of the previous listing; 0 returns all objects.
            wait_ms: how long the platform waits for a change before it
                responds.

        Raises:
            PlatformError: the call failed.
        """
        query = {"since": since, "wait_ms": wait_ms}
        path = _make_path("objects", kind)
        response = await self._call(
            "GET",
            f"{path}?{parse.urlencode(query)}",
            timeout_s=self._timeout_s + wait_ms / 1000,
        )
        return _parse_response(response, _parse_listing)

    async def list_hosts(self) -> tuple[model.ListedHost, ...]:
        """Return the platform's list of hosts, which may be stale.

        Raises:
            PlatformError: the call failed.
        """
        response = await self._call("GET", "/hosts")
        return _parse_response(response, _parse_hosts)

    async def register_host(self, host: model.ListedHost) -> None:
        """Register a host, or update its registration.

        Raises:
            PlatformError: the call failed.
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
            raise ResponseLostError(str(error)) from error
        if response.status not in accepted:
            raise _make_status_error(target, response)
        return response


def _make_path(*parts: str) -> str:
    return "/" + "/".join(parse.quote(part, safe="") for part in parts)


def _make_status_error(target: str, response: http.Response) -> PlatformError:
    text = response.body[:200].decode(errors="replace")
    message = f"{target}: status {response.status}: {text}"
    if response.status in _UNAVAILABLE_STATUSES:
        error: PlatformError = UnavailableError(message)
        retry_after = response.headers.get("retry-after", "")
        error.retry_after_s = float(retry_after) if retry_after else 0.0
        return error
    if 400 <= response.status < 500:
        return RefusedError(message)
    return ResponseLostError(message)


def _parse_response(response: http.Response, parse_value: Any) -> Any:
    try:
        return parse_value(response.parse_json())
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ResponseLostError(
            f"platform's answer is malformed: {error}"
        ) from (error)


def _parse_object(value: Any) -> PlatformObject:
    return PlatformObject(
        str(value["kind"]),
        str(value["name"]),
        int(value["version"]),
        dict(value["value"]),
    )


def _parse_listing(value: Any) -> Listing:
    objects = [_parse_object(item) for item in value["objects"]]
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
