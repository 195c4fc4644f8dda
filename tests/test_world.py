"""Tests of the engines in the simulated region, with few faults."""

import testtools

from egretthread import witness
from egretthread.outcome import OutcomeKind
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


def _settled(seed: int, entries: int = 2) -> world.World:
    region = world.World(seed, entries=entries, faults=False)
    region.run(SETTLE_S)
    return region


class WorldTest(testtools.TestCase):
    def test_plain_job_completes(self):
        region = _settled(1)
        job = region.new_submission("plain", 20)
        request = region.submit("e1", job)
        self.assertTrue(region.run_until(lambda: request.result, 20.0))
        self.assertTrue(request.result.complete)

    def test_resubmission_elsewhere_gives_the_same_answer(self):
        region = _settled(2)
        job = region.new_submission("twice", 20)
        first = region.submit("e1", job)
        region.run(0.05)
        second = region.submit("e2", job)
        region.run_until(lambda: first.result and second.result, 20.0)
        self.assertEqual(first.result, second.result)
        self.assertEqual(20, region.oracle.counts["starts"])

    def test_other_content_is_a_conflict(self):
        region = _settled(3)
        job = region.new_submission("same", 3)
        first = region.submit("e1", job)
        other = region.new_submission("same", 3, tag="other")
        self.assertEqual(job.job, other.job)
        second = region.submit("e2", other)
        region.run_until(lambda: first.result and second.result, 20.0)
        # The two submissions race, so either may be the one that is refused.
        results = (first.result, second.result)
        refusals = [r for r in results if isinstance(r, Refusal)]
        self.assertEqual(["key_conflict"], [r.kind for r in refusals])
        self.assertEqual(3, region.oracle.counts["starts"])

    def test_every_task_is_accounted_for_after_its_coordinator_died(self):
        region = _settled(4)
        job = region.new_submission("orphan", 20)
        region.submit("e1", job)
        region.run(0.1)
        region.kill("e1")
        request = region.submit("e2", job)
        region.run_until(lambda: request.result, 20.0)
        kinds = {outcome.kind for outcome in request.result.outcomes}
        self.assertEqual({OutcomeKind.DONE}, kinds)
        self.assertEqual(20, region.oracle.counts["starts"])
