"""Differential test: the engines against a reference model, without faults."""

import dataclasses
import random

import testtools

from egretthread import config, outcome, witness
from tests import reference, world

HISTORIES = 15
STEPS = 40
RUN_TIMES_S = (0.005, 0.05)
# By then the witnesses can answer for keys that are a few seconds old.
SETTLE_S = 10.0 + witness.SETTLE_S
RETENTION_S = world.CONFIGURATION.retention_s
SIZES = (1, 2, 7, 40, 190)
AGES_S = (0.0, 0.0, 0.0, 2.0, RETENTION_S + 5.0, -30.0)
WAITS_S = (0.02, 0.02, 0.1, 0.5, 2.0)
# More memory than any worker has.
EXCESSIVE_BYTES = 2**38
# The organisation `cork` is configured but not allowed to use the service.
CONFIGURATION = dataclasses.replace(
    world.CONFIGURATION,
    organisations=(
        *world.CONFIGURATION.organisations,
        config.Organisation("cork"),
    ),
)


def _behaviour(payload: str) -> outcome.Outcome:
    if payload.endswith("3"):
        return outcome.failed("no such account")
    return outcome.done(f'"{payload}"')


class Pair:
    """The engines and the reference model, given the same submissions.

    Attributes:
        world: The simulated region with the engines.
        reference: The reference model.
        rng: Source of the history's choices.
        jobs: Submissions so far.
        results: Pairs of the request to the simulated region and the result
            of the reference model.
    """

    def __init__(self, seed: int):
        self.world = world.World(
            seed, configuration=CONFIGURATION, faults=False
        )
        self.world.behaviour = _behaviour
        self.world.run_times_s = RUN_TIMES_S
        self.world.run(SETTLE_S)
        self.reference = reference.ReferenceDispatcher(
            CONFIGURATION, _behaviour, 128 * world.GIBIBYTE_BYTES
        )
        self.rng = random.Random(seed)
        self.jobs: list = []
        self.results: list = []

    def submit(self, submission) -> None:
        """Sends a submission to both versions."""
        name = self.rng.choice(self.world.entry_names)
        self.reference.unix_s = world.UNIX_START_S + self.world.now_s
        result = self.reference.submit(submission)
        request = self.world.submit(name, submission)
        self.results.append((request, result))

    def submit_new(self) -> None:
        """Submits a job with a new name."""
        submission = self.world.new_submission(
            f"j{len(self.jobs)}",
            self.rng.choice(SIZES),
            self.rng.choice(("dublin", "dublin", "varna", "cork")),
            deadline_s=30.0,
            age_s=self.rng.choice(AGES_S),
            memory_bytes=self.rng.choice((0, 0, 0, 2**30, EXCESSIVE_BYTES)),
        )
        self.jobs.append(submission)
        self.submit(submission)

    def submit_again(self) -> None:
        """Resubmits a known job, with its own or other tasks."""
        if not self.jobs:
            return
        known = self.rng.choice(self.jobs)
        if self.rng.random() < 0.3:
            other = self.world.new_submission("other", 2, tag="other")
            known = dataclasses.replace(other, job=known.job)
        self.submit(known)

    def step(self) -> None:
        """Runs one random step."""
        self.rng.choice((self.submit_new, self.submit_again))()
        self.world.run(self.rng.choice(WAITS_S))
        if self.rng.random() < 0.02:
            self.world.run(RETENTION_S / 2)


class DifferentialTest(testtools.TestCase):
    def test_answers_and_refusals_are_those_of_the_reference_model(self):
        for seed in range(HISTORIES):
            pair = Pair(seed)
            for _ in range(STEPS):
                pair.step()
            pair.world.run(60.0)
            for request, result in pair.results:
                self.assertEqual(
                    reference.comparable(result),
                    request.result and reference.comparable(request.result),
                    f"seed {seed}, {request.submission.job}",
                )
