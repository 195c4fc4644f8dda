"""Tests of the fair queue."""

import collections

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from egretthread import fairqueue, jobkey


def ref(organisation, number=1):
    return jobkey.JobRef(organisation, jobkey.make_key(number, "job"))


class FairQueueTest(testtools.TestCase):
    def fill(self, sizes, weights=None):
        queue = fairqueue.FairQueue()
        for name, size in sizes.items():
            weight = (weights or {}).get(name, 1.0)
            queue.push(name, weight, ref(name), range(size), 0.0)
        return queue

    def test_shares_follow_weights(self):
        queue = self.fill({"a": 90, "b": 90}, {"a": 2.0, "b": 1.0})
        taken = collections.Counter(
            queue.pop()[0].organisation for _ in range(60)
        )
        self.assertEqual({"a": 40, "b": 20}, dict(taken))

    def test_idle_organisation_does_not_wait_behind_a_backlog(self):
        queue = self.fill({"a": 1000})
        for _ in range(500):
            queue.pop()
        queue.push("b", 1.0, ref("b"), range(10), 5.0)
        taken = [queue.pop()[0].organisation for _ in range(21)]
        self.assertEqual(10, taken.count("b"))

    def test_small_job_overtakes_a_large_one_within_its_allowance(self):
        queue = fairqueue.FairQueue(wait_allowance_s=0.1)
        queue.push("a", 1.0, ref("a", 1), range(50), 0.0)
        queue.push("a", 1.0, ref("a", 2), [0], 4.8)
        queue.push("a", 1.0, ref("a", 3), [0], 5.2)
        self.assertEqual(ref("a", 2), queue.pop()[0])
        self.assertAlmostEqual(0.0, queue.urgency_s(5.0))
        large = [queue.pop()[0] for _ in range(50)]
        self.assertEqual([ref("a", 1)] * 50, large)

    def test_without_an_allowance_jobs_are_served_in_order(self):
        queue = fairqueue.FairQueue(wait_allowance_s=0.0)
        queue.push("a", 1.0, ref("a", 1), [0, 1], 0.0)
        queue.push("a", 1.0, ref("a", 2), [0], 1.0)
        self.assertEqual(4.0, queue.oldest_wait_s(4.0))
        self.assertEqual((ref("a", 1), 0), queue.pop())
        queue.requeue("a", 1.0, ref("a", 1), [0], 0.0)
        order = [queue.pop() for _ in range(4)]
        self.assertEqual(
            [(ref("a", 1), 0), (ref("a", 1), 1), (ref("a", 2), 0), None],
            order,
        )

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "pop", "remove", "requeue"]),
                st.sampled_from("abc"),
                st.integers(1, 3),
                st.integers(0, 4),
            ),
            max_size=60,
        )
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_no_task_is_lost_or_duplicated(self, steps):
        queue = fairqueue.FairQueue()
        waiting = set()
        last = None
        for number, (step, name, job, size) in enumerate(steps):
            if step == "push":
                fresh = range(number * 10, number * 10 + size)
                queue.push(name, 1.0, ref(name, job), fresh, number)
                waiting |= {(ref(name, job), index) for index in fresh}
            elif step == "remove":
                removed = queue.remove(ref(name, job))
                gone = {(ref(name, job), index) for index in removed}
                self.assertEqual(
                    {task for task in waiting if task[0] == ref(name, job)},
                    gone,
                )
                waiting -= gone
            elif step == "requeue" and last is not None:
                organisation = last[0].organisation
                queue.requeue(organisation, 1.0, last[0], [last[1]], number)
                waiting.add(last)
                last = None
            elif step == "pop":
                last = queue.pop()
                self.assertEqual(bool(waiting), last is not None)
                waiting.discard(last)
            self.assertEqual(len(waiting), len(queue))
            self.assertEqual(len(waiting), sum(queue.counts().values()))
        drained = {queue.pop() for _ in range(len(queue))}
        self.assertEqual(waiting, drained)
