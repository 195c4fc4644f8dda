"""Tests of an agent that gets heartbeats of another writer."""

import copy
import dataclasses
import itertools
import json

import testtools

from egretthread.platform import bodies, servers
from egretthread.scheduling import agentengine, serverpoll
from egretthread.scheduling.agentboard import ServerLeave
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    EntryBeat,
    RunOrder,
    RunReports,
    ServerState,
    StartRuns,
)
from egretthread.scheduling.servercall import (
    CallResult,
    PollResult,
    RunningRun,
    Verdict,
)
from egretthread.scheduling.serveridentity import ForeignServerError
from egretthread.util import EgretthreadError

ENTRY = "e#1"
SERVER = "i-1"
BORN = 1788804841642
TRUE = {
    "service": "match",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": BORN,
}
REQUIRED = tuple(TRUE.keys() - {"labels", "born"})
OTHER_TYPES = (None, True, -1, -0.5, 2**63, [[]], {"a": {"b": [1]}}, "", "x", 1)
# Values that are valid for a field, beside those of `TRUE`.
VALID = {
    "address": ("x",),
    "version": ("", "x"),
    "slots": (1,),
    "cold_remaining_ms": (1,),
    "clock_ms": (1,),
    "sequence": (1,),
    "drain_remaining_ms": (1,),
    # A heartbeat of another incarnation may have been sent later or earlier,
    # and so its start is not a matter of its form.
    "born": (1,),
}
BODIES = (
    b"",
    b"\xff\x00",
    b"{",
    b"[]",
    b"3",
    b"null",
    b"{}",
    b"[" * 2000,
    json.dumps(TRUE).encode() + b"}",
    json.dumps(TRUE).replace("match", "\xff").encode("latin-1"),
    json.dumps(TRUE).encode().replace(b"match", b"\\ud800"),
    json.dumps({"heartbeat": TRUE}).encode(),
    json.dumps([TRUE]).encode(),
)


def malformed_bodies():
    """Yields heartbeats with one field missing or invalid, and other bytes."""
    yield from BODIES
    for field in REQUIRED:
        yield encode({k: v for k, v in TRUE.items() if k != field})
    fields = (*TRUE, "drain_remaining_ms")
    for field, value in itertools.product(fields, OTHER_TYPES):
        valid = VALID.get(field, ())
        if not any(value is each or value == each for each in valid) or (
            isinstance(value, bool)
        ):
            yield encode({**TRUE, field: value})
    for amount, value in itertools.product(TRUE["capacity"], OTHER_TYPES):
        if value != 1 or isinstance(value, bool):
            capacity = {**TRUE["capacity"], amount: value}
            yield encode({**TRUE, "capacity": capacity})
    yield encode({**TRUE, "capacity": {"disk": 1}})
    yield encode({**TRUE, "state": "parked"})
    yield encode({**TRUE, "labels": ["a", 1]})
    yield encode({**TRUE, "born": 0})


def encode(table):
    return json.dumps(table).encode()


def foreign_tables():
    """Yields ids and well-formed heartbeats of an unnamed service."""
    for server, born, sequence, state in itertools.product(
        (SERVER, "i-2"),
        (BORN, BORN + 1, BORN - 1, None),
        (1, 5, 10**9),
        ("ready", "draining"),
    ):
        table = {**TRUE, "sequence": sequence, "state": state}
        table |= {"service": "other", "born": born}
        if born is None:
            del table["born"]
        yield server, table
        yield (
            server,
            {**table, "capacity": {"cpu": 1}, "labels": [], "zone": "b"},
        )


def contradictions():
    """Yields heartbeats of the known incarnation that contradict it."""
    for changes in (
        {"service": "lookup"},
        {"zone": "b"},
        {"capacity": {"cpu": 1, "mem_mb": 1}},
        {"capacity": {"cpu": 1, "gpu": 0}},
        {"capacity": {"mem_mb": 1, "gpu": 0}},
    ):
        yield {**TRUE, "sequence": 5, **changes}
    for field in ("labels", "born"):
        yield {k: v for k, v in TRUE.items() if k != field} | {"sequence": 5}


class AgentFixture:
    """An agent with a backend server and live runs of an entry."""

    def __init__(self, services=("lookup", "match")):
        self.board = agentengine.new_board("a#1", 5, 100.0)
        self.receive(SERVER, TRUE)
        self.poll(started_unix_ms=BORN)
        agentengine.on_link_open(self.board, ENTRY)
        self.tell(services)

    def tell(self, services, offset=7):
        """Receives a heartbeat of the entry that names services."""
        heartbeat = EntryBeat(
            self.board.clock_ms, offset, False, True, services=services
        )
        agentengine.on_message(self.board, ENTRY, heartbeat)

    def receive(self, server, body):
        if isinstance(body, dict):
            body = encode(body)
        record, clock_ms = servers.decode_heartbeat(server, body)
        agentengine.on_heartbeat(self.board, record, clock_ms)
        agentengine.after_event(self.board)

    def poll(
        self, verdict=Verdict.OK, call=None, started_unix_ms=0, lists_runs=True
    ):
        """Receives an answer to a poll, which lists the live runs or none."""
        running = tuple(
            RunningRun(run.name, run.number, run.percent)
            for run in self.board.runs_by_task.values()
            if lists_runs
        )
        self.board.now_s += 0.001
        result = PollResult(verdict, 1000, started_unix_ms, running)
        call = call or serverpoll.next_poll(self.board)
        agentengine.on_poll_result(self.board, call, result)

    def order_runs(self, attempts=(1, 2)):
        """Receives an order of runs of different tasks."""
        order = StartRuns(
            "j",
            "x",
            1000,
            1,
            0,
            100,
            0,
            self.board.clock_ms,
            10,
            tuple(RunOrder(0, attempt, attempt) for attempt in attempts),
        )
        agentengine.on_message(self.board, ENTRY, order)
        agentengine.after_event(self.board)

    def start_runs(self):
        self.order_runs()
        for call in self.board.calls:
            result = CallResult(Verdict.OK, 1000)
            agentengine.on_call_result(self.board, call, result)
        self.board.calls.clear()
        self.board.outbox.clear()

    def state(self):
        """Returns a copy of everything that the agent knows."""
        return copy.deepcopy(
            {f.name: getattr(self.board, f.name) for f in FIELDS}
        )


def any_reports(board):
    return any(
        isinstance(message, RunReports) for _, message in board.outbox
    ) or any(board.reports.values())


FIELDS = [
    field
    for field in dataclasses.fields(agentengine.new_board("", 0, 0.0))
    if field.name not in ("health", "speed")
]


class TestForeignHeartbeats(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.agent = AgentFixture()
        self.agent.start_runs()

    def assert_refused(self, error, server, body):
        """Checks that a heartbeat is refused and changes nothing."""
        before = self.agent.state()
        with self.assertRaises(error) as caught:
            self.agent.receive(server, body)
        self.assertTrue(caught.exception.remedy)
        self.assertLess(len(str(caught.exception)), 300)
        self.assertEqual(before, self.agent.state())

    def assert_next_true_heartbeat_works(self):
        """Checks that a heartbeat of the sound server changes its facts."""
        self.agent.receive(
            SERVER,
            {
                **TRUE,
                "sequence": 5,
                "capacity": {"cpu": 9000, "mem_mb": 32768, "gpu": 0},
            },
        )
        board = self.agent.board
        self.assertEqual(Room(9000, 32768, 0), board.server.capacity)
        self.assertIs(ServerState.READY, board.state)
        self.assertEqual(2, len(board.runs))
        self.agent.receive(SERVER, {**TRUE, "sequence": 6, "state": "draining"})
        self.assertIs(ServerState.DRAINING, board.state)
        self.assertEqual(2, len(board.runs))

    # TWICE: such a heartbeat replaced a sound server, and its runs ran twice.
    def test_a_heartbeat_of_an_unnamed_service_does_not_end_live_runs(self):
        for server, table in foreign_tables():
            self.assert_refused(ForeignServerError, server, table)
        self.assert_next_true_heartbeat_works()

    # TWICE: a heartbeat that lacks fields replaced a sound server.
    def test_a_malformed_heartbeat_does_not_end_live_runs(self):
        for server in (SERVER, "i-2"):
            for body in malformed_bodies():
                self.assert_refused(EgretthreadError, server, body)
        self.assert_next_true_heartbeat_works()

    # Such a heartbeat changed what the agent believed of a sound server.
    def test_a_heartbeat_that_contradicts_the_server_changes_nothing(self):
        for table in contradictions():
            self.assert_refused(ForeignServerError, SERVER, table)
        self.assert_next_true_heartbeat_works()

    # TWICE: a leave of another incarnation ended the runs of a sound server.
    def test_a_foreign_leave_does_not_end_live_runs(self):
        before = self.agent.state()
        for leave in (
            ServerLeave("i-2"),
            ServerLeave("i-2", BORN, "match"),
            ServerLeave(SERVER, BORN + 1),
            ServerLeave(SERVER, BORN, "other"),
        ):
            with self.assertRaises(ForeignServerError):
                agentengine.on_leave(self.agent.board, leave)
            self.assertEqual(before, self.agent.state())
        for body in (b"\xff", b"[]", b"{", b'{"born": "1"}', b'{"service": 1}'):
            with self.assertRaises(bodies.BodyError):
                servers.decode_leave(SERVER, body)
        agentengine.on_leave(
            self.agent.board, servers.decode_leave(SERVER, b"")
        )
        self.assertIs(ServerState.DRAINING, self.agent.board.state)
        self.agent.poll(Verdict.NOT_LISTENING)
        self.assertEqual({}, self.agent.board.runs)
        self.assertIsNone(self.agent.board.server)

    def test_a_server_whose_service_is_removed_is_kept(self):
        self.agent.tell(("lookup",), offset=8)
        self.agent.receive(SERVER, {**TRUE, "sequence": 5})
        self.assertEqual(2, len(self.agent.board.runs))
        self.assertIs(ServerState.READY, self.agent.board.state)

    def test_outdated_services_are_ignored(self):
        self.agent.tell(("other",), offset=6)
        self.assertIn("match", self.agent.board.services)

    # TWICE: a heartbeat of a named service, but of no server that is here.
    def test_a_server_that_answers_keeps_its_live_runs(self):
        board = self.agent.board
        for server, born, state in itertools.product(
            (SERVER, "i-2"),
            (BORN, BORN + 1, BORN + 10**6),
            ("ready", "draining"),
        ):
            if (server, born) == (SERVER, BORN):
                continue
            table = {**TRUE, "born": born, "state": state, "sequence": 10**9}
            self.agent.receive(server, table)
            self.assertTrue(agentengine.needs_poll(board))
            self.agent.poll(started_unix_ms=BORN)
            self.assertIsNone(board.candidate)
            self.assertEqual(BORN, board.server.started_unix_ms)
            self.assertEqual(2, len(board.runs))
            self.assertFalse(any_reports(board))
        self.assert_next_true_heartbeat_works()

    # Guards against TWICE: starts for the known server were carried out by
    # another incarnation under its id, and given up with the known one.
    def test_nothing_starts_while_it_is_open_which_server_is_here(self):
        self.agent.receive(SERVER, {**TRUE, "born": BORN + 1, "sequence": 1})
        self.agent.order_runs((3, 4))
        self.assertEqual([], self.agent.board.calls)
        self.agent.poll()
        agentengine.after_event(self.agent.board)
        self.assertEqual(2, len(self.agent.board.calls))

    def test_an_answer_from_before_a_heartbeat_does_not_refute_it(self):
        board = self.agent.board
        call = serverpoll.next_poll(board)
        board.now_s += 0.01
        self.agent.receive("i-2", {**TRUE, "born": BORN + 1, "sequence": 1})
        self.agent.poll(call=call, started_unix_ms=BORN)
        self.assertIsNotNone(board.candidate)
        self.agent.poll(Verdict.NO_ANSWER)
        self.assertEqual(SERVER, board.server.server)
        self.agent.poll(Verdict.WRONG_INSTANCE)
        self.assertEqual("i-2", board.server.server)

    def test_a_server_that_is_found_to_have_ended_is_replaced(self):
        later = BORN
        for server, service, verdict, answer in (
            (SERVER, "match", Verdict.OK, 1),
            ("i-2", "lookup", Verdict.WRONG_INSTANCE, 0),
            ("i-3", "match", Verdict.NOT_LISTENING, 0),
        ):
            later += 1
            table = {**TRUE, "born": later, "service": service, "sequence": 1}
            self.agent.receive(server, table)
            born = later if answer else 0
            self.agent.poll(verdict, started_unix_ms=born, lists_runs=False)
            board = self.agent.board
            self.assertEqual(
                (server, service), (board.server.server, board.server.service)
            )
            self.assertIs(ServerState.READY, board.state)
            self.assertEqual({}, board.runs)
            self.agent.poll(started_unix_ms=later)
            self.assertTrue(board.is_confirmed)

    # The true server was not believed any more when it had started earlier.
    def test_a_server_that_was_never_confirmed_keeps_no_other_out(self):
        agent = AgentFixture()
        board = agent.board = agentengine.new_board("a#1", 5, 100.0)
        for server, born in (
            (SERVER, BORN + 1),
            ("i-2", BORN + 2),
            ("i-2", BORN),
        ):
            agent.receive(server, {**TRUE, "born": born, "sequence": 10**9})
            agent.poll(Verdict.WRONG_INSTANCE)
            agent.receive(SERVER, TRUE)
            self.assertEqual(
                (SERVER, BORN),
                (board.server.server, board.server.started_unix_ms),
            )
            self.assertIs(ServerState.READY, board.state)


class TestUnknownServices(testtools.TestCase):
    """Heartbeats that come before any entry has named the services."""

    # A foreign heartbeat that came first kept the true server out for good.
    def test_a_foreign_heartbeat_does_not_keep_the_true_server_out(self):
        for server, table in foreign_tables():
            agent = AgentFixture(services=())
            board = agent.board = agentengine.new_board("a#1", 5, 100.0)
            agent.receive(server, table)
            agentengine.on_link_open(board, ENTRY)
            agent.tell(("match",))
            agent.receive(SERVER, TRUE)
            self.assertEqual("match", board.server.service)
            self.assertEqual(BORN, board.server.started_unix_ms)
            self.assertIs(ServerState.READY, board.state)

    # The leave of the true server was refused while a wrong one was believed.
    def test_a_server_that_was_never_confirmed_refuses_no_leave(self):
        agent = AgentFixture()
        board = agent.board = agentengine.new_board("a#1", 5, 100.0)
        agent.receive("i-2", {**TRUE, "born": 1})
        agentengine.on_leave(board, ServerLeave(SERVER, BORN, "match"))
        self.assertEqual("i-2", board.server.server)
        agentengine.on_leave(board, ServerLeave("i-2"))
        self.assertIsNone(board.server)

    # A heartbeat with the known id changed the service of a sound server.
    def test_a_confirmed_server_keeps_its_service(self):
        agent = AgentFixture(services=())
        with self.assertRaises(ForeignServerError):
            agent.receive(SERVER, {**TRUE, "service": "x", "sequence": 5})
        self.assertEqual("match", agent.board.server.service)

    def test_an_entry_that_names_no_services_is_served(self):
        agent = AgentFixture(services=())
        agent.start_runs()
        agent.receive(SERVER, {**TRUE, "sequence": 5})
        self.assertEqual(2, len(agent.board.runs))
        agent.receive("i-2", {**TRUE, "born": BORN + 1, "sequence": 1})
        agent.poll(Verdict.WRONG_INSTANCE)
        self.assertEqual("i-2", agent.board.server.server)

    # TWICE: the runs were reported as over when `born` was reported at last.
    def test_a_start_that_is_reported_later_does_not_end_live_runs(self):
        agent = AgentFixture()
        board = agent.board = agentengine.new_board("a#1", 5, 100.0)
        agent.receive(SERVER, {k: v for k, v in TRUE.items() if k != "born"})
        agentengine.on_poll_result(
            board,
            serverpoll.next_poll(board),
            PollResult(Verdict.OK, 1000, BORN),
        )
        agentengine.on_link_open(board, ENTRY)
        agent.start_runs()
        agent.receive(SERVER, TRUE)
        self.assertEqual(2, len(board.runs))
        self.assertEqual(BORN, board.server.started_unix_ms)
        self.assertEqual([], board.outbox)
