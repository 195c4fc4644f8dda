"""The rule CONFIG is broken on purpose, and kept by what it allows."""

import unittest

from egretthread_standins.soak import configrule
from tests.soak import history as h


class ConfigTest(unittest.TestCase):
    versions = (
        h.configuration(0.0, 1, "/a/"),
        h.configuration(10.0, 3, "/a/", "/b/"),
        h.configuration(20.0, 4, "/a/"),
    )

    def broken(self, *events):
        ordered = sorted((*self.versions, *events), key=lambda e: e.at_s)
        return configrule.late_configurations(ordered)

    def test_a_route_that_is_not_there_in_time_is_found(self):
        (broken,) = self.broken(h.queue(12.1, "/b/", 404))
        self.assertEqual("CONFIG", broken.rule)
        self.assertIn("entry-1", broken.text)

    def test_a_dropped_route_that_is_still_served_is_found(self):
        self.assertEqual(1, len(self.broken(h.queue(22.1, "/b/", 200))))

    def test_a_route_that_never_was_is_found(self):
        self.assertEqual(1, len(self.broken(h.queue(5.0, "/never/", 200))))

    def test_a_job_run_with_a_dropped_route_is_found(self):
        fields = {"prefix": "/b/", "pid": 1, "connection": "new"}
        job = h.request(23.0, "POST", 200, 22.5, **fields)
        self.assertEqual(1, len(self.broken(job)))

    def test_both_answers_are_allowed_around_a_change(self):
        for sent in (9.995, 10.5, 11.9):
            for status in (200, 404):
                self.assertEqual([], self.broken(h.queue(sent, "/b/", status)))

    def test_the_bounds_do_not_add_up(self):
        # The disturbance ends at 11 s and contact is back at 14 s, after the
        # 2 s of the configuration.
        disturbed = h.disturbance(9.0, 11.0, "entry-1")
        allowed = [*disturbed, h.queue(13.9, "/b/", 404)]
        self.assertEqual([], self.broken(*allowed))
        late = [*disturbed, h.queue(14.1, "/b/", 404)]
        self.assertEqual(1, len(self.broken(*late)))

    def test_disturbances_of_others_are_no_excuse(self):
        late = h.queue(12.1, "/b/", 404)
        for target in ("entry-2", "agent-1"):
            events = [*h.disturbance(9.0, 12.0, target), late]
            self.assertEqual(1, len(self.broken(*events)))
        self.assertEqual(
            [], self.broken(*h.disturbance(9.0, 12.0, "store"), late)
        )

    def test_an_answer_by_an_older_version_is_found(self):
        events = [h.queue(10.1, "/b/", 200), h.queue(11.0, "/b/", 404)]
        (broken,) = self.broken(*events)
        self.assertIn("the same process", broken.text)

    def test_a_regress_has_no_excuse(self):
        events = [
            *h.disturbance(10.2, 10.9, "entry-1"),
            h.queue(10.1, "/b/", 200),
            h.queue(11.0, "/b/", 404),
        ]
        self.assertEqual(1, len(self.broken(*events)))

    def test_another_incarnation_may_begin_with_an_older_version(self):
        events = [h.queue(10.1, "/b/", 200), h.queue(11.0, "/b/", 404, pid=2)]
        self.assertEqual([], self.broken(*events))

    def test_answers_may_overtake_each_other(self):
        events = [h.queue(10.1, "/b/", 200), h.queue(10.2, "/b/", 404)]
        self.assertEqual([], self.broken(*events))
