"""Tests of permits whose token expired while their operation was queued."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.entry.limits import permits


class ReleaseTest(testtools.TestCase):
    def test_token_that_comes_after_the_release_is_returned(self) -> None:
        # The token of a caller that had disconnected was lost to its team.
        quotas = mock.Mock()
        quotas.take_at_hand.return_value = None
        permit = permits.Permit(quotas, "t", b"1", 0.0, 20.0)

        async def wait_and_release() -> None:
            self.assertFalse(permit.confirm(10.0))
            await asyncio.sleep(0)
            permit.release()
            on_admitted = quotas.admit.call_args.args[3]
            on_admitted(permits.Permit(quotas, "t", b"1", 10.2, 20.0))

        asyncio.run(wait_and_release())
        quotas.give_back.assert_called_with("t", 10.2)
