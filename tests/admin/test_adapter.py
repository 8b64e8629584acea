"""Tests of the administration API."""

import json
from typing import Any

import jsonschema
import testtools

from knapweedtally.core import events
from knapweedtally.core.draining import events as draining_events
from knapweedtally.store import client as platform_client
from tests.admin import harness as harness_module
from tests.store import stand_in

Harness = harness_module.AdminApiHarness
GROUP_VALUE: dict[str, object] = {
    "term": 2,
    "phase": "open",
    "primary": "fog-1",
    "operation": "op",
    "preferred": "",
}


def check_response(method: str, path: str, status: int, value: Any) -> None:
    """Check the JSON of a response against the committed OpenAPI document."""
    operation = harness_module.API["paths"][path][method.lower()]
    content = operation["responses"][str(status)]["content"]
    schema = {
        **content["application/json"]["schema"],
        "components": harness_module.API["components"],
    }
    jsonschema.Draft202012Validator(schema).validate(value)


class AdminAdapterTest(testtools.TestCase):
    def test_routes_match_the_openapi_document(self) -> None:
        harness = Harness(harness_module.make_state(), 1)
        described = {
            (method.upper(), path, bool(operation["security"]))
            for path, operations in harness_module.API["paths"].items()
            for method, operation in operations.items()
        }
        served = {
            (route.method, route.path, route.needs_token)
            for route in harness.adapter.routes
        }
        self.assertEqual(described, served)

    def test_responses_conform_to_the_openapi_document(self) -> None:
        async def body(harness: Harness) -> None:
            for path in ("status", "groups", "targets", "bundle"):
                response = await harness.call("GET", f"/v1/{path}")
                self.assertEqual(200, response.status)
                check_response("GET", f"/v1/{path}", 200, response.parse_json())
            groups = (await harness.call("GET", "/v1/groups")).parse_json()
            self.assertEqual("fog-1", groups["groups"][0]["primary"])
            targets = (await harness.call("GET", "/v1/targets")).parse_json()
            offsets = [target["offset"] for target in targets["targets"]]
            self.assertEqual([17, None, None], offsets)

        harness_module.run_with_harness(body)

    def test_requests_without_the_token_are_refused(self) -> None:
        async def body(harness: Harness) -> None:
            for token in ("", "wrong", harness_module.TOKEN + "x", "\xe9"):
                for method, path in (
                    ("GET", "/v1/status"),
                    ("POST", "/v1/drain"),
                    ("GET", "/v1/unknown"),
                ):
                    response = await harness.call(method, path, token=token)
                    self.assertEqual(401, response.status)
            self.assertEqual([], harness.events)
            health = await harness.call("GET", "/healthz", token="")
            check_response("GET", "/healthz", 200, health.parse_json())

        harness_module.run_with_harness(body)

    def test_readiness_requires_a_bundle(self) -> None:
        async def body(harness: Harness) -> None:
            for status in (200, 503):
                response = await harness.call("GET", "/readyz", token="")
                self.assertEqual(status, response.status)
                check_response("GET", "/readyz", status, response.parse_json())
                harness.state.directory.bundle = None

        harness_module.run_with_harness(body)

    def test_invalid_requests_are_refused(self) -> None:
        async def body(harness: Harness) -> None:
            for method, path, status in (
                ("GET", "/v1/none", 404),
                ("GET", "/", 404),
                ("DELETE", "/v1/status", 405),
                ("POST", "/v1/groups/fog/switch", 400),
                ("GET", "/v1/decisions/none", 400),
            ):
                response = await harness.call(method, path)
                self.assertEqual(status, response.status, path)
            response = await harness.call("POST", "/v1/drain", b"x" * 100_000)
            self.assertEqual(413, response.status)
            self.assertEqual([], harness.events)

        harness_module.run_with_harness(body)

    def test_decisions_of_any_host_are_returned(self) -> None:
        async def body(harness: Harness) -> None:
            own = harness_module.record_decision(harness.state)
            path = "/v1/decisions/{id}"
            response = await harness.call("GET", f"/v1/decisions/{own}")
            decision = response.parse_json()
            check_response("GET", path, 200, decision)
            self.assertEqual([2, 17], decision["evidence"]["position"])
            harness.remote_decisions["b-1-9-4"] = decision
            response = await harness.call("GET", "/v1/decisions/b-1-9-4")
            self.assertEqual(decision, response.parse_json())
            for absent in ("a1-7-999", "b-1-9-5"):
                response = await harness.call("GET", f"/v1/decisions/{absent}")
                self.assertEqual(404, response.status)
                check_response("GET", path, 404, response.parse_json())

        harness_module.run_with_harness(body)

    def test_drain_request_submits_an_event(self) -> None:
        async def body(harness: Harness) -> None:
            response = await harness.call("POST", "/v1/drain")
            self.assertEqual(202, response.status)
            check_response("POST", "/v1/drain", 202, response.parse_json())
            self.assertEqual(
                [draining_events.DrainRequested],
                list(map(type, harness.events)),
            )

        harness_module.run_with_harness(body)


class SwitchTest(testtools.TestCase):
    PATH = "/v1/groups/fog/switch"

    async def request_switch(
        self, harness: Harness, target: str, name: str = "fog"
    ) -> tuple[int, Any]:
        """Request a planned change and return the response status and JSON."""
        body = json.dumps({"target": target}).encode()
        path = self.PATH.replace("fog", name)
        response = await harness.call("POST", path, body)
        value = response.parse_json()
        check_response(
            "POST", "/v1/groups/{name}/switch", response.status, value
        )
        return response.status, value

    def run_on_platform(self, body: Any) -> None:
        with stand_in.run_platform() as port:
            harness_module.run_with_harness(
                lambda harness: body(harness, port), port
            )

    def test_planned_change_is_recorded_once(self) -> None:
        async def body(harness: Harness, port: int) -> None:
            await harness.platform.update_object("group", "fog", 0, GROUP_VALUE)
            caller = stand_in.Caller(port)
            await caller.call("POST", "/faults", {"lose_answers": 1})
            expected = {"group": "fog", "target": "fog-2", "version": 2}
            for _ in range(2):
                self.assertEqual(
                    (202, expected), await self.request_switch(harness, "fog-2")
                )
            current = await harness.platform.get_object("group", "fog")
            updated_value = {**GROUP_VALUE, "preferred": "fog-2"}
            self.assertEqual(
                (2, updated_value), (current.version, current.value)
            )
            event = events.ObjectSeen("group", "fog", 2, updated_value)
            self.assertEqual([event, event], harness.events)
            await caller.client.close()

        self.run_on_platform(body)

    def test_impossible_changes_are_refused(self) -> None:
        async def body(harness: Harness, port: int) -> None:
            electing = {**GROUP_VALUE, "phase": "electing", "primary": ""}
            await harness.platform.update_object("group", "fog", 0, electing)
            for target, name, status in (
                ("fog-9", "fog", 400),
                ("fog-2", "none", 404),
                ("fog-2", "fog", 409),
            ):
                actual, _ = await self.request_switch(harness, target, name)
                self.assertEqual(status, actual)
            current = await harness.platform.get_object("group", "fog")
            self.assertEqual(1, current.version)

        self.run_on_platform(body)

    def test_outage_and_lost_response_have_different_statuses(self) -> None:
        async def body(harness: Harness, port: int) -> None:
            await harness.platform.update_object("group", "fog", 0, GROUP_VALUE)
            caller = stand_in.Caller(port)
            await caller.call("POST", "/faults", {"mode": "down"})
            self.assertEqual(
                503, (await self.request_switch(harness, "fog-2"))[0]
            )
            await caller.call("POST", "/faults", {"mode": "up"})
            update_object = harness.platform.update_object

            async def update_and_fail(*arguments: Any) -> Any:
                await update_object(*arguments)
                await caller.call("POST", "/faults", {"mode": "down"})
                raise platform_client.ResponseLostError("lost by the test")

            self.patch(harness.platform, "update_object", update_and_fail)
            self.assertEqual(
                504, (await self.request_switch(harness, "fog-2"))[0]
            )
            await caller.client.close()

        self.run_on_platform(body)

    def test_error_names_the_lost_response(self) -> None:
        async def body(harness: Harness, port: int) -> None:
            async def fail(*_: Any) -> Any:
                raise platform_client.ResponseLostError("lost by the test")

            self.patch(harness.platform, "get_object", fail)
            status, value = await self.request_switch(harness, "fog-2")
            self.assertEqual(504, status)
            self.assertIn("lost by the test", value["error"])

        self.run_on_platform(body)
