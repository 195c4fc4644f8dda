"""Tests of the memory of cancelled jobs."""

import testtools

from egretthread.scheduling import cancelbook


class TestCancelBook(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.book = cancelbook.CancelBook()

    def test_a_job_is_remembered_for_some_time(self):
        self.book.add("a", 100.0)
        late_s = 100.0 + cancelbook.MEMORY_S
        self.assertTrue(self.book.holds("a", late_s - 0.1))
        self.assertFalse(self.book.holds("a", late_s))
        self.assertEqual([], self.book.jobs(late_s))
        self.book.add("b", late_s)
        self.assertEqual(["b"], list(self.book.cancelled_s))

    def test_a_job_that_is_cancelled_again_is_remembered_longer(self):
        self.book.add("a", 100.0)
        self.book.add("b", 101.0)
        self.book.add("a", 102.0)
        self.assertEqual(["b", "a"], self.book.jobs(103.0))

    def test_the_number_of_jobs_is_bounded(self):
        self.patch(cancelbook, "MAX_JOBS", 2)
        for number in range(5):
            self.book.add(f"j{number}", 100.0)
        self.assertEqual(["j3", "j4"], self.book.jobs(100.0))
