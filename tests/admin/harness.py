"""Test harness that runs the administration API on a prepared state."""

import json
import pathlib
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from knapweedtally.admin import adapter
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.membership import state as membership_state
from knapweedtally.metrics import proxy_metrics as proxy_metrics_module
from knapweedtally.store import client as platform_client
from knapweedtally.utils import http
from knapweedtally.utils import http_client
from tests.bundles import test_decisions

TOKEN = "the-token-of-the-test"
TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
API = json.loads((ROOT / "docs/reference/openapi.json").read_text())


def make_state(host: str = "a1") -> state_module.ProxyState:
    """Return a state with a bundle, a group record and a target report."""
    state = state_module.ProxyState(state_module.Identity(host, "dc1", 7))
    state.bundles.keys = test_decisions.test_codec.KEYS
    moment = model.Moment(time.monotonic(), 0.5)
    value = test_decisions.make_signed(3)
    reducer.decide(state, moment, test_decisions.make_object_event(value))
    state.directory.records["fog"] = model.GroupRecord(
        4, 2, model.Phase.OPEN, "fog-1", "op"
    )
    report = model.TargetReport("fog-1", 2, 17, 1.5, True)
    state.directory.reports["fog-1"] = (report, moment.at)
    return state


def record_decision(state: state_module.ProxyState) -> str:
    """Record a decision whose evidence includes types unsupported by JSON."""
    return explanations.record_decision(
        state,
        model.Moment(time.monotonic(), 0.5),
        "routing",
        "request 1",
        "primary",
        "no replica is fresh enough",
        "wait for the replicas to catch up",
        position=model.Position(2, 17),
        refused=frozenset({"fog-2"}),
    )


class AdminApiHarness:
    """Administration API with its state and a client.

    Attributes:
        state: state that the API serves.
        events: events that the API submitted.
        remote_decisions: decision records of other hosts by id.
        platform: platform client of the API.
        metrics: metrics that the API serves.
        adapter: the API.
    """

    def __init__(
        self, state: state_module.ProxyState, platform_port: int
    ) -> None:
        self.state = state
        self.events: list[Any] = []
        self.remote_decisions: dict[str, dict[str, Any]] = {}
        self.platform = platform_client.PlatformClient(
            ("127.0.0.1", platform_port)
        )
        self.metrics = proxy_metrics_module.ProxyMetrics(state)
        self.adapter = adapter.AdminAdapter(
            self.events.append,
            state,
            ("127.0.0.1", 0),
            TOKEN,
            self.platform,
            self._fetch_decision,
            self.metrics,
        )

    async def call(
        self, method: str, path: str, body: bytes = b"", token: str = TOKEN
    ) -> http.Response:
        """Send one request to the API and return the response."""
        client = http_client.Client("127.0.0.1", self.adapter.port)
        headers = {"authorization": f"Bearer {token}"} if token else {}
        request = http.Request(method, path, headers, body)
        try:
            return await client.send(request, TIMEOUT_S)
        finally:
            await client.close()

    async def _fetch_decision(
        self, host: str, decision_id: str
    ) -> dict[str, Any] | None:
        return self.remote_decisions.get(decision_id)


def run_with_harness(
    body: Callable[[AdminApiHarness], Awaitable[None]], platform_port: int = 1
) -> None:
    """Run the body of a test with a harness whose API is running."""

    async def run() -> None:
        harness = AdminApiHarness(make_state(), platform_port)
        async with anyio.create_task_group() as group:
            await group.start(harness.adapter.serve)
            await body(harness)
            group.cancel_scope.cancel()

    anyio.run(run)


def add_host(state: state_module.ProxyState, admin_port: int) -> None:
    """Add host ``far-1`` with the port of its API to the known hosts."""
    state.membership.hosts["far-1"] = membership_state.Host(
        "far-1",
        "127.0.0.1",
        0,
        admin_port,
        "dc2",
        membership_state.Status.LIVE,
        3,
        7,
        0,
    )
