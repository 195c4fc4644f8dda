"""Tests of counting the votes of witnesses."""

import dataclasses

import testtools

from egretthread import message
from egretthread.controllers import rounds
from egretthread.jobkey import JobRef
from egretthread.jobstate import Round
from egretthread.message import Ballot, Registration, Verdict

JOB = JobRef("dublin", "1750000000000-job")
BALLOT = Ballot(1, "e1#1")
OPEN = Registration("d", BALLOT, ("a1#1", "a2#1"))
CLOSED = Registration("d", BALLOT, ("a1#1",), closed=True)


def _vote(registration: Registration) -> message.WitnessReply:
    return message.WitnessReply(
        JOB, BALLOT, "accept", "a1", Verdict.GRANTED, BALLOT, registration
    )


class RoundsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        request = message.Accept(JOB, 0, 3, CLOSED)
        self.round = Round(request, {}, 0.0, 0.0)

    def test_vote_for_the_registration_counts(self):
        self.assertTrue(rounds.record_reply(self.round, _vote(CLOSED)))

    def test_vote_for_another_registration_of_the_ballot_does_not(self):
        self.assertFalse(rounds.record_reply(self.round, _vote(OPEN)))
        self.assertEqual({}, self.round.replies)

    def test_vote_under_another_ballot_does_not(self):
        other = dataclasses.replace(_vote(CLOSED), ballot=Ballot(2, "e1#1"))
        self.assertFalse(rounds.record_reply(self.round, other))
