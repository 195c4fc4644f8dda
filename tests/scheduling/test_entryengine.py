"""Tests of the scheduling engine of an entry."""

import dataclasses

import testtools

from egretthread.scheduling import (
    agentviews,
    entryengine,
    keptjobs,
    leaserule,
)
from egretthread.scheduling.forwardboard import ReceivedJob
from egretthread.scheduling.jobspec import OperatorState
from tests.scheduling import region


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

    # TWICE: the runs of an agent that lost its link first go on until its end.
    def test_a_loss_of_the_link_before_the_end_does_not_shorten_the_fence(self):
        board = entryengine.new_board("e#1", "a", 0.0)
        for now_s, event, node in (
            (10.0, entryengine.on_link_open, "agent#1"),
            (20.0, entryengine.on_link_closed, "agent#1"),
            (20.5, entryengine.on_link_open, "agent#2"),
        ):
            entryengine.set_time(board, now_s, 0.0)
            event(board, node)
            board.agents["agent#1"].fence_s = 22.0
        entryengine.set_time(board, 20.6, 0.0)
        entryengine.on_link_open(board, "agent#2")
        # The earlier process may have renewed the lease until 20.5 s.
        self.assertGreaterEqual(
            board.agents["agent#1"].fence_s,
            20.5 + leaserule.max_server_lease_s(),
        )


class TestPausedEntry(testtools.TestCase):
    # Guards against TWICE: an entry woke from a pause and dispatched kept jobs
    # on a message of an agent, before a tick released their partitions.
    def test_partitions_are_lost_at_their_time_whatever_comes_first(self):
        board = entryengine.new_board("e#1", "a", 0.0)
        keptjobs.on_assigned(board, 1, [0, 1], until_s=2.3)
        entryengine.set_time(board, 2.29, 0.0)
        self.assertEqual({0, 1}, set(board.kept.partitions))
        entryengine.set_time(board, 2.31, 0.0)
        self.assertEqual({}, board.kept.partitions)


class TestServices(testtools.TestCase):
    def test_agents_are_sent_the_named_services_when_they_changed(self):
        board = entryengine.new_board("e#1", "a", 0.0)

        def sent():
            (reply,) = [message for _, message in board.outbox]
            board.outbox.clear()
            return reply.services

        entryengine.on_link_open(board, "agent#1")
        view = board.agents["agent#1"]
        for offset, services in ((1, ("match",)), (2, ("lookup", "match"))):
            state = OperatorState(offset, offset, services=services)
            entryengine.on_operators(board, state)
            self.assertEqual(services, sent())
            agentviews.send_heartbeat_reply(board, view)
            self.assertEqual((), sent())
        entryengine.on_link_open(board, "agent#1")
        agentviews.send_heartbeat_reply(board, view)
        self.assertEqual(("lookup", "match"), sent())


class TestCancellation(testtools.TestCase):
    # Guards against UNASKED: a cancelled job went on for another caller.
    def test_a_forwarded_job_is_cancelled_for_all_its_callers(self):
        world = region.Region(entries=1, agents=1, work_s=lambda name: 5.0)
        world.run(2.0)
        world.submit(region.job("j"), "e0", 9.0)
        world.run(0.2)
        board = world.entries["e0"].board
        board.forwarding.received["j"] = ReceivedJob(
            1, "e1#1", 100.0, board.now_s, is_joined=True
        )
        self.assertTrue(entryengine.cancel_for_all(board, "j", "cancelled"))
        self.assertEqual({}, board.jobs)
        self.assertEqual({}, board.forwarding.received)
        self.assertFalse(entryengine.cancel_for_all(board, "j", "cancelled"))

    def test_a_kept_job_is_not_cancelled_without_the_store(self):
        world = region.Region(entries=1, agents=1, work_s=lambda name: 5.0)
        world.run(6.0)
        world.submit_kept(dataclasses.replace(region.job("k"), kept=True))
        world.run(0.2)
        board = world.entries["e0"].board
        self.assertFalse(entryengine.cancel_for_all(board, "k", "cancelled"))
        self.assertIn("k", board.jobs)
