"""HTTP server of the administration API for operators and load balancers."""

import hmac
import json
import time
from typing import Any

import anyio
import anyio.abc

from knapweedtally.admin import remote_decisions
from knapweedtally.admin import routes
from knapweedtally.admin import switches
from knapweedtally.admin import views
from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.metrics import prometheus
from knapweedtally.metrics import proxy_metrics as proxy_metrics_module
from knapweedtally.runtime import adapters
from knapweedtally.store import client as platform_client
from knapweedtally.utils import http
from knapweedtally.utils import http_server

LIMITS = http_server.Limits(max_body_bytes=64 * 1024, max_connections=256)
_TOKEN_PREFIX = "Bearer "


class AdminAdapter:
    """Serve the administration API from the proxy's state.

    Attributes:
        effect_types: empty, since the API only submits events.
        routes: routes of the API.
    """

    effect_types: tuple[type, ...] = ()

    def __init__(
        self,
        submit: adapters.Submit,
        state: state_module.ProxyState,
        address: tuple[str, int],
        token: str,
        platform: platform_client.PlatformClient,
        fetch_decision: remote_decisions.DecisionFetcher,
        metrics: proxy_metrics_module.ProxyMetrics,
    ) -> None:
        """Initialise the server; it listens only once ``serve`` runs.

        Args:
            submit: submits an event to the reducer.
            state: state of the proxy; only read, never modified.
            address: IP address and port to listen on.
            token: bearer token that requests must present.
            platform: client used to request planned primary changes.
            fetch_decision: fetches a decision record from another host.
            metrics: metrics of the proxy.
        """
        self._submit = submit
        self._state = state
        self._token = token.encode()
        self._platform = platform
        self._fetch_decision = fetch_decision
        self._metrics = metrics
        self._server = http_server.Server(
            self.handle_request, *address, limits=LIMITS
        )
        self.routes = [
            routes.Route("GET", "/healthz", self._get_health, False),
            routes.Route("GET", "/readyz", self._get_readiness, False),
            routes.Route("GET", "/metrics", self._get_metrics),
            routes.Route("GET", "/v1/status", self._get_status),
            routes.Route("GET", "/v1/groups", self._list_groups),
            routes.Route("GET", "/v1/targets", self._list_targets),
            routes.Route("GET", "/v1/bundle", self._get_bundle),
            routes.Route("GET", "/v1/decisions/{id}", self._get_decision),
            routes.Route("POST", "/v1/drain", self._drain),
            routes.Route(
                "POST", "/v1/groups/{name}/switch", self._switch_primary
            ),
        ]

    @property
    def port(self) -> int:
        """Return the configured port, or the bound port once serving."""
        return self._server.port

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve requests until cancelled, then close the platform client."""
        try:
            await self._server.serve(task_status=task_status)
        finally:
            await self._platform.close()

    def run_effect(self, effect: effects.Effect) -> None:
        """Do nothing; the API handles no effects."""

    async def handle_request(self, request: http.Request) -> http.Response:
        """Check the token of a request and dispatch it to its handler."""
        match = routes.find_route(self.routes, request)
        is_public = match.route is not None and not match.route.needs_token
        if not is_public and not self._has_token(request):
            return http.make_json_response(
                401,
                {"error": "send the header 'Authorization: Bearer TOKEN'"},
                {"www-authenticate": "Bearer"},
            )
        if match.route is None:
            status = 405 if match.is_path_known else 404
            message = f"no call {request.method} {request.path}"
            return make_error_response(status, message)
        return await match.route.handler(request, *match.parameters)

    def _has_token(self, request: http.Request) -> bool:
        header = request.headers.get("authorization", "")
        presented = header.removeprefix(_TOKEN_PREFIX).encode()
        is_equal = hmac.compare_digest(presented, self._token)
        return is_equal and header.startswith(_TOKEN_PREFIX)

    async def _get_health(self, request: http.Request) -> http.Response:
        return http.make_json_response(200, {"status": "ok"})

    async def _get_readiness(self, request: http.Request) -> http.Response:
        obstacles = views.find_readiness_obstacles(self._state)
        status = 503 if obstacles else 200
        return http.make_json_response(status, {"obstacles": obstacles})

    async def _get_metrics(self, request: http.Request) -> http.Response:
        body = self._metrics.format_prometheus().encode()
        headers = {"content-type": prometheus.CONTENT_TYPE}
        return http.Response(200, body, headers)

    async def _get_status(self, request: http.Request) -> http.Response:
        has_steps = request.query.get("steps") == "1"
        described = views.describe_status(self._state)
        described["windows"] = self._metrics.get_window_sums(has_steps)
        return make_success_response(described)

    async def _list_groups(self, request: http.Request) -> http.Response:
        return make_success_response({"groups": views.list_groups(self._state)})

    async def _list_targets(self, request: http.Request) -> http.Response:
        targets = views.list_targets(self._state, time.monotonic())
        return make_success_response({"targets": targets})

    async def _get_bundle(self, request: http.Request) -> http.Response:
        return make_success_response(views.describe_bundle(self._state))

    async def _get_decision(
        self, request: http.Request, decision_id: str
    ) -> http.Response:
        decision = explanations.find_decision(self._state, decision_id)
        if decision:
            return make_success_response(
                views.describe_decision(decision, time.monotonic())
            )
        host, *numbers = decision_id.rsplit("-", 2)
        if len(numbers) < 2:
            return make_error_response(
                400, "id has the form HOST-INCARNATION-COUNT"
            )
        if host == self._state.identity.host:
            return make_error_response(404, "the record is no longer kept")
        fetched = await self._fetch_decision(host, decision_id)
        if fetched:
            return make_success_response(fetched)
        return make_error_response(404, f"no record; ask host {host!r} itself")

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
            return make_error_response(400, 'body: use {"target": "ID"}')
        try:
            switches.check_switch(self._state, name, target)
            result = await switches.request_switch(self._platform, name, target)
        except switches.SwitchError as error:
            return make_error_response(error.status, str(error))
        await self._submit_group_object(name)
        return http.make_json_response(202, result._asdict())

    async def _submit_group_object(self, name: str) -> None:
        """Submit the group's object now, before the watch delivers it."""
        try:
            group_object = await self._platform.get_object(
                switches.GROUP_KIND, name
            )
        except platform_client.PlatformError:
            return
        self._submit(events.ObjectSeen(*group_object))


def make_success_response(value: dict[str, Any]) -> http.Response:
    """Return a 200 response; values unsupported by JSON become strings."""
    body = json.dumps(value, default=str).encode()
    return http.Response(200, body, {"content-type": "application/json"})


def make_error_response(status: int, message: str) -> http.Response:
    """Return an error response with a JSON body."""
    return http.make_json_response(status, {"error": message})
