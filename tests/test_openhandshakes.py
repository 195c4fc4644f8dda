"""Tests of the limit on connections without a complete handshake."""

import testtools

from egretthread.openhandshakes import OpenHandshakes


class OpenHandshakesTest(testtools.TestCase):
    def add(self, handshakes, *connections):
        """Adds connections, such as `a1` of host `a`; returns the closed."""
        closed = [handshakes.add(each, each[0]) for each in connections]
        return [each for each in closed if each is not None]

    def test_none_is_closed_within_the_limit(self):
        self.assertEqual([], self.add(OpenHandshakes(3), "a1", "a2", "b1"))

    def test_a_host_with_many_loses_its_oldest(self):
        handshakes = OpenHandshakes(3)
        closed = self.add(handshakes, "b1", "a1", "a2", "a3", "c1", "a4")
        self.assertEqual(["a1", "a2", "a3"], closed)
        self.assertEqual({"b1", "c1", "a4"}, set(handshakes.hosts))

    def test_the_oldest_is_closed_among_hosts_with_as_many(self):
        closed = self.add(OpenHandshakes(2), "b1", "a1", "c1", "d1")
        self.assertEqual(["b1", "a1"], closed)

    def test_the_oldest_counts_not_the_first_of_its_host(self):
        handshakes = OpenHandshakes(3)
        self.add(handshakes, "a1", "b1", "a2")
        handshakes.remove("a1")
        self.assertEqual(["b1"], self.add(handshakes, "c1", "d1"))

    def test_a_complete_handshake_makes_room(self):
        handshakes = OpenHandshakes(2)
        self.add(handshakes, "a1", "a2")
        handshakes.remove("a1")
        handshakes.remove("a1")
        self.assertEqual([], self.add(handshakes, "a3"))

    def test_nothing_is_kept_of_hosts_that_left(self):
        handshakes = OpenHandshakes(2)
        self.add(handshakes, "a1", "b1", "c1")
        for task in ("a1", "b1", "c1"):
            handshakes.remove(task)
        self.assertEqual(({}, {}), (handshakes.hosts, handshakes.tasks_by_host))
