"""Tests of taking over a job whose coordinator was lost."""

import testtools

from egretthread import members, witness
from egretthread.outcome import OutcomeKind
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
SLOW_S = 0.5


def _settled(seed: int) -> world.World:
    region = world.World(seed, faults=False)
    region.run(SETTLE_S)
    return region


def _delay_all_but(region: world.World, name: str, keep: str) -> None:
    """Delays an entry's messages to all agents but one."""
    process = region.processes[name]
    for link in process.links:
        other = link.peer_of(process)
        if other.kind == "agent" and other.name != keep:
            link.delay_s = SLOW_S


def _kinds(request) -> list[OutcomeKind]:
    return [outcome.kind for outcome in request.result.outcomes]


class RecoveryTest(testtools.TestCase):
    def test_closed_job_stays_closed_despite_a_losing_claim(self):
        # Regression: a claim that only one witness had granted hid from the
        # next coordinator that the job was closed (fuzz seed 76, found with
        # a mutated copy of the sources).
        region = _settled(1)
        job = region.new_submission("raced", 60)
        membership = region.processes["e3"].board.membership
        number = members.shard_of(job.job, membership.shard_count)
        witnesses = membership.shards[number].members
        _delay_all_but(region, "e3", witnesses[0])
        region.submit("e3", job)
        region.run(0.01)
        region.kill("e3")
        first = region.submit("e2", job)
        region.run(0.02)
        region.cancel("e2", job.job)
        self.assertTrue(region.run_until(lambda: first.result, 20.0))
        self.assertIn(OutcomeKind.NOT_RUN, _kinds(first))
        region.kill("e2")
        # The majority that answers e1 first contains the losing claim.
        region.processes["e1"].link_to(
            region.processes[witnesses[2]].node
        ).delay_s = SLOW_S
        second = region.submit("e1", job)
        self.assertTrue(region.run_until(lambda: second.result, 30.0))
        self.assertEqual(_kinds(first), _kinds(second))

    def test_refusal_after_stepping_down_reports_started_tasks(self):
        # Regression: an entry that had stepped down refused a job with
        # `started` false although it had assigned tasks before (fuzz seeds
        # 1149, 2082 and 4075).
        region = _settled(2)
        region.rng.seed(2)
        job = region.new_submission("long", 60, deadline_s=6.0)
        first = region.submit("e1", job)
        region.run(0.02)
        pairs = {frozenset(("e1", name)) for name in ("e2", "e3")}
        region.partition(set(), pairs)
        region.run(4.0)
        region.submit("e2", job)
        region.run(0.5)
        region.kill("e2")
        region.run(10.0)
        self.assertIsNotNone(first.result)
        self.assertTrue(getattr(first.result, "started", True))

    def test_new_agent_gets_tasks_only_after_its_registration(self):
        region = _settled(3)
        job = region.new_submission("grows", 190, deadline_s=30.0)
        coordinator = region.processes["e1"]
        membership = coordinator.board.membership
        number = members.shard_of(job.job, membership.shard_count)
        witnesses = membership.shards[number].members
        name = next(n for n in region.agent_names if n not in witnesses)
        region.submit("e1", job)
        region.run(0.05)
        for other in witnesses[:2]:
            node = region.processes[other].node
            region.blackhole_link(coordinator.link_to(node))
        region.restart(name)
        node = region.processes[name].node
        region.run(2.0)
        self.assertIn(node, coordinator.board.agents)
        self.assertEqual([], [key for key in region.assigned_by if node in key])
        region.run(8.0)
        self.assertNotEqual(
            [], [key for key in region.assigned_by if node in key]
        )
