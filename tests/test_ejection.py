"""Tests of ejection and probation."""

import testtools

from egretthread import ejection


def views(*shares):
    return [
        ejection.HealthView(f"n{number}", share, 100)
        for number, share in enumerate(shares)
    ]


class EjectionTest(testtools.TestCase):
    def test_failing_servers_are_ejected_up_to_the_limit(self):
        agents = views(1.0, 0.9, 1.0, 0.0, 0.1, 0.0, 0.0, 0.0, 0.0, 0.0)
        self.assertEqual({"n0", "n2"}, ejection.ejected(agents, 0.2))
        self.assertEqual({"n0", "n1", "n2"}, ejection.ejected(agents, 0.5))

    def test_the_last_server_is_never_ejected(self):
        self.assertEqual(frozenset(), ejection.ejected(views(1.0), 1.0))
        self.assertEqual(frozenset(), ejection.ejected((), 1.0))

    def test_tasks_that_fail_on_all_servers_eject_none(self):
        agents = views(1.0, 0.9, 1.0, 0.95)
        self.assertEqual(frozenset(), ejection.ejected(agents, 0.5))

    def test_ramp_grows_to_one(self):
        weights = [ejection.ramp_weight(s, 10.0) for s in (-1, 0, 5, 20)]
        self.assertEqual([0.0, 0.0, 0.5, 1.0], weights)


class ProbationTest(testtools.TestCase):
    def test_trial_tasks_readmit_a_server(self):
        probation = ejection.Probation()
        agents = views(1.0, 0.0, 0.0, 0.0)
        probation.update(agents, 0.3, 0.0)
        self.assertEqual(0.0, probation.weight("n0", 8, 1.0))
        for number in range(1, ejection.TRIALS_TO_READMIT + 1):
            now_s = number * ejection.TRIAL_INTERVAL_S
            self.assertEqual(1 / 8, probation.weight("n0", 8, now_s))
            probation.record_dispatch("n0", now_s)
            self.assertEqual(0.0, probation.weight("n0", 8, now_s))
            probation.record_finish("n0", True, now_s)
        self.assertNotIn("n0", probation.trials)
        back_s = probation.readmitted_s["n0"]
        self.assertEqual(0.5, probation.weight("n0", 8, back_s + 5.0))

    def test_lost_servers_are_removed(self):
        probation = ejection.Probation()
        probation.update(views(1.0, 0.0, 0.0, 0.0), 0.3, 0.0)
        probation.update(views(0.0)[1:], 0.3, 1.0)
        self.assertEqual({}, probation.trials)
