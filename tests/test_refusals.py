"""Tests that refused assignments and cancellations cost few messages."""

import collections

import testtools

from egretthread import witness
from egretthread.outcome import OutcomeKind
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
TASK_MESSAGES = ("Assign", "Report", "Want", "Credit")


def settled(seed, agents=6):
    """Returns a started region."""
    region = world.World(seed, entries=2, agents=agents, faults=False)
    region.run(SETTLE_S)
    return region


def sent_since(region, before):
    """Returns the number of task messages sent since an earlier count."""
    sent = region.sent_counts - before
    return sum(sent[name] for name in TASK_MESSAGES)


def kinds(answer):
    """Counts the outcomes of an answer by kind."""
    return collections.Counter(outcome.kind for outcome in answer.outcomes)


class RefusalTest(testtools.TestCase):
    def run_job(self, region, tasks, deadline_s):
        before = region.sent_counts.copy()
        job = region.new_submission("storm", tasks, deadline_s=deadline_s)
        request = region.submit("e1", job)
        region.run_until(lambda: request.result, deadline_s + 5.0)
        return request.result, sent_since(region, before)

    def test_half_the_servers_refuse_everything(self):
        plain = settled(11, agents=3)
        _, plain_sent = self.run_job(plain, 60, 29.0)
        region = settled(11)
        for name in ("a1", "a2", "a3"):
            region.processes[name].refuses_tasks = True
        answer, sent = self.run_job(region, 60, 29.0)
        self.assertTrue(answer.complete)
        self.assertTrue(sent <= plain_sent + 120)

    def test_all_servers_refuse_everything(self):
        region = settled(12)
        for name in region.agent_names:
            region.processes[name].refuses_tasks = True
        begun_s = region.now_s
        answer, sent = self.run_job(region, 60, 20.0)
        self.assertEqual({OutcomeKind.NOT_RUN: 60}, kinds(answer))
        self.assertTrue(20.0 <= region.now_s - begun_s <= 20.2)
        self.assertTrue(sent <= 60 * 6)

    def test_servers_that_recover_get_work_again(self):
        region = settled(13)
        for name in region.agent_names:
            region.processes[name].refuses_tasks = True
        job = region.new_submission("later", 60, deadline_s=29.0)
        request = region.submit("e1", job)
        region.run(8.0)
        for name in region.agent_names:
            region.processes[name].refuses_tasks = False
        region.run_until(lambda: request.result, 25.0)
        self.assertTrue(request.result.complete)


class CancellationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.region = settled(14)
        self.board = self.region.processes["e1"].board
        jobs = [
            self.region.new_submission(f"j{n}", 5, deadline_s=29.0)
            for n in range(200)
        ]
        self.jobs = [job.job for job in jobs]
        self.requests = [self.region.submit("e1", job) for job in jobs]
        self.region.run(0.1)
        queue = self.board.queues[world.SERVICE]
        self.assertTrue(len(queue) > 900)

    def cancel(self, entry):
        before = self.region.sent_counts.copy()
        for job in self.jobs:
            self.region.cancel(entry, job)
        # Tasks that are already running may take 2 s.
        self.region.run(3.0)
        self.assertEqual(0, len(self.board.queues[world.SERVICE]))
        self.assertEqual({}, self.board.open_jobs)
        for request in self.requests:
            counts = kinds(request.result)
            self.assertEqual(5, counts["done"] + counts["not_run"])
        starts = self.region.oracle.counts["starts"]
        self.assertTrue(starts < 100)
        return self.region.sent_counts - before

    def test_cancelling_all_queued_jobs_empties_the_queue(self):
        sent = self.cancel("e1")
        # Each unfinished job is closed once at its three witnesses.
        self.assertTrue(sent["Accept"] <= 3 * 200)
        self.assertTrue(sent["WitnessReply"] <= 3 * 200)
        self.assertTrue(sum(sent[name] for name in TASK_MESSAGES) <= 200)

    def test_cancelling_through_another_entry(self):
        sent = self.cancel("e2")
        self.assertTrue(sent["Look"] <= 3 * 200)
        self.assertTrue(sent["CancelJob"] <= 200)
        # Each Ask gets two replies: that the job runs, and its answer.
        self.assertTrue(sent["Ask"] <= 200)
        self.assertTrue(sent["AskReply"] <= 2 * 200)
