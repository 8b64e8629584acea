"""In-memory implementation of the store's objects API."""

import asyncio
import collections
import copy
import json
from typing import Any
from typing import NamedTuple

from knapweedtally.utils import http

# Maximum duration of a watch, in seconds.
MAX_WATCH_S = 30.0


class StoreCopy(NamedTuple):
    """Content of the store at one time."""

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    events: list[tuple[int, str, dict[str, Any], bool]]


class Store:
    """Store of objects by kind and name, with one revision counter.

    Attributes:
        generation: how often the store came back from a copy, and one, as it
            stands in each answer; 0 for a store that doesn't tell.
        is_down: whether every call is answered with 503.
        is_silent: whether calls that arrive are never answered, also not later.
        is_withholding_events: whether watches receive no events, and no error
            for dropped history, before their wait ends.
        answer_delay_s: additional delay of each answer.
        is_dropping_answers: whether writes take effect without an answer.
        oldest_watch_revision: oldest revision that a watch may start from.
        calls: number of calls received.
        calls_by_kind: the same by kind of the objects.
        unanswered_calls: number of calls by kind that are never answered.
        waiting_watches: number of waiting watches by kind.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.generation = 1
        self.is_down = False
        self.is_silent = False
        self.is_withholding_events = False
        self.answer_delay_s = 0.0
        self.is_dropping_answers = False
        self.oldest_watch_revision = 0
        self.calls = 0
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.unanswered_calls: collections.Counter[str] = collections.Counter()
        self.waiting_watches: collections.Counter[str] = collections.Counter()
        self._aborted_watch_rounds = 0
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Write an object unconditionally and return it."""
        self._revision += 1
        current = self._objects.setdefault(kind, {}).get(name)
        created = current["meta"]["createdRev"] if current else self._revision
        stored = {
            "meta": {
                "name": name,
                "rev": self._revision,
                "createdRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = stored
        self._record_event(kind, stored, False)
        return stored

    def get_objects(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the objects of a kind by name."""
        return self._objects.get(kind, {})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._record_event(kind, stored, True)

    def make_copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(
            self._revision, copy.deepcopy(self._objects), list(self._events)
        )

    def restore(self, content: StoreCopy) -> None:
        """Come back from a copy, which loses what was written since.

        Waiting watches are cut off. Revisions are given out again.
        """
        self.generation += 1
        self._revision = content.revision
        self._objects = copy.deepcopy(content.objects)
        self._events = list(content.events)
        self.abort_watches()

    def drop_history(self) -> None:
        """Drop all past events, so that older watches have to list again."""
        self.oldest_watch_revision = self._revision
        self._notify_watches()

    def abort_watches(self) -> None:
        """Close the connection of each waiting watch without an answer."""
        self._aborted_watch_rounds += 1
        self._notify_watches()

    def _record_event(
        self, kind: str, stored: dict[str, Any], is_deleted: bool
    ) -> None:
        self._events.append((self._revision, kind, stored, is_deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: http.Request) -> http.Response:
        """Answer one call."""
        response = await self._answer(request)
        if not self.generation:
            return response
        headers = {**response.headers, "store-era": str(self.generation)}
        return response._replace(headers=headers)

    async def _answer(self, request: http.Request) -> http.Response:
        kind, name = [*request.segments[1:], "", ""][:2]
        self.calls += 1
        self.calls_by_kind[kind] += 1
        if self.is_down:
            return http.Response(503)
        if self.is_silent:
            self.unanswered_calls[kind] += 1
            # Lasts until the caller closes the connection.
            await asyncio.Event().wait()
        await asyncio.sleep(self.answer_delay_s)
        if request.method == "GET":
            return await self._read(request, kind, name)
        if request.method == "DELETE":
            self.remove(kind, name)
            return http.make_json_response(200, {})
        response = self._write(request, kind, name)
        if self.is_dropping_answers:
            raise http.ExchangeDropped(
                "answer to a write dropped by an injected fault"
            )
        return response

    async def _read(
        self, request: http.Request, kind: str, name: str
    ) -> http.Response:
        query = request.query
        if "watch" in query:
            self.waiting_watches[kind] += 1
            try:
                return await self._watch(kind, query)
            finally:
                self.waiting_watches[kind] -= 1
        objects = self._objects.get(kind, {})
        if name:
            if name not in objects:
                return http.Response(404)
            return http.make_json_response(200, objects[name])
        after = query.get("after", "")
        items = [objects[key] for key in sorted(objects) if key > after]
        answer = {"items": items, "more": False, "asOf": self._revision}
        return http.make_json_response(200, answer)

    async def _watch(self, kind: str, query: dict[str, str]) -> http.Response:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        wait_s = min(MAX_WATCH_S, int(query.get("waitMs", "0")) / 1000)
        deadline_s = loop.time() + wait_s
        aborted_watch_rounds = self._aborted_watch_rounds
        while True:
            if self._aborted_watch_rounds != aborted_watch_rounds:
                raise http.ExchangeDropped("watch aborted by an injected fault")
            remaining_s = deadline_s - loop.time()
            if self.is_withholding_events and remaining_s > 0:
                await self._wait_for_change(remaining_s)
                continue
            if since < self.oldest_watch_revision or since > self._revision:
                return http.Response(410)
            events = [
                {"object": stored, "deleted": is_deleted}
                for revision, event_kind, stored, is_deleted in self._events
                if event_kind == kind and revision > since
            ]
            if events or remaining_s <= 0:
                answer = {"events": events, "asOf": self._revision}
                return http.make_json_response(200, answer)
            await self._wait_for_change(remaining_s)

    async def _wait_for_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            # The caller checks its deadline.
            pass

    def _write(
        self, request: http.Request, kind: str, name: str
    ) -> http.Response:
        body = json.loads(request.body)
        name = name or body["meta"]["name"]
        current = self._objects.get(kind, {}).get(name)
        if request.method == "POST" and current is not None:
            return http.make_json_response(409, current)
        if request.method == "PUT" and current is None:
            return http.Response(404)
        expected = body["meta"].get("rev")
        if current is not None and expected not in (
            None,
            current["meta"]["rev"],
        ):
            return http.make_json_response(409, current)
        return http.make_json_response(200, self.put(kind, name, body["spec"]))
