"""The store's objects API, in memory."""

import asyncio
import collections
import json
from typing import Any

from knapweedtally.utils import http

# Longest wait of a watch, in seconds.
MAX_WAIT_S = 30.0


class Store:
    """Hold objects by kind and name, with one revision counter.

    Attributes:
        is_down: whether every call is answered with 503.
        is_deaf: whether watches hear of nothing, dropped history included,
            before their wait ends.
        delay_s: time that each answer takes longer.
        is_losing: whether writes are done and not answered.
        history_from: oldest revision that a watch may start from.
        calls: number of calls.
        waiting: number of watches that wait, by kind.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.is_down = False
        self.is_deaf = False
        self.delay_s = 0.0
        self.is_losing = False
        self.history_from = 0
        self.calls = 0
        self.waiting: collections.Counter[str] = collections.Counter()
        self._cuts = 0
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Write an object without a condition."""
        self._revision += 1
        known = self._objects.setdefault(kind, {}).get(name)
        created = known["meta"]["createdRev"] if known else self._revision
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
        self._note(kind, stored, False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._note(kind, stored, True)

    def drop_history(self) -> None:
        """Forget what changed so far; watches have to list again."""
        self.history_from = self._revision
        self._wake()

    def cut_watches(self) -> None:
        """End each waiting watch without an answer."""
        self._cuts += 1
        self._wake()

    def _note(self, kind: str, stored: dict[str, Any], gone: bool) -> None:
        self._events.append((self._revision, kind, stored, gone))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: http.Request) -> http.Response:
        """Answer one call."""
        self.calls += 1
        if self.is_down:
            return http.Response(503)
        await asyncio.sleep(self.delay_s)
        kind, name = [*request.segments[1:], "", ""][:2]
        if request.method == "GET":
            return await self._read(request, kind, name)
        if request.method == "DELETE":
            self.remove(kind, name)
            return http.make_json_response(200, {})
        response = self._write(request, kind, name)
        if self.is_losing:
            raise http.ExchangeDropped("the answer is lost")
        return response

    async def _read(
        self, request: http.Request, kind: str, name: str
    ) -> http.Response:
        query = request.query
        if "watch" in query:
            self.waiting[kind] += 1
            try:
                return await self._watch(kind, query)
            finally:
                self.waiting[kind] -= 1
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
        wait_s = min(MAX_WAIT_S, int(query.get("waitMs", "0")) / 1000)
        until_s = loop.time() + wait_s
        cuts = self._cuts
        while True:
            if self._cuts != cuts:
                raise http.ExchangeDropped("the watch is cut")
            left_s = until_s - loop.time()
            if self.is_deaf and left_s > 0:
                await self._wait(left_s)
                continue
            if since < self.history_from:
                return http.Response(410)
            events = [
                {"object": stored, "deleted": gone}
                for revision, of_kind, stored, gone in self._events
                if of_kind == kind and revision > since
            ]
            if events or left_s <= 0:
                answer = {"events": events, "asOf": self._revision}
                return http.make_json_response(200, answer)
            await self._wait(left_s)

    async def _wait(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            # The caller looks at the time.
            pass

    def _write(
        self, request: http.Request, kind: str, name: str
    ) -> http.Response:
        body = json.loads(request.body)
        name = name or body["meta"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if request.method == "POST" and known is not None:
            return http.make_json_response(409, known)
        if request.method == "PUT" and known is None:
            return http.Response(404)
        expected = body["meta"].get("rev")
        if known is not None and expected not in (None, known["meta"]["rev"]):
            return http.make_json_response(409, known)
        return http.make_json_response(200, self.put(kind, name, body["spec"]))
