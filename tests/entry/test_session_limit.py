"""Tests of a host whose sessions use all descriptors that they may."""

import functools

import testtools

from knapweedtally.core.groups import session_limit
from tests.entry import harness

MAX_SESSIONS = 3
MAX_DESCRIPTORS = (
    session_limit.FILE_DESCRIPTORS + session_limit.MIN_SET_ASIDE + MAX_SESSIONS
)

with_full_host = functools.partial(
    harness.with_system, limits={"maxFds": MAX_DESCRIPTORS}
)


class LimitTest(testtools.TestCase):
    def test_some_descriptors_are_set_aside(self) -> None:
        self.assertIsNone(session_limit.compute_max_sessions(0))
        for descriptors in (1, 200, 4300, 8192):
            limit = session_limit.compute_max_sessions(descriptors)
            assert limit is not None
            self.assertGreater(limit, 0)
            if descriptors > 1000:
                self.assertLessEqual(limit, descriptors - 456)

    # Guards against a host that ends, with all its sessions, as it is full.
    @with_full_host()
    async def test_full_host_refuses_callers_and_keeps_those_it_has(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        callers = [harness.Caller(entry.port) for _ in range(MAX_SESSIONS)]
        for caller in callers:
            self.assertEqual("READY I -", await caller.start("g-primary"))
        self.assertTrue(entry.host.is_ready())
        refused = harness.Caller(entry.port)
        answer = await refused.start("g-primary")
        self.assertTrue(answer.startswith("ERROR BUSY"), answer)
        self.assertTrue(await refused.wait_for_close())
        for caller in callers:
            answers = await caller.run("WRITE item 1")
            self.assertTrue(answers[0].startswith("DONE "))
        self.assertEqual(1, len(entry.find_lines("host_full")))
        # Others come to it for as long as it may not have told the balancer.
        self.assertFalse(entry.host.is_ready())
        await harness.wait_for(entry.host.is_ready)
        callers.pop().close()
        await harness.wait_for(lambda: len(entry.host.sessions) < MAX_SESSIONS)
        later = harness.Caller(entry.port)
        self.assertEqual("READY I -", await later.start("g-primary"))
