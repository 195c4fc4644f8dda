"""Tests of registering a job and of finding its coordinator."""

import dataclasses

import testtools

from egretthread import message, witness
from egretthread.controllers import answers
from egretthread.message import AskStatus
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


class ClaimsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = world.World(1, faults=False)
        self.world.run(SETTLE_S)

    def test_ask_with_another_digest_gets_a_conflict(self):
        # Regression: a caller that submitted conflicting tasks under a used key
        # got the answer of the first submission (fuzz seed 101402).
        job = self.world.new_submission("job", 3)
        request = self.world.submit("e1", job)
        self.world.run_until(lambda: request.result, 20.0)
        board = self.world.processes["e1"].board
        for digest, status in (
            ("other", AskStatus.CONFLICT),
            (job.digest, AskStatus.ANSWERED),
            ("", AskStatus.ANSWERED),
        ):
            board.outbox.clear()
            ask = message.Ask(job.job, "e2#1", digest)
            answers.on_ask(board, "e2#1", ask)
            self.assertEqual(status, board.outbox[0][1].status)

    def test_one_of_two_submissions_under_a_key_is_a_conflict(self):
        job = self.world.new_submission("job", 3)
        conflicting = self.world.new_submission("job", 2, tag="other")
        conflicting = dataclasses.replace(conflicting, job=job.job)
        requests = [
            self.world.submit("e1", job),
            self.world.submit("e2", conflicting),
            self.world.submit("e3", conflicting),
        ]
        answered = self.world.run_until(
            lambda: all(r.result for r in requests), 30
        )
        self.assertTrue(answered)
        kinds = {
            r.result.kind for r in requests if isinstance(r.result, Refusal)
        }
        self.assertEqual({"key_conflict"}, kinds)

    def test_loser_of_a_race_does_not_outbid_the_winner(self):
        job = self.world.new_submission("job", 30)
        requests = [self.world.submit(name, job) for name in ("e2", "e3")]
        self.world.run_until(lambda: all(r.result for r in requests), 30.0)
        takeovers = [
            self.world.processes[name].board.counters["takeovers"]
            for name in ("e2", "e3")
        ]
        self.assertEqual([0, 0], takeovers)
