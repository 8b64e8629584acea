"""Calls to the platform's store, as requests of the project's HTTP client."""

import json
from typing import Any
from typing import NamedTuple
from urllib import parse

from knapweedtally.utils import http

# Largest page of a list or value, with room for the answer around it.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class StoredObject(NamedTuple):
    """Hold one object of the store.

    Attributes:
        name: its name within its kind.
        revision: revision of its last change.
        spec: what its writer put there.
    """

    name: str
    revision: int
    spec: Any


class Page(NamedTuple):
    """Hold a part of a list.

    Attributes:
        objects: the objects, by name.
        revision: the store's revision when the list was made.
        has_more: whether another part follows.
    """

    objects: list[StoredObject]
    revision: int
    has_more: bool


class Change(NamedTuple):
    """Hold one change of an object.

    Attributes:
        stored: the object after the change, or before its removal.
        is_removed: whether the object is gone.
    """

    stored: StoredObject
    is_removed: bool


class Changes(NamedTuple):
    """Hold what a watch saw.

    Attributes:
        changes: the changes in their order.
        revision: revision to watch on from.
    """

    changes: list[Change]
    revision: int


class BrokenAnswer(ValueError):  # noqa: N818 - named after the cause
    """Report an answer of the store that can't be read."""


def make_list_request(kind: str, after: str | None) -> http.Request:
    """Return the request for a part of a kind's objects."""
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
    """Return the request that creates an object if there is none."""
    body = {"meta": {"name": name, "finalizers": []}, "spec": spec}
    return _make_write("POST", f"/objects/{kind}", body)


def make_replace_request(
    kind: str, name: str, spec: object, revision: int
) -> http.Request:
    """Return the request that replaces an object of this revision."""
    meta = {"name": name, "rev": revision, "finalizers": []}
    path = f"/objects/{kind}/{parse.quote(name)}"
    return _make_write("PUT", path, {"meta": meta, "spec": spec})


def _make_write(method: str, path: str, body: object) -> http.Request:
    return http.Request(
        method,
        path,
        {"content-type": "application/json"},
        json.dumps(body, separators=(",", ":")).encode(),
    )


def parse_object(value: Any) -> StoredObject:
    """Return the object in a decoded answer.

    Raises:
        BrokenAnswer: the value is no object of the store.
    """
    try:
        meta = value["meta"]
        return StoredObject(
            str(meta["name"]), int(meta["rev"]), value.get("spec")
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BrokenAnswer(f"no object: {error!r}") from error


def parse_answer(response: http.Response) -> Any:
    """Return the decoded body.

    Raises:
        BrokenAnswer: the body is no JSON.
    """
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise BrokenAnswer(f"no JSON: {error}") from error


def parse_page(response: http.Response) -> Page:
    """Return the part of a list in an answer.

    Raises:
        BrokenAnswer: the answer is no list.
    """
    answer = parse_answer(response)
    try:
        items = [parse_object(item) for item in answer["items"]]
        # "asOf" holds the store's revision, not a time.
        return Page(items, int(answer["asOf"]), bool(answer.get("more")))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BrokenAnswer(f"no list: {error!r}") from error


def parse_changes(response: http.Response) -> Changes:
    """Return the changes in a watch's answer.

    Raises:
        BrokenAnswer: the answer holds no changes.
    """
    answer = parse_answer(response)
    try:
        changes = [
            Change(parse_object(item["object"]), bool(item["deleted"]))
            for item in answer["events"]
        ]
        return Changes(changes, int(answer["asOf"]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BrokenAnswer(f"no changes: {error!r}") from error
