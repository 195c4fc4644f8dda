"""Tests of single requests, with the engines in a simulated region."""

import testtools

from egretthread import jobform, util, witness
from egretthread.controllers import requests
from egretthread.outcome import OutcomeKind
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


class RequestsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.region = world.World(5, entries=2, faults=False)
        self.region.run(SETTLE_S)
        self.board = self.region.processes["e1"].board

    def starts(self, request):
        jobs = self.region.request_attempts[request]
        starts = self.region.oracle.starts
        return [starts[job, 0] for job in jobs if (job, 0) in starts]

    def run_and_kill_its_agent(self, idempotent, **options):
        request = self.region.request("e1", idempotent, **options)
        self.region.run_until(lambda: self.starts(request), 2.0)
        (start,) = self.starts(request)
        self.region.restart(start.process.name)
        self.region.run_until(
            lambda: request in self.region.request_results, 30.0
        )
        return request, self.region.request_results[request]

    def test_a_request_is_answered_with_its_outcome(self):
        request = self.region.request("e1", idempotent=False)
        self.region.run_until(
            lambda: request in self.region.request_results, 5.0
        )
        self.assertEqual(
            OutcomeKind.DONE, self.region.request_results[request].kind
        )
        self.assertEqual({}, self.board.requests)

    def test_not_idempotent_runs_at_most_once_when_its_agent_dies(self):
        request, result = self.run_and_kill_its_agent(idempotent=False)
        self.assertEqual(OutcomeKind.UNKNOWN, result.kind)
        self.region.run(10.0)
        self.assertEqual(1, len(self.starts(request)))

    def test_idempotent_is_retried_once_when_its_agent_dies(self):
        request, result = self.run_and_kill_its_agent(idempotent=True)
        self.assertEqual(OutcomeKind.DONE, result.kind)
        self.assertEqual(2, len(self.starts(request)))

    def test_exhausted_budget_ends_the_retries(self):
        while self.board.retry_budget.take(self.board.now_s):
            pass
        self.board.retry_budget.min_per_s = 0.0
        request, result = self.run_and_kill_its_agent(idempotent=True)
        self.assertEqual(OutcomeKind.UNKNOWN, result.kind)
        self.assertEqual(1, self.board.counters["request_retries_denied"])

    def test_attempt_that_may_have_run_is_never_reported_as_not_run(self):
        def stop_all_backends():
            for name in self.region.agent_names:
                self.region.processes[name].backend_up = False

        request = self.region.request("e1", True, deadline_s=6.0)
        self.region.run_until(lambda: self.starts(request), 2.0)
        (start,) = self.starts(request)
        stop_all_backends()
        self.region.restart(start.process.name)
        self.region.processes[start.process.name].backend_up = False
        self.region.run_until(
            lambda: request in self.region.request_results, 30.0
        )
        self.assertTrue(len(self.region.request_attempts[request]) > 1)
        self.assertEqual(
            OutcomeKind.UNKNOWN, self.region.request_results[request].kind
        )

    def test_unavailable_shards_are_tried_under_other_keys(self):
        region = world.World(6, entries=2, faults=False)
        # The witnesses are not yet ready to vote on any key.
        region.run(5.0)
        request = region.request("e1", idempotent=False)
        region.run_until(lambda: request in region.request_results, 5.0)
        self.assertEqual(
            "shard_unavailable", region.request_results[request].kind
        )
        attempts = len(region.request_attempts[request])
        self.assertEqual(requests.MAX_ATTEMPTS, attempts)

    def test_refusal_mentions_no_key(self):
        self.board.is_shutting_down = True
        refusal = self.region.request("e1", idempotent=False)
        self.assertIsInstance(refusal, Refusal)
        self.assertNotIn("key", refusal.remedy)
        self.assertEqual({}, self.board.requests)

    def test_all_faults_of_a_body_are_reported(self):
        body = b'{"service": "", "idempotent": 1, "memory_bytes": -1, "x": 2}'
        error = self.assertRaises(
            util.OptionError,
            jobform.parse_request,
            body,
            "dublin",
            world.CONFIGURATION,
        )
        self.assertEqual(
            {"x", "service", "payload", "idempotent"},
            {fault.key for fault in error.faults},
        )
