"""Tests of the records of kept jobs."""

import hypothesis
import orjson
import testtools
from hypothesis import strategies

from egretthread.scheduling import jobrecord
from egretthread.scheduling.jobrecord import JobState, Progress, Submission
from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.room import Room
from tests.scheduling import region


class TestRecords(testtools.TestCase):
    def test_a_submission_survives_encoding_and_decoding(self):
        first = StepSpec(2, Room(1, 2, 3), 0.25)
        second = StepSpec(1, Room(), 0.0, (0,), "a", "r1", 2, ("gang",))
        spec = JobSpec("id", "pay\u00fcload", (first, second), kept=True)
        submission = Submission(spec, region.ROUTE, 1.5)
        value = jobrecord.encode_submission(submission)
        self.assertEqual(submission, jobrecord.decode_submission(value))

    @hypothesis.given(
        strategies.dictionaries(
            strategies.integers(0, 9),
            strategies.frozensets(strategies.integers(0, 200), min_size=1),
        ),
        strategies.sampled_from(JobState),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_progress_survives_encoding_and_decoding(self, done, state):
        progress = Progress(
            state,
            done,
            {(1, 2): 3},
            4.5,
            {},
            5,
            {(1, 2): 7, (0, 1): 6},
            ((1, 2, 6), (0, 1, 5)),
            True,
        )
        value = jobrecord.encode_progress(progress)
        self.assertEqual(progress, jobrecord.decode_progress(value))

    def test_progress_has_the_fields_that_earlier_releases_read(self):
        progress = Progress(
            JobState.FAILED,
            {0: frozenset((0, 2))},
            {(0, 1): 3},
            4.5,
            {(0, 1): ("i@1",)},
            5,
            {(0, 1): 7},
            ((0, 1, 7),),
            True,
        )
        table = orjson.loads(jobrecord.encode_progress(progress))
        earlier = {
            "state": "failed",
            "done": {"0": "BQ=="},
            "failures": [[0, 1, 3]],
            "ended_unix_s": 4.5,
            "crashes": [[0, 1, ["i@1"]]],
        }
        self.assertEqual(earlier, {key: table[key] for key in earlier})

    def test_progress_of_earlier_releases_can_be_read(self):
        value = orjson.dumps(
            {
                "state": "running",
                "done": {},
                "failures": [(0, 1, 1)],
                "ended_unix_s": 0.0,
            }
        )
        expected = Progress(JobState.RUNNING, {}, {(0, 1): 1})
        self.assertEqual(expected, jobrecord.decode_progress(value))

    def test_cancellations_of_earlier_releases_can_be_read(self):
        earlier = jobrecord.Cancellation(jobrecord.UNKNOWN_TIME)
        self.assertEqual(earlier, jobrecord.decode_cancellation(b"1"))
        cancellation = jobrecord.Cancellation(1.7e9, "r-1", "h/p/")
        value = jobrecord.encode_cancellation(cancellation)
        self.assertEqual(cancellation, jobrecord.decode_cancellation(value))

    def test_earlier_releases_can_read_the_record_of_a_coordinator(self):
        value = jobrecord.encode_coordinator(7)
        self.assertEqual(7, jobrecord.decode_epoch(value))
        self.assertEqual(Progress(), jobrecord.decode_progress(value))
        self.assertEqual(
            7, jobrecord.decode_epoch(jobrecord.encode_handover(7))
        )

    @hypothesis.given(strategies.binary(max_size=40))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_malformed_records_raise_record_errors(self, value):
        for decode in (
            jobrecord.decode_progress,
            jobrecord.decode_submission,
            jobrecord.decode_epoch,
        ):
            self.assertRaises(jobrecord.RecordError, decode, value)

    def test_jobs_are_distributed_over_all_partitions(self):
        partitions = {
            jobrecord.partition_of(f"{n:016x}", 12) for n in range(100)
        }
        self.assertEqual(set(range(12)), partitions)
