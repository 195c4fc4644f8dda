"""Tests of the state dump."""

import collections
import dataclasses
import json

import testtools

from egretthread import config, dump, jobkey, message, outcome


@dataclasses.dataclass
class Board:
    """A blackboard with fields of several types."""

    jobs: dict
    organisation: config.Organisation
    queue: collections.deque
    ratio: float = float("inf")
    handler: object = len
    raw: bytes = b"abc"


def board():
    key = config.AccessKey("first", "s4lt", "d1gest")
    job = jobkey.JobRef("dublin", "1796336037123-a")
    task = message.TaskAssignment(0, 1, '{"account": "secret"}', 1.0)
    report = message.TaskReport(
        0, 1, message.TaskState.FINISHED, outcome.done('{"sum": 1}')
    )
    return Board(
        {job: (task, report)},
        config.Organisation("dublin", (key,)),
        collections.deque(range(1000)),
    )


class DumpTest(testtools.TestCase):
    def test_dump_is_valid_json(self):
        shown = json.loads(json.dumps(dump.to_json(board()), allow_nan=False))
        task, report = shown["jobs"]["dublin/1796336037123-a"]
        self.assertEqual(1.0, task["timeout_s"])
        self.assertEqual("finished", report["state"])
        self.assertEqual("(builtin_function_or_method)", shown["handler"])
        self.assertEqual(("inf", "(3 bytes)"), (shown["ratio"], shown["raw"]))

    def test_secrets_and_payloads_are_hidden(self):
        text = json.dumps(dump.to_json(board()))
        for secret in ("s4lt", "d1gest", "account", "sum"):
            self.assertNotIn(secret, text)
        self.assertIn("(21 characters)", text)
        shown = dump.to_json({"shared_key": "abc", "name": "x"})
        self.assertEqual({"shared_key": "(hidden)", "name": "x"}, shown)

    def test_long_collections_are_truncated(self):
        queue = dump.to_json(board())["queue"]
        self.assertEqual(1000, queue["count"])
        self.assertEqual(list(range(dump.MAX_ITEMS)), queue["first"])

    def test_cycles_and_huge_trees_are_limited(self):
        cycle = []
        cycle.append(cycle)
        self.assertIn("(list cut)", json.dumps(dump.to_json(cycle)))
        wide = leaf = []
        for _ in range(4):
            wide = [wide] * dump.MAX_ITEMS
        leaf.append(1)
        size = len(json.dumps(dump.to_json(wide)))
        self.assertTrue(size < 100 * dump.MAX_NODES)
