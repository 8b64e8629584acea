"""Requests to the platform's store, and parsing of its responses."""

import json
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from urllib import parse

from knapweedtally.core import store_revisions
from knapweedtally.utils import bounded_json
from knapweedtally.utils import http

# Covers the largest page of a list and the largest value, with room for the
# envelope around them.
MAX_ANSWER_BYTES = 4 * 1024 * 1024

# Header with the store's generation, in all its answers.
GENERATION_HEADER = "store-era"

# Longest number of a generation, in digits.
MAX_GENERATION_DIGITS = 9


class StoreAnswer(NamedTuple):
    """Answer of the store to one call.

    Attributes:
        status: the HTTP status.
        body: the whole body.
        generation: the store's generation when it answered.
    """

    status: int
    body: bytes = b""
    generation: int = store_revisions.UNKNOWN_GENERATION


class StoredObject(NamedTuple):
    """Object in the store.

    Attributes:
        name: name of the object, unique within its kind.
        revision: revision of the last change.
        spec: value that the writer stored.
    """

    name: str
    revision: store_revisions.Revision
    spec: Any


class Page(NamedTuple):
    """Page of a list.

    Attributes:
        objects: the objects, sorted by name.
        revision: the store's revision at the time of the list.
        has_more: whether another page follows.
    """

    objects: list[StoredObject]
    revision: store_revisions.Revision
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
    revision: store_revisions.Revision


class MalformedResponse(ValueError):  # noqa: N818 - named after the cause
    """Raised for a malformed response of the store."""


def parse_generation(headers: Mapping[str, str]) -> int | None:
    """Return the generation that an answer's headers name.

    Args:
        headers: values by name in lower case.

    Returns:
        The generation, or None without the header.

    Raises:
        MalformedResponse: the header has no generation.
    """
    text = headers.get(GENERATION_HEADER)
    if text is None:
        return None
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_GENERATION_DIGITS or int(text) < 1:
        raise MalformedResponse(
            f"{GENERATION_HEADER}: expected a number from 1 of at most "
            f"{MAX_GENERATION_DIGITS} digits, got {text[:40]!r}"
        )
    return int(text)


def make_list_request(kind: str, after: str | None) -> http.Request:
    """Return the request for one page of the objects of a kind.

    Args:
        kind: kind of the objects.
        after: name of the last object of the previous page, or None.
    """
    query = f"?after={parse.quote(after)}" if after else ""
    return http.Request("GET", f"/objects/{kind}{query}")


def make_watch_request(kind: str, revision: int, wait_s: float) -> http.Request:
    """Return the request that waits for changes after a revision's number."""
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
    """Return the request that replaces an object if it has the revision.

    Args:
        kind: kind of the object.
        name: name of the object.
        spec: the new value.
        revision: number of the revision, in the store's present generation.
    """
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


def parse_object(answer: StoreAnswer) -> StoredObject:
    """Return the object that an answer consists of.

    Raises:
        MalformedResponse: the answer is not an object of the store.
    """
    return _parse_object(_decode(answer), answer.generation)


def _parse_object(value: Any, generation: int) -> StoredObject:
    try:
        meta = value["meta"]
        revision = store_revisions.Revision(generation, int(meta["rev"]))
        return StoredObject(str(meta["name"]), revision, value.get("spec"))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(
            f"response is not an object: {error!r}"
        ) from error


def _decode(answer: StoreAnswer) -> Any:
    """Return the decoded body of an answer.

    Raises:
        MalformedResponse: the body is not JSON.
    """
    try:
        return bounded_json.decode(answer.body)
    except ValueError as error:
        raise MalformedResponse(
            f"response body is not JSON: {error}"
        ) from error


def parse_page(answer: StoreAnswer) -> Page:
    """Return the page in the answer to a list request.

    Raises:
        MalformedResponse: the answer has no page.
    """
    value = _decode(answer)
    generation = answer.generation
    try:
        items = [_parse_object(item, generation) for item in value["items"]]
        # "asOf" is the store's revision, not a time.
        revision = store_revisions.Revision(generation, int(value["asOf"]))
        return Page(items, revision, bool(value.get("more")))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(
            f"response is not a page of a list: {error!r}"
        ) from error


def parse_changes(answer: StoreAnswer) -> WatchResult:
    """Return the changes in the answer to a watch request.

    Raises:
        MalformedResponse: the answer has no changes.
    """
    value = _decode(answer)
    generation = answer.generation
    try:
        changes = [
            Change(
                _parse_object(item["object"], generation), bool(item["deleted"])
            )
            for item in value["events"]
        ]
        revision = store_revisions.Revision(generation, int(value["asOf"]))
        return WatchResult(changes, revision)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(
            f"response is not a list of changes: {error!r}"
        ) from error
