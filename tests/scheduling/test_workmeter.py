"""Tests of the rates of work."""

import testtools

from egretthread.scheduling import workmeter


class TestWorkMeter(testtools.TestCase):
    def test_the_rate_of_steady_work(self):
        meter = workmeter.WorkMeter()
        for number in range(500):
            meter.add(number * 0.01, 1, 20.0)
        self.assertAlmostEqual(2000, meter.rate(5.0, 1), delta=50)

    def test_more_urgent_work_is_not_counted(self):
        meter = workmeter.WorkMeter()
        meter.add(1.0, 0, 50.0)
        meter.add(1.0, 2, 20.0)
        self.assertEqual(20.0, meter.rate(1.0, 1))

    def test_old_work_decays(self):
        meter = workmeter.WorkMeter()
        meter.add(1.0, 0, 50.0)
        self.assertLess(meter.rate(6.0, 0), 1.0)
