"""Tests of callers' keys: unknown, added, rotated and revoked ones."""

import functools
import json
import time
from unittest import mock

import testtools

from knapweedtally.core.groups import shutdown
from knapweedtally.entry.fleet import configuration_check
from standins.line_platform import platform as platform_module
from standins.line_platform import targets
from tests.entry import harness

KEY, OTHER_KEY = "key-of-a-73f1", "key-of-b-52c8"
TEAM = platform_module.make_team("a", KEY)
OTHER_TEAM = platform_module.make_team("b", OTHER_KEY)

with_teams = functools.partial(harness.with_system, teams=(TEAM, OTHER_TEAM))


async def apply_teams(system: harness.System, *teams: dict) -> None:
    """Write a configuration and wait until it is in force on the host."""
    entry = system.entry_hosts[0]
    count = len(entry.find_lines("configuration_in_force"))
    system.platform.teams = list(teams)
    system.platform.write_configuration()
    await harness.wait_for(
        lambda: len(entry.find_lines("configuration_in_force")) > count
    )


async def start_caller(
    system: harness.System, key: str = KEY
) -> harness.Caller:
    caller = harness.Caller(system.entry_hosts[0].port)
    assert await caller.start("g-primary", key) == "READY I -"
    return caller


def get_primary(system: harness.System) -> targets.Target:
    return system.platform.groups["g"].get_primary()


def count_rollbacks(target: targets.Target) -> int:
    """Return how many rollbacks a target has run."""
    ran = (*target.statements, *target.control_statements)
    return sum(1 for _, text in ran if text == "ROLLBACK")


class IdentificationTest(testtools.TestCase):
    """The session of a caller, by its key and the configuration in force."""

    async def assert_ended(self, caller: harness.Caller, text: str) -> None:
        """Check that a statement is refused and the session then closed."""
        answer = await caller.run(text)
        self.assertThat(
            answer, testtools.matchers.Equals([self.get_refusal("revoked")])
        )
        self.assertTrue(await caller.wait_for_close())

    def get_refusal(self, kind: str) -> str:
        details = {
            "revoked": "the key was revoked",
            "unknown": "the key belongs to no team",
            "missing": "a key is required",
        }
        return f"ERROR NOAUTH {details[kind]}"

    @with_teams()
    async def test_unknown_and_missing_keys(
        self, system: harness.System
    ) -> None:
        # Guards against a session that is kept, or a statement sent on.
        entry = system.entry_hosts[0]
        for key, kind in (("key-of-nobody", "unknown"), ("", "missing")):
            caller = harness.Caller(entry.port)
            answer = await caller.start("g-primary", key)
            self.assertEqual(self.get_refusal(kind), answer)
            self.assertTrue(await caller.wait_for_close())
        self.assertEqual(set(), entry.host.sessions)
        self.assertEqual([], get_primary(system).statements)
        line = entry.find_lines("session_ended")[0]
        self.assertEqual("UNAUTHENTICATED", line["code"])
        self.assertEqual(3, line["configuration"])
        text = entry.host.counters.format_text({})
        self.assertIn('refused_total{label="UNKNOWN_KEY"} 1', text)

    @with_teams()
    async def test_public_route_needs_no_key(
        self, system: harness.System
    ) -> None:
        # Guards against a known key that is ignored on a public route.
        system.platform.routes[0]["public"] = True
        await apply_teams(system, TEAM)
        callers = [await start_caller(system, key) for key in ("", KEY)]
        sessions = system.entry_hosts[0].host.sessions
        self.assertEqual(["", "a"], sorted(s.team for s in sessions))
        for caller in callers:
            self.assertIn("DONE", (await caller.run("READ item"))[-1])

    @with_teams()
    async def test_key_revoked_while_idle(self, system: harness.System) -> None:
        # Guards against open sessions that outlive their key.
        caller = await start_caller(system)
        await caller.run("WRITE item 1")
        await apply_teams(system, OTHER_TEAM)
        await self.assert_ended(caller, "WRITE item 2")
        self.assertEqual(["1"], get_primary(system).read_all("item"))
        entry = system.entry_hosts[0]
        line = entry.find_lines("statement_refused")[0]
        self.assertEqual(("q2", "a"), (line["id"], line["team"]))
        self.assertEqual(6, line["configuration"])
        self.assertEqual("a", entry.find_lines("statement_ended")[0]["team"])

    @with_teams()
    async def test_key_revoked_in_a_transaction(
        self, system: harness.System
    ) -> None:
        # Guards against a transaction that stays open until its next
        # statement, and against one that commits.
        for end in ("COMMIT", "ROLLBACK", "READ item"):
            caller = await start_caller(system)
            await caller.run("BEGIN")
            await caller.run("WRITE item 1")
            target = get_primary(system)
            known = count_rollbacks(target)
            await apply_teams(system, OTHER_TEAM)
            # A status request may follow the rollback at once.
            await harness.wait_for(
                lambda target=target, known=known: (
                    count_rollbacks(target) > known
                )
            )
            answer = await caller.run(end)
            self.assertEqual(["ERROR ABORTED the key was revoked"], answer)
            await self.assert_ended(caller, "READ item")
            await apply_teams(system, TEAM, OTHER_TEAM)
        self.assertEqual([], get_primary(system).log)

    @with_teams()
    async def test_key_revoked_while_a_statement_of_a_transaction_runs(
        self, system: harness.System
    ) -> None:
        # Guards against a session that never answers: the statement is in the
        # delay before its retry, or unanswered by the target.
        target = get_primary(system)
        for is_retried in (True, False):
            caller = await start_caller(system)
            await caller.run("BEGIN")
            await caller.run("READ item")
            target.remaining_refusals["WRITE"] = 10**6 if is_retried else 0
            target.is_unresponsive = not is_retried
            await caller.send("WRITE item 1")
            if is_retried:
                await harness.wait_for(
                    lambda: target.remaining_refusals["WRITE"] < 10**6 - 1
                )
            await apply_teams(system, OTHER_TEAM)
            answer = await caller.receive()
            self.assertEqual(["ERROR ABORTED the key was revoked"], answer)
            await self.assert_ended(caller, "COMMIT")
            target.remaining_refusals.clear()
            await apply_teams(system, TEAM)
        target.is_unresponsive = False
        self.assertEqual([], target.log)

    @with_teams()
    async def test_key_revoked_with_a_commit_in_flight(
        self, system: harness.System
    ) -> None:
        # Guards against a commit whose outcome its caller never learns.
        caller = await start_caller(system)
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        target = get_primary(system)
        target.remaining_refusals["COMMIT"] = 10**6
        await caller.send("COMMIT")
        await apply_teams(system, OTHER_TEAM)
        target.remaining_refusals.clear()
        answer = await caller.receive()
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))
        await self.assert_ended(caller, "READ item")
        self.assertEqual(["1"], target.read_all("item"))

    @with_teams()
    async def test_key_revoked_while_its_statement_is_queued(
        self, system: harness.System
    ) -> None:
        # Guards against a statement that runs long after its key was revoked.
        for text in ("WRITE item 1", "BEGIN"):
            caller = await start_caller(system)
            target = get_primary(system)
            target.remaining_refusals.update(WRITE=10**6, BEGIN=10**6)
            router = system.entry_hosts[0].host.routers["g"]
            router._place_request = lambda request, now_s: None
            if text == "BEGIN":
                await caller.run(text)
            await caller.send("WRITE item 1")
            await harness.wait_for(lambda router=router: router.queue_length)
            await apply_teams(system, OTHER_TEAM)
            answer = await caller.receive()
            word = "ABORTED" if text == "BEGIN" else "NOAUTH"
            self.assertEqual([f"ERROR {word} the key was revoked"], answer)
            if text == "BEGIN":
                await self.assert_ended(caller, "COMMIT")
            self.assertEqual(0, router.queue_length)
            await apply_teams(system, TEAM)

    @with_teams()
    async def test_key_revoked_while_its_statement_awaits_a_permit(
        self, system: harness.System
    ) -> None:
        # Guards against a statement that is sent once it is admitted, though
        # its key was revoked meanwhile.
        quotas = system.entry_hosts[0].host.quotas
        for text in ("WRITE item 1", "BEGIN"):
            caller = await start_caller(system)
            if text == "BEGIN":
                await caller.run(text)
            with mock.patch.object(quotas, "admit") as admit:
                await caller.send("WRITE item 1")
                await harness.wait_for(lambda admit=admit: admit.called)
                await apply_teams(system, OTHER_TEAM)
                permit = mock.Mock()
                admit.call_args.args[3](permit)
            answer = await caller.receive()
            word = "ABORTED" if text == "BEGIN" else "NOAUTH"
            self.assertEqual([f"ERROR {word} the key was revoked"], answer)
            permit.release.assert_called_once_with()
            if text == "BEGIN":
                await self.assert_ended(caller, "COMMIT")
            await apply_teams(system, TEAM)
        self.assertEqual([], get_primary(system).log)
        self.assertEqual([], get_primary(system).statements)

    @with_teams()
    async def test_key_revoked_while_the_host_stood_still(
        self, system: harness.System
    ) -> None:
        # Guards against statements that a woken host serves before it reads
        # what happened during its standstill.
        for text in ("WRITE item 1", "COMMIT"):
            caller = await start_caller(system)
            if text == "COMMIT":
                await caller.run("BEGIN")
                await caller.run("WRITE item 1")
            system.platform.teams = [OTHER_TEAM]
            with mock.patch.object(
                configuration_check, "MIN_STANDSTILL_S", 0.2
            ):
                caller._writer.write(f"QUERY q0 {text}\r\n".encode())
                system.platform.write_configuration()
                time.sleep(0.3)
                answer = await caller.receive()
            word = "ABORTED" if text == "COMMIT" else "NOAUTH"
            self.assertEqual([f"ERROR {word} the key was revoked"], answer)
            self.assertEqual([], get_primary(system).log)
            await apply_teams(system, TEAM)

    @with_teams()
    async def test_rotated_key_loses_nobody(
        self, system: harness.System
    ) -> None:
        # Guards against refusals while both keys are valid, or of the new one.
        old = await start_caller(system)
        await old.run("BEGIN")
        await old.run("WRITE item 1")
        both = platform_module.make_team("a", KEY, "new-key")
        await apply_teams(system, both, OTHER_TEAM)
        new = await start_caller(system, "new-key")
        self.assertIn("DONE", (await old.run("COMMIT"))[0])
        only_new = platform_module.make_team("a", "new-key")
        await apply_teams(system, only_new, OTHER_TEAM)
        self.assertIn("DONE", (await new.run("WRITE item 2"))[0])
        await self.assert_ended(old, "READ item")

    @with_teams()
    async def test_key_that_changes_its_team(
        self, system: harness.System
    ) -> None:
        # Guards against statements on a connection of the former team.
        caller = await start_caller(system)
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        await apply_teams(system, platform_module.make_team("b", KEY))
        answer = await caller.run("COMMIT")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR ABORT"))
        self.assertIn("DONE", (await caller.run("WRITE item 2"))[0])
        (session,) = system.entry_hosts[0].host.sessions
        self.assertEqual("b", session.team)
        self.assertEqual(["2"], get_primary(system).read_all("item"))

    @harness.with_system()
    async def test_without_teams_any_key_is_served_and_no_team_is_named(
        self, system: harness.System
    ) -> None:
        # Guards against a change for deployments without teams.
        caller = await start_caller(system, "")
        await caller.run("READ item")
        line = system.entry_hosts[0].find_lines("statement_ended")[0]
        self.assertNotIn("team", line)

    @with_teams()
    async def test_planned_stop_interrupts_no_transaction(
        self, system: harness.System
    ) -> None:
        # Guards against a stop that takes a team's session for a refused one.
        caller = await start_caller(system)
        await caller.run("BEGIN")
        system.entry_hosts[0].host.phase = shutdown.Phase.ANNOUNCING
        await apply_teams(system, TEAM)
        await caller.run("WRITE item 1")
        self.assertIn("DONE", (await caller.run("COMMIT"))[0])

    @with_teams()
    async def test_keys_are_in_no_log_line_metric_or_target(
        self, system: harness.System
    ) -> None:
        # Guards against keys that reach whoever reads the logs.
        entry = system.entry_hosts[0]
        await harness.Caller(entry.port).start("g-primary", "key-of-nobody")
        caller = await start_caller(system)
        await caller.run("WRITE item 1")
        await caller.run("nonsense")
        await apply_teams(system, OTHER_TEAM)
        await caller.run("WRITE item 2")
        system.platform.teams = [{"name": KEY + " ", "apiKeys": KEY}]
        system.platform.write_configuration()
        await harness.wait_for(
            lambda: entry.find_lines("configuration_unreadable")
        )
        target = get_primary(system)
        users = [c.user for c in target.connections]
        output = json.dumps(entry.lines, default=str)
        output += entry.host.counters.format_text({})
        output += str((users, target.statements, target.control_statements))
        for key in (KEY, OTHER_KEY, "key-of-nobody"):
            self.assertNotIn(key, output)
        self.assertIn('team_refused_total{team="a"} 1', output)
