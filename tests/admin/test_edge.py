"""Tests of the administration API."""

import json
from typing import Any

import jsonschema
import testtools

from knapweedtally.core import events
from knapweedtally.core.draining import events as draining_events
from knapweedtally.store import client as platform_client
from tests.admin import bed as bed_module
from tests.store import stand_in

Bed = bed_module.Bed
GROUP_VALUE: dict[str, object] = {
    "term": 2,
    "phase": "open",
    "primary": "fog-1",
    "operation": "op",
    "preferred": "",
}


def check_answer(method: str, path: str, status: int, value: Any) -> None:
    """Check an answer against the committed OpenAPI page."""
    call = bed_module.API["paths"][path][method.lower()]
    content = call["responses"][str(status)]["content"]
    schema = {
        **content["application/json"]["schema"],
        "components": bed_module.API["components"],
    }
    jsonschema.Draft202012Validator(schema).validate(value)


class AdminEdgeTest(testtools.TestCase):
    def test_routes_are_those_of_the_openapi_page(self) -> None:
        bed = Bed(bed_module.make_state(), 1)
        described = {
            (method.upper(), path, bool(call["security"]))
            for path, calls in bed_module.API["paths"].items()
            for method, call in calls.items()
        }
        served = {
            (route.method, route.path, route.needs_token)
            for route in bed.edge.routes
        }
        self.assertEqual(described, served)

    def test_answers_have_the_form_of_the_openapi_page(self) -> None:
        async def body(bed: Bed) -> None:
            for path in ("status", "groups", "targets", "bundle"):
                answer = await bed.call("GET", f"/v1/{path}")
                self.assertEqual(200, answer.status)
                check_answer("GET", f"/v1/{path}", 200, answer.parse_json())
            groups = (await bed.call("GET", "/v1/groups")).parse_json()
            self.assertEqual("fog-1", groups["groups"][0]["primary"])
            targets = (await bed.call("GET", "/v1/targets")).parse_json()
            offsets = [target["offset"] for target in targets["targets"]]
            self.assertEqual([17, None, None], offsets)

        bed_module.run_with_bed(body)

    def test_calls_without_the_token_are_refused(self) -> None:
        async def body(bed: Bed) -> None:
            for token in ("", "wrong", bed_module.TOKEN + "x", "\xe9"):
                for method, path in (
                    ("GET", "/v1/status"),
                    ("POST", "/v1/drain"),
                    ("GET", "/v1/unknown"),
                ):
                    answer = await bed.call(method, path, token=token)
                    self.assertEqual(401, answer.status)
            self.assertEqual([], bed.events)
            health = await bed.call("GET", "/healthz", token="")
            check_answer("GET", "/healthz", 200, health.parse_json())

        bed_module.run_with_bed(body)

    def test_readiness_needs_a_bundle(self) -> None:
        async def body(bed: Bed) -> None:
            for status in (200, 503):
                answer = await bed.call("GET", "/readyz", token="")
                self.assertEqual(status, answer.status)
                check_answer("GET", "/readyz", status, answer.parse_json())
                bed.state.directory.bundle = None

        bed_module.run_with_bed(body)

    def test_wrong_calls_are_refused(self) -> None:
        async def body(bed: Bed) -> None:
            for method, path, status in (
                ("GET", "/v1/none", 404),
                ("GET", "/", 404),
                ("DELETE", "/v1/status", 405),
                ("POST", "/v1/groups/fog/switch", 400),
                ("GET", "/v1/decisions/none", 400),
            ):
                answer = await bed.call(method, path)
                self.assertEqual(status, answer.status, path)
            answer = await bed.call("POST", "/v1/drain", b"x" * 100_000)
            self.assertEqual(413, answer.status)
            self.assertEqual([], bed.events)

        bed_module.run_with_bed(body)

    def test_decisions_are_explained_from_any_host(self) -> None:
        async def body(bed: Bed) -> None:
            own = bed_module.record_decision(bed.state)
            path = "/v1/decisions/{id}"
            answer = await bed.call("GET", f"/v1/decisions/{own}")
            shown = answer.parse_json()
            check_answer("GET", path, 200, shown)
            self.assertEqual([2, 17], shown["evidence"]["position"])
            bed.fetched["b-1-9-4"] = shown
            answer = await bed.call("GET", "/v1/decisions/b-1-9-4")
            self.assertEqual(shown, answer.parse_json())
            for absent in ("a1-7-999", "b-1-9-5"):
                answer = await bed.call("GET", f"/v1/decisions/{absent}")
                self.assertEqual(404, answer.status)
                check_answer("GET", path, 404, answer.parse_json())

        bed_module.run_with_bed(body)

    def test_drain_is_asked_for(self) -> None:
        async def body(bed: Bed) -> None:
            answer = await bed.call("POST", "/v1/drain")
            self.assertEqual(202, answer.status)
            check_answer("POST", "/v1/drain", 202, answer.parse_json())
            self.assertEqual(
                [draining_events.DrainRequested], list(map(type, bed.events))
            )

        bed_module.run_with_bed(body)


class SwitchTest(testtools.TestCase):
    PATH = "/v1/groups/fog/switch"

    async def switch(
        self, bed: Bed, target: str, name: str = "fog"
    ) -> tuple[int, Any]:
        """Ask for a change; return the status and the answer."""
        body = json.dumps({"target": target}).encode()
        path = self.PATH.replace("fog", name)
        answer = await bed.call("POST", path, body)
        value = answer.parse_json()
        check_answer("POST", "/v1/groups/{name}/switch", answer.status, value)
        return answer.status, value

    def run_on_platform(self, body: Any) -> None:
        with stand_in.run_platform() as port:
            bed_module.run_with_bed(lambda bed: body(bed, port), port)

    def test_a_change_is_wished_for_once(self) -> None:
        async def body(bed: Bed, port: int) -> None:
            await bed.platform.update_object("group", "fog", 0, GROUP_VALUE)
            caller = stand_in.Caller(port)
            await caller.call("POST", "/faults", {"lose_answers": 1})
            done = {"group": "fog", "target": "fog-2", "version": 2}
            for _ in range(2):
                self.assertEqual((202, done), await self.switch(bed, "fog-2"))
            current = await bed.platform.get_object("group", "fog")
            wished = {**GROUP_VALUE, "preferred": "fog-2"}
            self.assertEqual((2, wished), (current.version, current.value))
            seen = events.ObjectSeen("group", "fog", 2, wished)
            self.assertEqual([seen, seen], bed.events)
            await caller.client.close()

        self.run_on_platform(body)

    def test_what_can_not_be_done_is_refused(self) -> None:
        async def body(bed: Bed, port: int) -> None:
            electing = {**GROUP_VALUE, "phase": "electing", "primary": ""}
            await bed.platform.update_object("group", "fog", 0, electing)
            for target, name, status in (
                ("fog-9", "fog", 400),
                ("fog-2", "none", 404),
                ("fog-2", "fog", 409),
            ):
                found, _ = await self.switch(bed, target, name)
                self.assertEqual(status, found)
            current = await bed.platform.get_object("group", "fog")
            self.assertEqual(1, current.version)

        self.run_on_platform(body)

    def test_an_outage_is_told_apart_from_a_lost_answer(self) -> None:
        async def body(bed: Bed, port: int) -> None:
            await bed.platform.update_object("group", "fog", 0, GROUP_VALUE)
            caller = stand_in.Caller(port)
            await caller.call("POST", "/faults", {"mode": "down"})
            self.assertEqual(503, (await self.switch(bed, "fog-2"))[0])
            await caller.call("POST", "/faults", {"mode": "up"})
            update = bed.platform.update_object

            async def update_and_fail(*arguments: Any) -> Any:
                await update(*arguments)
                await caller.call("POST", "/faults", {"mode": "down"})
                raise platform_client.AnswerLostError("lost by the test")

            self.patch(bed.platform, "update_object", update_and_fail)
            self.assertEqual(504, (await self.switch(bed, "fog-2"))[0])
            await caller.client.close()

        self.run_on_platform(body)

    def test_a_lost_answer_is_named(self) -> None:
        async def body(bed: Bed, port: int) -> None:
            async def fail(*_: Any) -> Any:
                raise platform_client.AnswerLostError("lost by the test")

            self.patch(bed.platform, "get_object", fail)
            status, value = await self.switch(bed, "fog-2")
            self.assertEqual(504, status)
            self.assertIn("lost by the test", value["error"])

        self.run_on_platform(body)
