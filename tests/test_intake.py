"""Tests of the limits on what a listener holds for its clients."""

import testtools

from egretthread import intake, settings
from egretthread.intake import Intake, IntakeLimits, Reason

# Links of an entry with the other processes of a large site.
LINKS = 300


class TestIntake(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.closed = []
        self.reasons = []
        self.intake = Intake(
            IntakeLimits(total_bytes=1_000_000, connections=8, stall_s=30.0),
            lambda reason, count: self.reasons.append((reason, count)),
        )

    def open(self, name, now_s=0.0):
        return self.intake.open(lambda: self.closed.append(name), now_s)

    def receive(self, client, size_kb, now_s=0.0, lines=0):
        return self.intake.receive(client, size_kb * 1000, lines, now_s)

    def test_requests_within_the_limit_stay(self):
        for number in range(8):
            self.assertTrue(self.receive(self.open(number), 125))
        self.assertEqual([], self.closed)

    # Guards against the end of a process by unfinished bodies.
    def test_requests_that_stand_still_longest_are_closed_first(self):
        self.receive(self.open("older"), 300, 0.0)
        self.receive(self.open("newer"), 300, 1.0)
        active = self.open("active")
        self.assertTrue(self.receive(active, 401, 5.0))
        self.assertEqual(["older"], self.closed)
        self.assertEqual([(Reason.BYTES, 1)], self.reasons)
        self.assertEqual(701_000, self.intake.total_bytes)

    # Guards against a full limit that shuts out ordinary callers.
    def test_large_requests_are_closed_before_small_ones(self):
        small = self.open("small")
        self.receive(small, 10)
        self.assertFalse(self.receive(self.open("large"), 991))
        self.assertEqual(["large"], self.closed)
        self.assertTrue(self.receive(small, 10))

    # Guards against the end of a process by bodies that wait for an answer.
    def test_requests_that_wait_for_a_response_count(self):
        waiting = self.open("waiting")
        self.receive(waiting, 900)
        self.intake.wait(waiting)
        self.assertTrue(self.receive(self.open("later", 0.1), 101, 0.1))
        self.assertEqual(["waiting"], self.closed)

    # Guards against the end of a process by what it reads before the memory of
    # closed connections is free.
    def test_a_turn_ends_after_a_share_of_the_limit(self):
        client = self.open("client")
        self.receive(client, 249)
        self.assertFalse(self.intake.pause())
        self.receive(client, 1)
        self.assertTrue(self.intake.pause())
        self.assertTrue(self.intake.is_paused)
        self.intake.start_turn()
        self.assertFalse(self.intake.is_paused)

    # Guards against a full limit that shuts out large requests of ordinary
    # callers after a crowd.
    def test_large_requests_that_began_first_are_closed_first(self):
        for number in range(4):
            self.receive(self.open(number, 0.1 * number), 200, 0.1 * number)
        latest = self.open("latest", 0.5)
        self.assertTrue(self.receive(latest, 100, 0.5))
        self.assertTrue(self.receive(latest, 150, 0.6))
        self.assertEqual([0, 1], self.closed)

    def test_a_response_releases_its_request(self):
        client = self.open("client")
        for _ in range(3):
            self.assertTrue(self.receive(client, 900))
            self.intake.wait(client)
            self.intake.reset(client, 0, 0, 0.0)
        self.assertEqual(0, self.intake.total_bytes)

    def test_a_closed_connection_releases_its_request(self):
        client = self.open("client")
        self.receive(client, 900)
        self.intake.discard(client)
        self.intake.discard(client)
        self.assertEqual(0, self.intake.total_bytes)
        self.assertEqual(set(), self.intake.clients)

    def test_the_start_of_the_next_request_counts(self):
        client = self.open("client")
        self.receive(client, 900)
        self.intake.wait(client)
        self.intake.reset(client, 400, 0, 0.0)
        self.assertEqual(400, self.intake.total_bytes)

    # Guards against a process without descriptors.
    def test_connections_without_a_request_make_room(self):
        waiting = self.open("waiting", 0.0)
        self.receive(waiting, 10, 0.0)
        self.intake.wait(waiting)
        served = self.open("served", 0.0)
        self.receive(served, 10, 0.0)
        self.intake.wait(served)
        self.intake.reset(served, 0, 0, 0.0)
        for number in range(6):
            self.open(number, 0.1 + number / 100)
        self.open("last", 0.3)
        self.assertEqual([0, 1], self.closed)

    def test_connections_that_all_wait_lose_one(self):
        for number in range(8):
            client = self.open(number, float(number))
            self.receive(client, 10, float(number))
            self.intake.wait(client)
        self.open("last", 9.0)
        self.assertEqual([0], self.closed)

    def test_a_request_that_stands_still_is_given_up(self):
        self.receive(self.open("stalled"), 10, 0.0)
        self.receive(self.open("slow"), 10, 20.0)
        waiting = self.open("waiting")
        self.receive(waiting, 10)
        self.intake.wait(waiting)
        self.open("new")
        self.intake.close_stalled(31.0)
        self.assertEqual(["stalled"], self.closed)
        self.assertEqual([(Reason.STALLED, 1)], self.reasons)

    # Guards against a process that hangs over chunks of one byte.
    def test_very_small_chunks_are_refused(self):
        client = self.open("client")
        client.is_chunked = True
        self.assertTrue(self.receive(client, 60, lines=intake.FREE_LINES))
        self.assertFalse(self.receive(client, 60, lines=2_000))
        self.assertEqual(["client"], self.closed)


class TestLimits(testtools.TestCase):
    def test_the_smallest_machines_take_several_of_the_largest_heartbeats(self):
        limits = intake.limits_of(128, 3075)
        self.assertGreater(limits.total_bytes, 4 * 4 * 2**20)

    def test_full_listeners_leave_descriptors_for_links(self):
        max_fds = 3075
        limits = intake.limits_of(128, max_fds)
        self.assertGreater(limits.connections, 1_900)
        listeners = limits.connections + 2 * intake.SMALL_LIMITS.connections
        taken = intake.FILE_DESCRIPTORS + listeners + settings.MAX_HANDSHAKES
        self.assertGreater(max_fds - taken, LINKS)
