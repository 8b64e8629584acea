"""The edge towards operators and the balancer: an HTTP API."""

import hmac
import json
import time
from typing import Any

import anyio
import anyio.abc

from knapweedtally.admin import remote
from knapweedtally.admin import routes
from knapweedtally.admin import switches
from knapweedtally.admin import views
from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.metrics import measures as measures_module
from knapweedtally.metrics import prometheus
from knapweedtally.runtime import edges
from knapweedtally.store import client as platform_client
from knapweedtally.utils import http
from knapweedtally.utils import http_server

LIMITS = http_server.Limits(max_body_bytes=64 * 1024, max_connections=256)
_TOKEN_PREFIX = "Bearer "


class AdminEdge:
    """Answer operators' calls from the proxy's state.

    Attributes:
        effect_types: none; the API only submits events.
        routes: the calls of the API.
    """

    effect_types: tuple[type, ...] = ()

    def __init__(
        self,
        submit: edges.Submit,
        state: state_module.ProxyState,
        address: tuple[str, int],
        token: str,
        platform: platform_client.PlatformClient,
        fetch_decision: remote.DecisionFetcher,
        measures: measures_module.Measures,
    ) -> None:
        """Make an edge; nothing listens before ``serve``.

        Args:
            submit: takes the events.
            state: state of the proxy, only read.
            address: IP address and port to listen on.
            token: token that calls have to show.
            platform: client for planned changes of a primary.
            fetch_decision: fetches a decision record of another host.
            measures: instruments of the proxy.
        """
        self._submit = submit
        self._state = state
        self._token = token.encode()
        self._platform = platform
        self._fetch_decision = fetch_decision
        self._measures = measures
        self._server = http_server.Server(self.answer, *address, limits=LIMITS)
        self.routes = [
            routes.Route("GET", "/healthz", self._show_health, False),
            routes.Route("GET", "/readyz", self._show_readiness, False),
            routes.Route("GET", "/metrics", self._show_metrics),
            routes.Route("GET", "/v1/status", self._show_status),
            routes.Route("GET", "/v1/groups", self._list_groups),
            routes.Route("GET", "/v1/targets", self._list_targets),
            routes.Route("GET", "/v1/bundle", self._show_bundle),
            routes.Route("GET", "/v1/decisions/{id}", self._show_decision),
            routes.Route("POST", "/v1/drain", self._drain),
            routes.Route(
                "POST", "/v1/groups/{name}/switch", self._switch_primary
            ),
        ]

    @property
    def port(self) -> int:
        """Return the port, the bound one once serving."""
        return self._server.port

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve calls until cancelled."""
        try:
            await self._server.serve(task_status=task_status)
        finally:
            await self._platform.close()

    def run_effect(self, effect: effects.Effect) -> None:
        """Run no effect; the API has none."""

    async def answer(self, request: http.Request) -> http.Response:
        """Answer one call."""
        match = routes.find_route(self.routes, request)
        is_open = match.route is not None and not match.route.needs_token
        if not is_open and not self._has_token(request):
            return http.make_json_response(
                401,
                {"error": "send the header 'Authorization: Bearer TOKEN'"},
                {"www-authenticate": "Bearer"},
            )
        if match.route is None:
            status = 405 if match.is_path_known else 404
            message = f"no call {request.method} {request.path}"
            return make_error(status, message)
        return await match.route.handle(request, *match.parameters)

    def _has_token(self, request: http.Request) -> bool:
        header = request.headers.get("authorization", "")
        shown = header.removeprefix(_TOKEN_PREFIX).encode()
        is_equal = hmac.compare_digest(shown, self._token)
        return is_equal and header.startswith(_TOKEN_PREFIX)

    async def _show_health(self, request: http.Request) -> http.Response:
        return http.make_json_response(200, {"status": "ok"})

    async def _show_readiness(self, request: http.Request) -> http.Response:
        obstacles = views.find_obstacles(self._state)
        status = 503 if obstacles else 200
        return http.make_json_response(status, {"obstacles": obstacles})

    async def _show_metrics(self, request: http.Request) -> http.Response:
        body = self._measures.write_page().encode()
        headers = {"content-type": prometheus.CONTENT_TYPE}
        return http.Response(200, body, headers)

    async def _show_status(self, request: http.Request) -> http.Response:
        has_steps = request.query.get("steps") == "1"
        shown = views.show_status(self._state)
        shown["windows"] = self._measures.show_windows(has_steps)
        return make_answer(shown)

    async def _list_groups(self, request: http.Request) -> http.Response:
        return make_answer({"groups": views.list_groups(self._state)})

    async def _list_targets(self, request: http.Request) -> http.Response:
        targets = views.list_targets(self._state, time.monotonic())
        return make_answer({"targets": targets})

    async def _show_bundle(self, request: http.Request) -> http.Response:
        return make_answer(views.show_bundle(self._state))

    async def _show_decision(
        self, request: http.Request, decision_id: str
    ) -> http.Response:
        decision = explanations.find_decision(self._state, decision_id)
        if decision:
            return make_answer(views.show_decision(decision, time.monotonic()))
        host, *numbers = decision_id.rsplit("-", 2)
        if len(numbers) < 2:
            return make_error(400, "id has the form HOST-INCARNATION-COUNT")
        if host == self._state.identity.host:
            return make_error(404, "the record is no longer kept")
        shown = await self._fetch_decision(host, decision_id)
        if shown:
            return make_answer(shown)
        return make_error(404, f"no record; ask host {host!r} itself")

    async def _drain(self, request: http.Request) -> http.Response:
        if not views.is_draining(self._state):
            self._submit(draining_events.DrainRequested("administration API"))
        return http.make_json_response(
            202, {"drain_phase": self._state.draining.phase.value}
        )

    async def _switch_primary(
        self, request: http.Request, name: str
    ) -> http.Response:
        try:
            target = str(json.loads(request.body)["target"])
        except (KeyError, TypeError, ValueError):
            return make_error(400, 'body: use {"target": "ID"}')
        try:
            switches.check_switch(self._state, name, target)
            done = await switches.request_switch(self._platform, name, target)
        except switches.SwitchError as error:
            return make_error(error.status, str(error))
        await self._learn_group(name)
        return http.make_json_response(202, done._asdict())

    async def _learn_group(self, name: str) -> None:
        """Let this host act on the change before its watch tells of it."""
        try:
            found = await self._platform.get_object(switches.KIND, name)
        except platform_client.PlatformError:
            return
        self._submit(events.ObjectSeen(*found))


def make_answer(value: dict[str, Any]) -> http.Response:
    """Return a 200 answer; what JSON doesn't know is shown as text."""
    body = json.dumps(value, default=str).encode()
    return http.Response(200, body, {"content-type": "application/json"})


def make_error(status: int, message: str) -> http.Response:
    """Return an error answer."""
    return http.make_json_response(status, {"error": message})
