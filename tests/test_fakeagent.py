"""Tests of the benchmark's simulated agent."""

import testtools

from egretthread import jobkey
from egretthread.credit import CreditRule
from egretthread_bench import fakeagent
from egretthread_bench.eventloop import EventLoop
from egretthread_bench.experiment import Rule
from egretthread_bench.network import Network

JOB = jobkey.JobRef("dublin", jobkey.make_key(1.0, "job"))


class RecordingEntry:
    def __init__(self, node):
        self.node = node
        self.reports = []

    def on_report(self, report):
        self.reports.append(report)


class FakeAgentTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = EventLoop()
        self.entry = RecordingEntry("entry0#1")
        self.second_entry = RecordingEntry("entry1#1")

    def agent(self, rule):
        network = Network(self.loop, 0.001)
        return fakeagent.FakeAgent("agent0#1", "zone0", 2, rule, network)

    def starts(self, count):
        return [fakeagent.Start(JOB, index, 0.1) for index in range(count)]

    def test_refuses_what_exceeds_slots_and_queue(self):
        agent = self.agent(Rule(credit=CreditRule(lookahead=1)))
        agent.on_assign(self.entry, self.starts(4), 0, 0.0, True)
        self.loop.run(lambda: bool(self.entry.reports))
        refused = self.entry.reports[0].refused
        self.assertEqual([3], [task.index for task in refused])
        self.assertEqual((2, 1), (agent.running, len(agent.waiting)))

    def test_reports_a_job_once_all_of_its_tasks_have_finished(self):
        agent = self.agent(Rule(credit=CreditRule(lookahead=2, batch=2)))
        agent.on_assign(self.entry, self.starts(4), 0, 0.0, True)
        self.loop.run(lambda: False)
        self.assertEqual(1, len(self.entry.reports))
        finished = self.entry.reports[0].finished
        self.assertEqual([0, 1, 2, 3], sorted(t.index for t in finished))

    def test_credits_the_entry_that_waits_longest(self):
        agent = self.agent(Rule(credit=CreditRule(hold_s=1.0)))
        agent.on_assign(self.entry, self.starts(2), 0, 0.0, True)
        agent.on_want(self.entry, 1, 5.0, False)
        agent.on_want(self.second_entry, 1, 2.0, False)
        self.loop.run(lambda: bool(self.second_entry.reports))
        self.assertEqual(1, self.second_entry.reports[0].credit)

    def test_an_unused_credit_lapses(self):
        agent = self.agent(Rule(credit=CreditRule(hold_s=0.02)))
        agent.on_want(self.entry, 2, 0.0, False)
        self.assertEqual(0, agent.free)
        self.loop.run(lambda: False)
        self.assertEqual((2, 1), (agent.free, agent.lapsed_credits))
