"""Tests of placement, each for one load pattern."""

import dataclasses

import testtools

from egretthread.scheduling import placing
from egretthread.scheduling.jobspec import StepSpec
from egretthread.scheduling.room import Room

SPEC = StepSpec(8, Room(3000, 64, 0), 0.1)
CAPACITY = Room(32_000, 131_072, 0)


def candidate(node, cpu=32_000, speed=1.0, is_near=True):
    room = Room(cpu, 131_072, 0)
    return placing.Candidate(node, is_near, room, CAPACITY, speed)


RACK_SPEC = dataclasses.replace(SPEC, data_rack="r1")


def place(candidates, count=1, avoided_agents=frozenset(), reserved_share=0.0):
    nodes = []
    for _ in range(count):
        chosen = placing.choose(
            candidates, SPEC, 0.1, avoided_agents, reserved_share
        )
        nodes.append(chosen.node if chosen else None)
        if chosen:
            placing.allocate(chosen, SPEC)
    return nodes


class TestChoose(testtools.TestCase):
    def test_a_slow_server_gets_nothing_while_another_has_capacity(self):
        candidates = [candidate("slow", speed=0.2), candidate("a")]
        self.assertEqual(["a"] * 8, place(candidates, 8))

    def test_a_full_server_is_not_chosen(self):
        candidates = [candidate("full", cpu=2000), candidate("a", speed=0.5)]
        self.assertEqual(["a"], place(candidates))

    def test_a_task_is_placed_on_the_rack_of_its_data(self):
        """The server on that rack is busy, those on other racks are idle."""
        near = candidate("near", cpu=4000)
        near.labels = ("a", "r1")
        for others in ([candidate("far")], [candidate("fast", speed=1.5)]):
            chosen = placing.choose(
                [*others, near], RACK_SPEC, 0.1, set(), remote_factor=2.0
            )
            self.assertEqual("near", chosen.node)

    def test_a_much_faster_server_is_preferred_to_the_rack_of_the_data(self):
        near = candidate("near", speed=0.3)
        near.labels = ("a", "r1")
        chosen = placing.choose(
            [candidate("far"), near], RACK_SPEC, 0.1, set(), remote_factor=2.0
        )
        self.assertEqual("far", chosen.node)

    def test_a_wide_job_spreads_over_equal_servers(self):
        candidates = [candidate("a"), candidate("b")]
        nodes = place(candidates, 8)
        self.assertEqual(4, nodes.count("a"))

    def test_work_stays_in_the_zone_unless_it_is_full(self):
        near = candidate("near", cpu=4000)
        far = candidate("far", is_near=False, speed=1.2)
        self.assertEqual(["near", "far"], place([near, far], 2))

    def test_a_server_on_which_the_task_failed_is_the_last_resort(self):
        candidates = [candidate("a", speed=2.0), candidate("b")]
        self.assertEqual(["b"], place(candidates, avoided_agents={"a"}))
        self.assertEqual(["a"], place(candidates[:1], avoided_agents={"a"}))

    def test_a_failed_task_is_not_returned_to_the_only_idle_server(
        self,
    ):
        """A server that fails every task is idle while the others are full."""
        candidates = [candidate("broken"), candidate("full", cpu=0)]
        self.assertEqual([None], place(candidates, avoided_agents={"broken"}))

    def test_no_server_has_enough_capacity(self):
        self.assertEqual([None], place([candidate("a", cpu=2999)]))

    def test_less_urgent_tasks_leave_the_reserved_share_free(self):
        self.assertEqual([None], place([candidate("a", cpu=5000)], 1, (), 0.1))
        self.assertEqual(["a"], place([candidate("a", cpu=6300)], 1, (), 0.1))

    # Guards against a task that waits for good beside idle backend servers,
    # since it takes more of one than the reserve leaves.
    def test_a_task_larger_than_the_unreserved_share_uses_an_idle_server(self):
        spec = dataclasses.replace(SPEC, room=Room(30_400, 64, 0))
        for cpu, expected in ((32_000, "a"), (31_999, None)):
            chosen = placing.choose(
                [candidate("a", cpu=cpu)], spec, 0.1, set(), 0.1
            )
            self.assertEqual(expected, chosen.node if chosen else None)


class TestChooseQueue(testtools.TestCase):
    def test_an_urgent_task_is_queued_at_the_least_loaded_server(self):
        candidates = [candidate("a", cpu=-2000), candidate("b", cpu=1000)]
        chosen = placing.choose_queue(candidates, SPEC, frozenset())
        self.assertEqual("b", chosen.node)

    def test_the_queue_length_is_limited(self):
        candidates = [candidate("a", cpu=-2000)]
        self.assertIsNone(placing.choose_queue(candidates, SPEC, frozenset()))

    def test_a_task_is_not_queued_at_a_server_on_which_it_failed(self):
        candidates = [candidate("a", cpu=1000)]
        self.assertIsNone(placing.choose_queue(candidates, SPEC, {"a"}))
