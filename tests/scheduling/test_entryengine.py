"""Tests of the scheduling engine of an entry."""

import testtools

from egretthread.scheduling import entryengine, leaserule


class TestRestartedAgent(testtools.TestCase):
    def test_an_earlier_loss_of_the_link_does_not_shorten_the_fence(self):
        """The earlier process may have had runs until the new one started."""
        board = entryengine.new_board("e#1", "a", 0.0)
        for now_s, event in (
            (10.0, entryengine.on_link_open),
            (11.0, entryengine.on_link_closed),
            (11.05, entryengine.on_link_open),
        ):
            entryengine.set_time(board, now_s, 0.0)
            event(board, "agent#1")
        board.agents["agent#1"].fence_s = 22.0
        entryengine.set_time(board, 20.2, 0.0)
        entryengine.on_link_open(board, "agent#2")
        self.assertEqual(
            leaserule.fence_after_restart_s(20.2),
            board.agents["agent#1"].fence_s,
        )
