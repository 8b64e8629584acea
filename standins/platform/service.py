"""HTTP calls of the platform stand-in."""

import collections
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from knapweedtally.utils import http
from standins.platform import faults
from standins.platform import hosts
from standins.platform import store

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_MS = 60_000
# Time after which the connection of a caller that is cut off is closed.
CUT_OFF_CLOSE_DELAY_S = 30.0

CallHandler = Callable[[http.Request], Awaitable[http.Response]]


class Service:
    """Handler of calls on objects and hosts, with rate limits and faults."""

    def __init__(
        self, writes_per_s: float, reads_per_s: float, host_lag_s: float
    ) -> None:
        self.store = store.Store()
        self.hosts = hosts.HostList(host_lag_s)
        self.faults = faults.Faults()
        self.counters: collections.Counter[str] = collections.Counter()
        self._rate_limits = {
            "write": faults.RateLimit(writes_per_s),
            "read": faults.RateLimit(reads_per_s),
        }
        # Method, first path segment and number of path segments, mapped to
        # the counter name of the call, its rate limit and its handler.
        self._calls: dict[
            tuple[str, str, int], tuple[str, str, CallHandler]
        ] = {
            ("GET", "objects", 3): ("get", "read", self._get_object),
            ("PUT", "objects", 3): ("put", "write", self._put_object),
            ("GET", "objects", 2): ("list", "read", self._list_objects),
            ("GET", "hosts", 1): ("hosts", "read", self._list_hosts),
            ("PUT", "hosts", 2): ("register", "write", self._register_host),
        }
        # Calls for tests, to which faults and rate limits don't apply.
        self._test_calls: dict[tuple[str, str], CallHandler] = {
            ("POST", "faults"): self._update_faults,
            ("GET", "counters"): self._get_counters,
        }

    async def answer(self, request: http.Request) -> http.Response:
        """Answer one request."""
        segments = request.segments
        test_call = self._test_calls.get((request.method, segments[0]))
        if test_call:
            return await test_call(request)
        call = self._calls.get((request.method, segments[0], len(segments)))
        if call is None:
            return _make_error(404, f"no call {request.method} {request.path}")
        name, rate_limit, handler = call
        if name == "list" and request.query.get("wait_ms", "0") != "0":
            name = "watch"
        self.counters[name] += 1
        return await self._run_call(name, rate_limit, handler, request)

    async def _run_call(
        self,
        name: str,
        rate_limit: str,
        handler: CallHandler,
        request: http.Request,
    ) -> http.Response:
        await self._drop_if_cut_off(request)
        await self.faults.sleep_if_slow()
        if self.faults.mode == "down":
            return _make_error(503, "outage")
        if not self._rate_limits[rate_limit].try_acquire():
            self.counters["refused"] += 1
            return http.make_json_response(
                429, {"error": "over the rate"}, {"retry-after": "1"}
            )
        try:
            response = await handler(request)
        except (KeyError, TypeError, ValueError) as error:
            response = _make_error(400, f"malformed call: {error}")
        await self._drop_if_cut_off(request)
        if name in ("put", "register"):
            self.faults.drop_answer_if_due()
        return response

    async def _drop_if_cut_off(self, request: http.Request) -> None:
        if self.faults.is_cut_off(request.peer):
            await anyio.sleep(CUT_OFF_CLOSE_DELAY_S)
            raise http.ExchangeDropped("caller is cut off")

    async def _get_object(self, request: http.Request) -> http.Response:
        _, kind, name = request.segments
        stored = self.store.get(kind, name)
        if stored is None:
            return _make_error(404, f"no object {kind}/{name}")
        return http.make_json_response(200, stored.to_dict())

    async def _put_object(self, request: http.Request) -> http.Response:
        _, kind, name = request.segments
        if len(request.body) > MAX_VALUE_BYTES:
            return _make_error(413, f"value is over {MAX_VALUE_BYTES} bytes")
        expected = int(request.headers["if-match"])
        value = json.loads(request.body)
        updated = self.store.update(kind, name, expected, value)
        if updated:
            return http.make_json_response(200, {"version": updated.version})
        current = self.store.get(kind, name)
        absent = {"kind": kind, "name": name, "version": 0, "value": {}}
        return http.make_json_response(
            412, current.to_dict() if current else absent
        )

    async def _list_objects(self, request: http.Request) -> http.Response:
        _, kind = request.segments
        since = int(request.query.get("since", "0"))
        wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WATCH_MS)
        with anyio.move_on_after(wait_ms / 1000):
            while not self.store.list_changed_since(kind, since):
                if wait_ms <= 0 or self.faults.mode == "down":
                    break
                await self.store.wait_for_change()
        if self.faults.mode == "down":
            return _make_error(503, "outage")
        objects = self.store.list_changed_since(kind, since)
        return http.make_json_response(
            200,
            {
                "revision": self.store.revision,
                "objects": [stored.to_dict() for stored in objects],
            },
        )

    async def _list_hosts(self, request: http.Request) -> http.Response:
        return http.make_json_response(200, {"hosts": self.hosts.list_hosts()})

    async def _register_host(self, request: http.Request) -> http.Response:
        value: dict[str, Any] = json.loads(request.body)
        registration = {
            "address": str(value["address"]),
            "port": int(value["port"]),
            "data_centre": str(value["data_centre"]),
            "state": str(value["state"]),
        }
        self.hosts.register(request.segments[1], registration)
        return http.make_json_response(200, {})

    async def _update_faults(self, request: http.Request) -> http.Response:
        try:
            self.faults.update(json.loads(request.body))
        except ValueError as error:
            return _make_error(400, str(error))
        self.store.notify_watches()
        return http.make_json_response(200, {})

    async def _get_counters(self, request: http.Request) -> http.Response:
        return http.make_json_response(200, dict(self.counters))


def _make_error(status: int, message: str) -> http.Response:
    return http.make_json_response(status, {"error": message})
