"""Tests of the exchange with other hosts."""

from unittest import mock

import testtools

from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry import clock
from knapweedtally.entry import logs
from knapweedtally.entry import peer_messages
from knapweedtally.entry import peers
from knapweedtally.platform import settings

ADDRESS = ("127.0.0.1", 9)
SHARED = sharing.SharedEvidence(
    "g", "i-1", 3, 0.1, 0.1, 0.1, model.Position(3, 12)
)


class EchoTest(testtools.TestCase):
    """Which echoes relate another host's clock to this one's."""

    def setUp(self) -> None:
        super().setUp()
        self.told: list[float] = []
        configured = mock.Mock(spec=settings.HostSettings)
        configured.host, configured.data_centre = "h1", "dc"
        configured.peers = settings.Address(*ADDRESS)
        self.now_s = 50.0
        patch = mock.patch.object(clock, "get_time_s", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.peers = peers.Peers(
            configured,
            mock.Mock(),
            logs.Log("h1", -1),
            lambda shared, sent_here_s: self.told.append(sent_here_s),
        )
        self.now_s = 60.0

    def receive(self, echoed_s: float) -> None:
        message = peer_messages.PeerMessage(
            "h2", "dc", 7, 1000.0, echoed_s, 0.5, (SHARED,)
        )
        self.peers.datagram_received(
            peer_messages.encode_message(message), ADDRESS
        )

    def test_echo_of_this_process_relates_the_clocks(self) -> None:
        self.receive(59.0)
        self.assertEqual(self.told, [59.5])

    def test_echo_of_an_earlier_boot_relates_nothing(self) -> None:
        # Its clock had run longer than this boot's, or less long.
        for echoed_s in (5000.0, 40.0):
            self.receive(echoed_s)
        self.assertEqual(self.told, [])
        self.receive(59.0)
        self.assertEqual(self.told, [59.5])
