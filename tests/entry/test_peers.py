"""Tests of the exchange of evidence with other hosts."""

from unittest import mock

import testtools

from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import peer_messages
from knapweedtally.entry.fleet import peers
from knapweedtally.platform import settings

ADDRESS = ("127.0.0.1", 9)
SHARED = sharing.SharedEvidence(
    "g", "i-1", 3, 0.1, 0.1, 0.1, model.Position(3, 12)
)


class EchoTest(testtools.TestCase):
    """Which echoed times are used to compute the offset between clocks."""

    def setUp(self) -> None:
        super().setUp()
        self.sent_times_s: list[float] = []
        host_settings = mock.Mock(spec=settings.HostSettings)
        host_settings.host, host_settings.data_centre = "h1", "dc"
        host_settings.peers = settings.Address(*ADDRESS)
        self.now_s = 50.0
        patch = mock.patch.object(clock, "get_time_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.peers = peers.Peers(
            host_settings,
            mock.Mock(),
            logs.Log("h1", -1),
            lambda shared, sent_here_s, host: self.sent_times_s.append(
                sent_here_s
            ),
        )
        self.now_s = 60.0

    def receive_echo(self, echoed_s: float) -> None:
        message = peer_messages.PeerMessage(
            "h2", "dc", 7, 1000.0, echoed_s, 0.5, (SHARED,)
        )
        self.peers.datagram_received(
            peer_messages.encode_message(message), ADDRESS
        )

    def test_echo_of_this_process_is_used(self) -> None:
        self.receive_echo(59.0)
        self.assertEqual(self.sent_times_s, [59.5])

    def test_echo_of_an_earlier_boot_is_ignored(self) -> None:
        # The clock of the earlier boot was ahead of this boot's, or behind the
        # start of this process.
        for echoed_s in (5000.0, 40.0):
            self.receive_echo(echoed_s)
        self.assertEqual(self.sent_times_s, [])
        self.receive_echo(59.0)
        self.assertEqual(self.sent_times_s, [59.5])
