"""The calls of the platform stand-in."""

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
MAX_WAIT_MS = 60_000
# Time after which a caller that is cut off sees its connection closed.
CUT_HOLD_S = 30.0

Call = Callable[[http.Request], Awaitable[http.Response]]


class Service:
    """Answer calls on objects and hosts, under rates and faults."""

    def __init__(
        self, writes_per_s: float, reads_per_s: float, host_lag_s: float
    ) -> None:
        self.store = store.Store()
        self.hosts = hosts.HostList(host_lag_s)
        self.faults = faults.Faults()
        self.counters: collections.Counter[str] = collections.Counter()
        self._rates = {
            "write": faults.RateLimit(writes_per_s),
            "read": faults.RateLimit(reads_per_s),
        }
        # By method, first part and number of parts of the path: the name of
        # the call, the rate it counts against, and the method that runs it.
        self._calls: dict[tuple[str, str, int], tuple[str, str, Call]] = {
            ("GET", "objects", 3): ("get", "read", self._get_object),
            ("PUT", "objects", 3): ("put", "write", self._put_object),
            ("GET", "objects", 2): ("list", "read", self._list_objects),
            ("GET", "hosts", 1): ("hosts", "read", self._list_hosts),
            ("PUT", "hosts", 2): ("register", "write", self._put_host),
        }
        # Calls of tests, which faults and rates don't touch.
        self._test_calls: dict[tuple[str, str], Call] = {
            ("POST", "faults"): self._switch_faults,
            ("GET", "counters"): self._show_counters,
        }

    async def answer(self, request: http.Request) -> http.Response:
        """Answer one request."""
        parts = request.segments
        test_call = self._test_calls.get((request.method, parts[0]))
        if test_call:
            return await test_call(request)
        call = self._calls.get((request.method, parts[0], len(parts)))
        if call is None:
            return _make_error(404, f"no call {request.method} {request.path}")
        name, rate, run = call
        if name == "list" and request.query.get("wait_ms", "0") != "0":
            name = "watch"
        self.counters[name] += 1
        return await self._run(name, rate, run, request)

    async def _run(
        self, name: str, rate: str, run: Call, request: http.Request
    ) -> http.Response:
        await self._hold_if_cut(request)
        await self.faults.delay()
        if self.faults.mode == "down":
            return _make_error(503, "outage")
        if not self._rates[rate].take():
            self.counters["refused"] += 1
            return http.make_json_response(
                429, {"error": "over the rate"}, {"retry-after": "1"}
            )
        try:
            response = await run(request)
        except (KeyError, TypeError, ValueError) as error:
            response = _make_error(400, f"malformed call: {error}")
        await self._hold_if_cut(request)
        if name in ("put", "register"):
            self.faults.lose_answer()
        return response

    async def _hold_if_cut(self, request: http.Request) -> None:
        if self.faults.is_cut(request.peer):
            await anyio.sleep(CUT_HOLD_S)
            raise http.ExchangeDropped("caller is cut off")

    async def _get_object(self, request: http.Request) -> http.Response:
        _, kind, name = request.segments
        found = self.store.get(kind, name)
        if found is None:
            return _make_error(404, f"no object {kind}/{name}")
        return http.make_json_response(200, found.to_dict())

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
        wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        with anyio.move_on_after(wait_ms / 1000):
            while not self.store.list_since(kind, since):
                if wait_ms <= 0 or self.faults.mode == "down":
                    break
                await self.store.wait()
        if self.faults.mode == "down":
            return _make_error(503, "outage")
        objects = self.store.list_since(kind, since)
        return http.make_json_response(
            200,
            {
                "revision": self.store.revision,
                "objects": [found.to_dict() for found in objects],
            },
        )

    async def _list_hosts(self, request: http.Request) -> http.Response:
        return http.make_json_response(200, {"hosts": self.hosts.list_hosts()})

    async def _put_host(self, request: http.Request) -> http.Response:
        value: dict[str, Any] = json.loads(request.body)
        registration = {
            "address": str(value["address"]),
            "port": int(value["port"]),
            "data_centre": str(value["data_centre"]),
            "state": str(value["state"]),
        }
        self.hosts.register(request.segments[1], registration)
        return http.make_json_response(200, {})

    async def _switch_faults(self, request: http.Request) -> http.Response:
        try:
            self.faults.switch(json.loads(request.body))
        except ValueError as error:
            return _make_error(400, str(error))
        self.store.wake()
        return http.make_json_response(200, {})

    async def _show_counters(self, request: http.Request) -> http.Response:
        return http.make_json_response(200, dict(self.counters))


def _make_error(status: int, message: str) -> http.Response:
    return http.make_json_response(status, {"error": message})
