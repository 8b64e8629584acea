"""Requests to the platform's store, and parsing of its responses."""

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

from knapweedtally.utils import bounded_json
from knapweedtally.utils import http

# Covers the largest page of a list and the largest value, with room for the
# envelope around them.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class StoredObject(NamedTuple):
    """Object in the store.

    Attributes:
        name: name of the object, unique within its kind.
        revision: revision of the last change.
        spec: value that the writer stored.
    """

    name: str
    revision: int
    spec: Any


class Page(NamedTuple):
    """Page of a list.

    Attributes:
        objects: the objects, sorted by name.
        revision: the store's revision at the time of the list.
        has_more: whether another page follows.
    """

    objects: list[StoredObject]
    revision: int
    has_more: bool


class Change(NamedTuple):
    """Change of one object.

    Attributes:
        stored: the object after the change, or before its removal.
        is_removed: whether the object was removed.
    """

    stored: StoredObject
    is_removed: bool


class WatchResult(NamedTuple):
    """Result of a watch.

    Attributes:
        changes: the changes in the order in which they were made.
        revision: revision from which to continue the watch.
    """

    changes: list[Change]
    revision: int


class MalformedResponse(ValueError):  # noqa: N818 - named after the cause
    """Raised for a malformed response of the store."""


def make_list_request(kind: str, after: str | None) -> http.Request:
    """Return the request for one page of the objects of a kind.

    Args:
        kind: kind of the objects.
        after: name of the last object of the previous page, or None.
    """
    query = f"?after={parse.quote(after)}" if after else ""
    return http.Request("GET", f"/objects/{kind}{query}")


def make_watch_request(kind: str, revision: int, wait_s: float) -> http.Request:
    """Return the request that waits for changes after a revision."""
    query = f"watch={revision}&waitMs={round(wait_s * 1000)}"
    return http.Request("GET", f"/objects/{kind}?{query}")


def make_read_request(kind: str, name: str) -> http.Request:
    """Return the request for one object."""
    return http.Request("GET", f"/objects/{kind}/{parse.quote(name)}")


def make_create_request(kind: str, name: str, spec: object) -> http.Request:
    """Return the request that creates an object if it doesn't exist."""
    body = {"meta": {"name": name, "finalizers": []}, "spec": spec}
    return _make_write_request("POST", f"/objects/{kind}", body)


def make_replace_request(
    kind: str, name: str, spec: object, revision: int
) -> http.Request:
    """Return the request that replaces an object if it has the revision."""
    meta = {"name": name, "rev": revision, "finalizers": []}
    path = f"/objects/{kind}/{parse.quote(name)}"
    return _make_write_request("PUT", path, {"meta": meta, "spec": spec})


def _make_write_request(method: str, path: str, body: object) -> http.Request:
    return http.Request(
        method,
        path,
        {"content-type": "application/json"},
        json.dumps(body, separators=(",", ":")).encode(),
    )


def parse_object(value: Any) -> StoredObject:
    """Return the object in a decoded response body.

    Raises:
        MalformedResponse: the value is not an object of the store.
    """
    try:
        meta = value["meta"]
        return StoredObject(
            str(meta["name"]), int(meta["rev"]), value.get("spec")
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(
            f"response is not an object: {error!r}"
        ) from error


def parse_answer(response: http.Response) -> Any:
    """Return the decoded body of a response.

    Raises:
        MalformedResponse: the body is not JSON.
    """
    try:
        return bounded_json.decode(response.body)
    except ValueError as error:
        raise MalformedResponse(
            f"response body is not JSON: {error}"
        ) from error


def parse_page(response: http.Response) -> Page:
    """Return the page in the response to a list request.

    Raises:
        MalformedResponse: the response has no page.
    """
    answer = parse_answer(response)
    try:
        items = [parse_object(item) for item in answer["items"]]
        # "asOf" is the store's revision, not a time.
        return Page(items, int(answer["asOf"]), bool(answer.get("more")))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(
            f"response is not a page of a list: {error!r}"
        ) from error


def parse_changes(response: http.Response) -> WatchResult:
    """Return the changes in the response to a watch request.

    Raises:
        MalformedResponse: the response has no changes.
    """
    answer = parse_answer(response)
    try:
        changes = [
            Change(parse_object(item["object"]), bool(item["deleted"]))
            for item in answer["events"]
        ]
        return WatchResult(changes, int(answer["asOf"]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(
            f"response is not a list of changes: {error!r}"
        ) from error
