"""Stateful fuzzing of the engines against the oracle."""

import random

import hypothesis
import hypothesis.stateful
import testtools
from hypothesis import strategies

from tests import histories

# Seeds of the histories played without Hypothesis, and steps of each history.
SEEDS = range(40)
STEPS = 50
# Seeds of histories that once violated an invariant.
REGRESSION_SEEDS = (
    # Entries with lapsed leases counted themselves as a majority.
    701380,
)


# Hypothesis derives its choices from the source text of this class and from
# the names of the rules: any edit of them makes it play other histories.
class FuzzMachine(hypothesis.stateful.RuleBasedStateMachine):
    """One rule for each step of a history, with hypothesis choosing."""

    def __init__(self):
        super().__init__()
        self.history = None

    @hypothesis.stateful.initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed):
        self.history = histories.History(seed)

    def teardown(self):
        if self.history is not None:
            self.history.settle()


def _rule(name: str):
    @hypothesis.stateful.rule(numbers=strategies.integers(0, 2**32 - 1))
    def apply(self, numbers):
        pick = random.Random(numbers).randrange
        self.history.apply(name, pick)

    apply.__name__ = name
    return apply


for step in histories.STEPS:
    setattr(FuzzMachine, step, _rule(step))

FuzzTest = FuzzMachine.TestCase
FuzzTest.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class SeededTest(testtools.TestCase):
    def test_seeded_histories_hold(self):
        for seed in (*SEEDS, *REGRESSION_SEEDS):
            histories.play(seed, STEPS)
