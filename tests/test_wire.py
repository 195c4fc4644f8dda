"""Tests of encoding messages as frames and decoding them."""

import enum
import pathlib
import subprocess
import sys
import types
import typing

import capnp
import hypothesis
import testtools
from hypothesis import strategies as st

from egretthread import message, wire
from egretthread.jobkey import JobRef
from egretthread.outcome import done
from egretthread.scheduling import runmessage

PLAIN = {
    bool: st.booleans(),
    int: st.integers(-(2**63), 2**63 - 1),
    float: st.floats(allow_nan=False),
    str: st.text(max_size=20),
}


def values(hint):
    """Returns a strategy for the values of a field with this type hint."""
    if hint in PLAIN:
        return PLAIN[hint]
    if isinstance(hint, types.UnionType):
        return st.one_of(*[values(arg) for arg in typing.get_args(hint)])
    if hint is types.NoneType:
        return st.none()
    if typing.get_origin(hint) is tuple:
        args = typing.get_args(hint)
        if args[1] is Ellipsis:
            return st.lists(values(args[0]), max_size=3).map(tuple)
        return st.tuples(*[values(arg) for arg in args])
    if issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    hints = typing.get_type_hints(hint)
    return st.builds(hint, **{name: values(h) for name, h in hints.items()})


MESSAGE_CLASSES = [
    wire.variant_class(member)
    for member in wire.schema.Message.schema.union_fields
]
MESSAGES = st.one_of([values(cls) for cls in MESSAGE_CLASSES])
SETTINGS = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)


def sample_frame() -> bytes:
    tasks = (message.TaskAssignment(0, 1, '{"line": "é"}', 2.0),)
    ballot = message.Ballot(1, "entry-1#1796336037123")
    job = JobRef("dublin", "1796336037123-ledger-7")
    assign = message.Assign(job, "ledger-match", ballot, "agent-1#5", tasks)
    report = message.TaskReport(
        0, 1, message.TaskState.FINISHED, done('{"line": 7}')
    )
    reply = message.SealReply(job, ballot, "agent-1#5", (report,))
    return wire.encode([assign, reply, message.Credit("agent-1#5", 3, 0)])


class WireTest(testtools.TestCase):
    def test_every_message_class_has_a_codec(self):
        for cls in MESSAGE_CLASSES:
            with self.subTest(cls.__name__):
                self.assert_round_trip(values(cls))

    def assert_round_trip(self, strategy):
        @hypothesis.settings(SETTINGS, max_examples=25)
        @hypothesis.given(strategy)
        def check(value):
            self.assertEqual((value,), wire.decode(wire.encode([value])))

        check()

    @SETTINGS
    @hypothesis.given(st.lists(MESSAGES, max_size=5))
    def test_batches_keep_their_order(self, batch):
        self.assertEqual(tuple(batch), wire.decode(wire.encode(batch)))

    @SETTINGS
    @hypothesis.given(st.binary(max_size=400))
    def test_random_bytes_raise_only_wire_errors(self, data):
        self.assert_decodes_or_raises_wire_error(data)

    @SETTINGS
    @hypothesis.given(st.data())
    def test_corrupted_frames_raise_only_wire_errors(self, data):
        frame = bytearray(sample_frame())
        for _ in range(data.draw(st.integers(1, 6))):
            position = data.draw(st.integers(0, len(frame) - 1))
            frame[position] = data.draw(st.integers(0, 255))
        length = data.draw(st.integers(0, len(frame)))
        self.assert_decodes_or_raises_wire_error(bytes(frame))
        self.assert_decodes_or_raises_wire_error(bytes(frame[:length]))

    def assert_decodes_or_raises_wire_error(self, data):
        for decode in (wire.decode, wire.decode_handshake):
            try:
                decode(data)
            except wire.WireError as error:
                self.assertIn(error.kind, ("version", "oversize", "malformed"))

    def test_another_version_is_refused(self):
        batch = wire.schema.Batch.new_message()
        batch.version = wire.WIRE_VERSION + 1
        self.assertRaises(wire.VersionError, wire.decode, batch.to_bytes())

    def test_oversize_frames_are_refused(self):
        text = "x" * wire.MAX_FRAME_BYTES
        self.assertRaises(
            wire.OversizeError, wire.encode, [message.Credit(text, 1, 0)]
        )
        data = bytes(wire.MAX_FRAME_BYTES + 8)
        self.assertRaises(wire.OversizeError, wire.decode, data)
        data = bytes(wire.MAX_HANDSHAKE_BYTES + 8)
        self.assertRaises(wire.OversizeError, wire.decode_handshake, data)

    def test_values_that_do_not_fit_are_refused(self):
        for agent, count in (("a", 2**70), ("\ud800", 1), ("a", "x")):
            self.assertRaises(
                wire.MalformedError,
                wire.encode,
                [message.Credit(agent, count, 0)],
            )

    def test_handshake_frames_round_trip(self):
        frames = (
            wire.Hello(1, "entry-1#5", "entry", b"\0nonce"),
            wire.Proof(b"\xff" * 32),
            wire.HandshakeRefusal("wrong_key"),
        )
        for frame in frames:
            data = wire.encode_handshake(frame)
            self.assertEqual(frame, wire.decode_handshake(data))


class TestLoadedModules(testtools.TestCase):
    def test_programs_on_the_platform_load_only_their_role(self):
        for program, absent in (
            (
                "agentprogram",
                ("egretthread.message", "egretthread.scheduling.entryserver"),
            ),
            (
                "entryprogram",
                ("egretthread.message", "egretthread.scheduling.agentserver"),
            ),
        ):
            script = (
                f"import sys, egretthread.platform.{program};"
                f"print([m for m in {absent} if m in sys.modules])"
            )
            output = subprocess.run(
                [sys.executable, "-c", script],
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            self.assertEqual("[]", output.strip())


# The schema of the release before entries numbered the runs of kept jobs.
EARLIER_SCHEMA = capnp.SchemaParser().load(
    str(pathlib.Path(__file__).parent / "data" / "earlierwire.capnp")
)
# Messages that have got fields since.
EXTENDED = (
    runmessage.StartRuns,
    runmessage.HeldEnds,
    runmessage.SettleEnds,
    runmessage.EntryBeat,
    runmessage.EntryHello,
    runmessage.JobQuestion,
)


def fields(schema, frame):
    """Returns the messages of a frame as tables, read with a schema."""
    with schema.Batch.from_bytes(frame) as batch:
        return [reader.to_dict() for reader in batch.messages]


def common(table, earlier):
    """Returns a table without the fields that an earlier one lacks."""
    if isinstance(table, dict):
        return {key: common(table[key], earlier[key]) for key in earlier}
    if isinstance(table, list):
        return [common(*rows) for rows in zip(table, earlier, strict=True)]
    return table


class TestEarlierRelease(testtools.TestCase):
    @hypothesis.given(st.one_of(*[values(cls) for cls in EXTENDED]))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_an_earlier_release_reads_what_it_knows(self, outgoing):
        frame = wire.encode([outgoing])
        tables = fields(EARLIER_SCHEMA, frame)
        self.assertEqual(common(fields(wire.schema, frame), tables), tables)

    @hypothesis.given(st.one_of(*[values(cls) for cls in EXTENDED]))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_messages_of_an_earlier_release_can_be_read(self, outgoing):
        tables = fields(EARLIER_SCHEMA, wire.encode([outgoing]))
        earlier = EARLIER_SCHEMA.Batch.new_message(
            version=wire.WIRE_VERSION, messages=tables
        )
        decoded = wire.decode(earlier.to_bytes())
        self.assertEqual(tables, fields(EARLIER_SCHEMA, wire.encode(decoded)))
