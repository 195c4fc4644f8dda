"""Tests of jobs forwarded between entries, and of failures halfway."""

import dataclasses

import testtools

from egretthread.scheduling import (
    entryengine,
    forwardedjobs,
    forwarding,
    leaserule,
    linkchoice,
    peerload,
)
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.loadsettings import LoadSettings
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    EntryLoad,
    ForwardCancel,
    ForwardEnd,
    ForwardJob,
    ForwardReply,
)
from tests.scheduling import region

# Enough that agents need not be linked with every entry.
ABSENT_ENTRIES = linkchoice.LINKS_PER_AGENT
FORWARD = LoadSettings(forward_jobs=True)
OFF = LoadSettings()
# Time in which the runs of a job that is closed at its entry are stopped.
STOP_S = leaserule.STOP_MARGIN_S
# Time in which a question about the load of others is answered.
ASK_S = 0.01


def work_s_of(name):
    """Returns the run time of a task; the first job fills its server."""
    return 20.0 if name.job == "fill" else 0.1


class Split(region.Region):
    """A region in which e0 has one backend server, the others the rest."""

    def _link(self, entry, agent):
        if (entry.name == "e0") == (agent.name == "a0"):
            super()._link(entry, agent)


class TestCase(testtools.TestCase):
    def make_world(self, entries=2, agents=5, work_s=None, settings=FORWARD):
        world = Split(
            entries=entries,
            agents=agents,
            cpu=4000,
            work_s=work_s or work_s_of,
            load_settings=settings,
            absent_entries=ABSENT_ENTRIES,
        )
        world.run(2.5)
        return world

    def board(self, world, name="e0"):
        return world.entries[name].board

    def fill(self, world):
        """Gives e0 urgent work for a long time, and lets it ask others."""
        spec = region.job("fill", count=400, estimated_s=0.05)
        world.submit(spec, "e0", 90.0)
        world.run_event(
            world.entries["e0"], peerload.on_short, self.board(world)
        )
        world.run(ASK_S)

    def forward_jobs(self, world, name="j", max_wait_s=1.5):
        """Submits a job that e0 forwards; returns it as e0 sees it."""
        self.fill(world)
        world.submit(region.job(name), "e0", max_wait_s)
        return self.board(world).forwarding.sent[name]

    def outcomes(self, world, name="j"):
        """Returns the answers; after a job is given up its caller leaves."""
        outcomes = [outcome for job, outcome, _ in world.answers if job == name]
        if outcomes[:2] == [Outcome.GIVEN_UP, Outcome.CANCELLED]:
            del outcomes[1]
        return outcomes

    def answered_s(self, world, outcome, name="j"):
        (answer,) = [a for a in world.answers if a[:2] == (name, outcome)]
        return answer[2]

    def messages(self, world, cls):
        return [row for row in world.sent_between if isinstance(row[3], cls)]

    def runs_of(self, world, name="j"):
        return [
            run
            for task, runs in world.runs().items()
            if task.job == name
            for run in runs
        ]

    def live_runs(self, world, name="j"):
        return [run for run in self.runs_of(world, name) if run[2] == "running"]


class TestDecision(TestCase):
    def test_a_job_that_would_be_refused_is_run_elsewhere(self):
        """Half of the backend servers are out of reach of the busy entry."""
        world = self.make_world()
        self.forward_jobs(world)
        world.run(0.2)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))
        self.assertEqual({}, self.board(world).forwarding.sent)
        self.assertEqual({}, self.board(world, "e1").forwarding.received)

    def test_with_the_setting_off_it_is_refused(self):
        world = self.make_world(settings=OFF)
        self.fill(world)
        world.submit(region.job("j"), "e0", 1.5)
        self.assertEqual([Outcome.REFUSED], self.outcomes(world))

    def test_an_entry_without_backend_servers_passes_on(self):
        """A zone with all the backend servers of an entry is lost."""
        world = self.make_world()
        world.kill(world.agents["a0"], 60.0)
        world.submit(region.job("first"), "e0", 1.5)
        world.run(ASK_S)
        world.submit(region.job("j"), "e0", 1.5)
        world.run(0.3)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world, "first"))

    def test_a_job_that_would_only_be_late_here_is_passed_on_early(self):
        """Its caller would wait long enough for this entry."""
        world = self.make_world()
        self.fill(world)
        world.submit(region.job("j"), "e0", 600.0)
        self.assertIn("j", self.board(world).forwarding.sent)
        self.assertEqual(
            "", self.board(world).forwarding.sent["j"].refusal_reason
        )
        world.run(0.2)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))

    def test_a_waiting_job_that_lost_its_place_is_passed_on(self):
        world = self.make_world()
        self.fill(world)
        board = self.board(world)
        board.load = OFF
        world.submit(region.job("j"), "e0", 600.0)
        board.load = FORWARD
        job = board.jobs["j"]
        job.deadline_s = world.now_s + 1.5
        world.run(0.4)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))
        self.assertEqual(1, board.counters["jobs_forwarded"])
        self.assertFalse(any(task.job is job for task in board.waiting))

    def test_a_job_that_may_have_started_is_not_passed_on(self):
        world = self.make_world()
        self.fill(world)
        board = self.board(world)
        board.load = OFF
        world.submit(region.job("j"), "e0", 600.0)
        board.load = FORWARD
        board.jobs["j"].may_have_started = True
        board.jobs["j"].deadline_s = world.now_s + 0.2
        world.run(0.4)
        self.assertEqual([], self.messages(world, ForwardJob))
        self.assertEqual(Outcome.GIVEN_UP, self.outcomes(world)[0])

    def test_jobs_whose_needs_the_picture_does_not_tell_stay(self):
        world = self.make_world()
        board = self.board(world)
        plain = region.job("j")
        self.assertTrue(forwarding.is_eligible(board, plain, region.ROUTE))
        step = plain.steps[0]
        label = dataclasses.replace(step, required_label="b")
        gpu = dataclasses.replace(step, room=Room(1000, 64, 1))
        for spec in (
            dataclasses.replace(plain, kept=True),
            dataclasses.replace(plain, steps=(label,)),
            dataclasses.replace(plain, steps=(step, gpu)),
        ):
            self.assertFalse(forwarding.is_eligible(board, spec, region.ROUTE))
        board.orphaned_runs["j"] = {1: world.now_s + 1.0}
        self.assertFalse(forwarding.is_eligible(board, plain, region.ROUTE))

    def test_jobs_in_flight_count_against_the_capacity_of_their_receiver(self):
        """A burst at one entry, which has one reported of the other."""
        world = self.make_world()
        self.fill(world)
        for number in range(20):
            world.submit(region.job(f"b{number}", count=1), "e0", 1.5)
        # On each of its 4 servers, e1 has 3 cores besides what is reserved.
        self.assertEqual(12, len(self.board(world).forwarding.sent))

    def may_get_more(self, board, node):
        return forwarding._may_get_more(board, forwarding._open_at(board, node))

    def test_an_entry_without_free_capacity_costs_no_scan_of_open_jobs(self):
        """All entries are short, while many jobs are open at them."""
        world = self.make_world()
        sent = self.forward_jobs(world)
        board = self.board(world)
        asked = []
        self.patch(
            forwarding, "_open_at", lambda board, node: asked.append(node) or []
        )
        spec = region.job("k")
        forwarding.choose(board, spec, sent.route.service)
        self.assertEqual([sent.receiver], asked)
        reported = board.forwarding.peer_loads[sent.receiver]
        reported.rows.clear()
        forwarding.choose(board, spec, sent.route.service)
        self.assertEqual([sent.receiver], asked)

    def test_an_entry_that_does_not_reply_gets_no_more(self):
        world = self.make_world()
        sent = self.forward_jobs(world)
        board = self.board(world)
        self.assertTrue(self.may_get_more(board, sent.receiver))
        board.now_s += forwarding.SLOW_REPLY_S + 0.001
        self.assertFalse(self.may_get_more(board, sent.receiver))

    def test_no_entry_gets_more_than_the_limit(self):
        world = self.make_world()
        sent = self.forward_jobs(world)
        board = self.board(world)
        for number in range(forwarding.MAX_OPEN_PER_ENTRY - 1):
            board.forwarding.sent[f"x{number}"] = sent
        self.assertFalse(self.may_get_more(board, sent.receiver))


class TestReceiver(TestCase):
    """Each reason for which a receiver turns a job down."""

    def turned_down(self, world, reason):
        self.forward_jobs(world)
        world.run(0.05)
        (row,) = self.messages(world, ForwardReply)
        self.assertEqual((False, reason), (row[3].accepted, row[3].reason))
        self.assertEqual([Outcome.REFUSED], self.outcomes(world))
        self.assertEqual(1, self.board(world).counters["jobs_refused"])
        self.assertEqual([], self.runs_of(world))
        self.assertEqual([], world.violations())

    def test_an_entry_whose_configuration_lacks_the_route(self):
        world = self.make_world()
        board = self.board(world, "e1")
        routes = (region.LONG_ROUTE,)
        board.operator_state = dataclasses.replace(
            board.operator_state, routes=routes
        )
        self.turned_down(world, "unknown route")

    def test_an_entry_that_is_shutting_down(self):
        world = self.make_world()
        entryengine.begin_shutdown(self.board(world, "e1"), 3.0)
        self.turned_down(world, "shutting down")

    def test_an_entry_with_the_setting_off(self):
        world = self.make_world()
        self.fill(world)
        self.board(world, "e1").load = OFF
        world.submit(region.job("j"), "e0", 1.5)
        world.run(0.05)
        self.assertEqual([Outcome.REFUSED], self.outcomes(world))

    def test_an_entry_that_has_the_job_open(self):
        world = self.make_world()
        board = self.board(world, "e1")
        entryengine.submit(board, region.job("j"), region.ROUTE, 1.5)
        self.forward_jobs(world)
        world.run(0.05)
        (row,) = self.messages(world, ForwardReply)
        self.assertEqual("not allowed here", row[3].reason)
        self.assertIn("j", board.jobs)

    def test_an_entry_whose_capacity_was_taken_since_its_picture(self):
        world = self.make_world()
        self.fill(world)
        world.submit(region.job("own", count=14), "e1", 1.5)
        world.submit(region.job("j"), "e0", 1.5)
        world.run(0.05)
        (row,) = self.messages(world, ForwardReply)
        self.assertEqual("no free capacity", row[3].reason)
        self.assertEqual([Outcome.REFUSED], self.outcomes(world))

    def test_a_job_forwarded_early_is_queued_here_when_it_is_turned_down(self):
        world = self.make_world()
        self.fill(world)
        entryengine.begin_shutdown(self.board(world, "e1"), 3.0)
        world.submit(region.job("j"), "e0", 600.0)
        self.assertNotIn("j", self.board(world).jobs)
        accepted_s = world.now_s
        world.run(0.05)
        self.assertEqual([], self.outcomes(world))
        job = self.board(world).jobs["j"]
        self.assertEqual(accepted_s, job.accepted_s)
        self.assertAlmostEqual(accepted_s + 600.0, job.deadline_s)

    def test_a_forwarded_job_accepted_is_not_passed_on_again(self):
        world = self.make_world(work_s=lambda name: 20.0)
        self.forward_jobs(world)
        world.run(0.01)
        board = self.board(world, "e1")
        spec = board.jobs["j"].spec
        self.assertFalse(forwarding.is_eligible(board, spec, region.ROUTE))

    def test_what_is_left_of_deadline_and_objective_is_sent(self):
        world = self.make_world(work_s=lambda name: 20.0)
        sent = self.forward_jobs(world)
        world.run(0.01)
        job = self.board(world, "e1").jobs["j"]
        self.assertLess(0.0, sent.deadline_s - job.deadline_s)
        self.assertLess(sent.deadline_s - job.deadline_s, 0.02)
        self.assertLess(abs(sent.objective_s - job.objective_s), 0.02)


class TestFailures(TestCase):
    """One failure each, at each message of a job that is forwarded."""

    def slow_world(self, **options):
        return self.make_world(work_s=lambda name: 20.0, **options)

    def check_stopped_in_time(self, world, ended_s):
        """No run is left when the caller submits the job again."""
        for run in self.runs_of(world):
            self.assertLess(run[1], ended_s + region.RESUBMIT_S)
        self.assertEqual([], self.live_runs(world))

    def test_the_message_that_passes_it_on_is_lost(self):
        """It has certainly not run, so that it is refused."""
        world = self.make_world()
        world.loses = lambda *row: isinstance(row[2], ForwardJob)
        self.forward_jobs(world)
        world.run(forwarding.REPLY_TIMEOUT_S + 0.05)
        self.assertEqual([Outcome.REFUSED], self.outcomes(world))
        self.assertEqual([], self.runs_of(world))

    def test_a_late_message_after_its_cancellation_starts_nothing(self):
        world = self.make_world()
        lost = []

        def loses(sender, receiver, message):
            if isinstance(message, ForwardJob):
                lost.append(message)
            return isinstance(message, ForwardJob)

        world.loses = loses
        self.forward_jobs(world)
        world.run(forwarding.REPLY_TIMEOUT_S + 0.05)
        board = self.board(world, "e1")
        node = self.board(world).node
        world.run_event(
            world.entries["e1"], forwardedjobs.on_message, board, node, lost[0]
        )
        world.run(0.1)
        self.assertEqual({}, board.forwarding.received)
        self.assertEqual([], self.runs_of(world))

    def test_a_message_that_was_held_up_starts_nothing(self):
        """Its job was given up meanwhile, and may run elsewhere."""
        world = self.make_world(work_s=lambda name: 20.0)
        self.fill(world)
        world.cut("e0", "e1", 3.0)
        world.submit(region.job("j"), "e0", 1.5)
        self.assertIn("j", self.board(world).forwarding.sent)
        world.run(forwarding.LEASE_S + 0.05)
        self.answered_s(world, Outcome.GIVEN_UP)
        world.run(4.0)
        self.assertEqual([], self.runs_of(world))
        replies = self.messages(world, ForwardReply)
        self.assertEqual({"too old"}, {row[3].reason for row in replies})

    def test_the_reply_is_lost(self):
        """The next reply about the load tells that the job is run."""
        world = self.make_world()
        world.loses = lambda *row: isinstance(row[2], ForwardReply)
        self.forward_jobs(world)
        world.run(0.3)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))

    def test_every_reply_is_lost_and_the_job_has_started(self):
        """It is stopped before its caller is told that it may have run."""
        world = self.slow_world()
        self.fill(world)
        world.loses = lambda *row: isinstance(row[2], ForwardReply | EntryLoad)
        world.submit(region.job("j"), "e0", 1.5)
        world.run(1.2)
        self.assertEqual([Outcome.GIVEN_UP], self.outcomes(world)[:1])
        ended_s = self.answered_s(world, Outcome.GIVEN_UP)
        world.run(0.5)
        self.check_stopped_in_time(world, ended_s)

    def test_the_outcome_is_lost_and_repeated(self):
        world = self.make_world()
        lost = []

        def loses(sender, receiver, message):
            is_first = isinstance(message, ForwardEnd) and not lost
            if is_first:
                lost.append(message)
            return is_first

        world.loses = loses
        self.forward_jobs(world)
        world.run(0.1 + peerload.ASK_INTERVAL_S + 0.1)
        self.assertEqual(1, len(lost))
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))

    def test_the_receiver_dies_before_its_reply(self):
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        killed_s = world.now_s
        world.kill(world.entries["e1"], 60.0)
        world.run(forwarding.LEASE_S + 0.1)
        self.assertEqual([Outcome.GIVEN_UP], self.outcomes(world))
        self.assertLess(
            self.answered_s(world, Outcome.GIVEN_UP),
            killed_s + forwarding.LEASE_S + 0.05,
        )

    def test_the_receiver_dies_after_it_has_accepted(self):
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        self.assertEqual(4, len(self.live_runs(world)))
        killed_s = world.now_s
        world.kill(world.entries["e1"], 60.0)
        world.run(region.RESUBMIT_S)
        ended_s = self.answered_s(world, Outcome.GIVEN_UP)
        self.assertLess(ended_s, killed_s + forwarding.LEASE_S + 0.05)
        self.check_stopped_in_time(world, killed_s)

    def test_the_sender_dies(self):
        """Nobody can be answered: the receiver stops the runs."""
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        self.assertEqual(4, len(self.live_runs(world)))
        killed_s = world.now_s
        world.kill(world.entries["e0"], 60.0)
        world.run(region.RESUBMIT_S - 0.01)
        self.check_stopped_in_time(world, killed_s)
        self.assertEqual({}, self.board(world, "e1").forwarding.received)

    def test_the_sender_dies_and_its_questions_were_held_up(self):
        """They arrive later and later, and each names the job."""
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        node = self.board(world).node
        question = [
            row[3]
            for row in self.messages(world, EntryLoad)
            if row[1] == "e0" and row[3].forwarded
        ][-1]
        self.assertEqual(4, len(self.live_runs(world)))
        killed_s = world.now_s
        world.kill(world.entries["e0"], 60.0)
        process = world.entries["e1"]
        for _ in range(12):
            world.run(0.1)
            world.run_event(
                process, forwardedjobs.on_message, process.board, node, question
            )
        self.check_stopped_in_time(world, killed_s)
        self.assertEqual({}, process.board.forwarding.received)

    def test_a_silent_cut_after_it_was_accepted(self):
        """Neither end notices the cut on its link, which lives on."""
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        cut_s = world.now_s
        world.cut_entries("e0", "e1", 4.0)
        world.run(region.RESUBMIT_S)
        ended_s = self.answered_s(world, Outcome.GIVEN_UP)
        self.assertLess(ended_s, cut_s + forwarding.LEASE_S + 0.15)
        self.check_stopped_in_time(world, cut_s)
        world.run(5.0)
        self.assertEqual([], world.violations())

    def test_a_cut_one_way_after_it_was_accepted(self):
        """Replies are lost: the sender no longer wants the job."""
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        cut_s = world.now_s
        world.loses = lambda sender, *row: sender == "e1"
        world.run(region.RESUBMIT_S)
        self.answered_s(world, Outcome.GIVEN_UP)
        self.check_stopped_in_time(world, cut_s)

    def test_a_link_that_opens_again_keeps_the_job(self):
        world = self.make_world(
            work_s=lambda name: 20.0 if name.job == "fill" else 0.6
        )
        self.forward_jobs(world)
        world.run(0.2)
        world.reset_entries(world.entries["e0"], world.entries["e1"])
        world.run(0.6)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))
        self.assertEqual(4, len(self.runs_of(world)))

    def test_a_repeated_message_after_a_new_link_runs_it_once(self):
        world = self.make_world()
        self.forward_jobs(world)
        (row,) = self.messages(world, ForwardJob)
        world.run(0.02)
        node = self.board(world).node
        for wait_s in (0.0, 0.3):
            world.run(wait_s)
            world.run_event(
                world.entries["e1"],
                forwardedjobs.on_message,
                self.board(world, "e1"),
                node,
                row[3],
            )
        world.run(0.3)
        self.assertEqual(4, len(self.runs_of(world)))
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))

    def test_the_receiver_is_frozen(self):
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        frozen_s = world.now_s
        world.freeze(world.entries["e1"], 3.0)
        world.run(forwarding.LEASE_S + 0.15)
        ended_s = self.answered_s(world, Outcome.GIVEN_UP)
        self.assertLess(ended_s, frozen_s + forwarding.LEASE_S + 0.05)
        world.run(region.RESUBMIT_S - 0.01)
        self.check_stopped_in_time(world, ended_s)

    def test_the_sender_is_frozen(self):
        """It wakes after its receiver has stopped the job."""
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=9.0)
        world.run(0.2)
        frozen_s = world.now_s
        world.freeze(world.entries["e0"], 1.0)
        world.run(1.2)
        ended_s = self.answered_s(world, Outcome.GIVEN_UP)
        self.assertLess(ended_s, frozen_s + 1.1)
        self.check_stopped_in_time(world, frozen_s)

    def test_the_receiver_shuts_down_after_it_has_accepted(self):
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        process = world.entries["e1"]
        world.run_event(process, entryengine.give_up_all, process.board)
        world.run(STOP_S)
        self.assertEqual([Outcome.GIVEN_UP], self.outcomes(world))
        self.assertEqual([], self.live_runs(world))

    def test_the_sender_shuts_down(self):
        world = self.slow_world()
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        process = world.entries["e0"]
        world.run_event(process, entryengine.give_up_all, process.board)
        world.run(STOP_S)
        self.assertEqual([Outcome.GIVEN_UP], self.outcomes(world))
        self.assertEqual([], self.live_runs(world))


class TestCallers(TestCase):
    def test_the_caller_leaves(self):
        world = self.make_world(work_s=lambda name: 20.0)
        self.forward_jobs(world)
        world.run(0.2)
        world.drop_caller(world.callers["j"], notify=True)
        world.run(STOP_S)
        self.assertEqual(1, len(self.messages(world, ForwardCancel)))
        self.assertEqual([], self.live_runs(world))
        self.assertNotIn("j", self.board(world, "e1").jobs)

    def test_the_deadline_passes(self):
        world = self.make_world(work_s=lambda name: 20.0)
        sent = self.forward_jobs(world, max_wait_s=1.0)
        sent.deadline_s = world.now_s + 0.5
        world.run(0.53)
        self.assertEqual([Outcome.GIVEN_UP], self.outcomes(world))
        world.run(STOP_S)
        self.assertEqual([], self.live_runs(world))

    def test_a_submission_at_the_sender_joins_it(self):
        world = self.make_world()
        sent = self.forward_jobs(world)
        deadline_s = sent.deadline_s
        world.submit(region.job("j"), "e0", 3.0)
        self.assertLess(deadline_s, sent.deadline_s)
        world.run(0.2)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))
        self.assertEqual(4, len(self.runs_of(world)))

    def test_a_submission_at_the_receiver_joins_it(self):
        """The job goes on there when its sender dies."""
        world = self.make_world(
            work_s=lambda name: 20.0 if name.job == "fill" else 1.5
        )
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        world.submit(region.job("j"), "e1", 4.0)
        world.kill(world.entries["e0"], 60.0)
        world.run(1.6)
        self.assertEqual([Outcome.COMPLETED], self.outcomes(world))
        self.assertEqual(4, len(self.runs_of(world)))

    def test_a_caller_who_left_the_receiver_does_not_end_it(self):
        world = self.make_world(work_s=lambda name: 20.0)
        self.forward_jobs(world, max_wait_s=4.0)
        world.run(0.2)
        process = world.entries["e1"]
        entryengine.submit(process.board, region.job("j"), region.ROUTE, 4.0)
        entryengine.cancel(process.board, "j", "caller left")
        self.assertIn("j", process.board.jobs)
        entryengine.cancel(process.board, "j", "cancelled")
        self.assertNotIn("j", process.board.jobs)

    def test_a_submission_elsewhere_after_the_lease_runs_it_once_at_a_time(
        self,
    ):
        """The receiver is lost, and the caller submits the job again."""
        world = self.make_world(
            entries=3, work_s=lambda name: 20.0 if name.job == "fill" else 1.0
        )
        # Its caller stops waiting before it would submit the job by itself.
        sent = self.forward_jobs(world)
        receiver = sent.receiver.partition("#")[0]
        (other,) = {"e1", "e2"} - {receiver}
        world.run(0.2)
        world.cut_entries("e0", receiver, 3.0)
        world.run(forwarding.LEASE_S + 0.15)
        ended_s = self.answered_s(world, Outcome.GIVEN_UP)
        world.run(ended_s + region.RESUBMIT_S - world.now_s)
        world.submit(region.job("j"), other, 4.0)
        world.run(4.0)
        self.assertIs(Outcome.COMPLETED, self.outcomes(world)[-1])
        self.assertEqual(8, len(self.runs_of(world)))
        self.assertEqual([], world.violations())

    def test_a_submission_here_waits_until_the_runs_elsewhere_have_ended(self):
        world = self.make_world(work_s=lambda name: 20.0)
        self.forward_jobs(world)
        world.run(0.2)
        world.drop_caller(world.callers["j"], notify=True)
        fences = self.board(world).orphaned_runs["j"]
        self.assertLess(max(fences.values()), world.now_s + region.RESUBMIT_S)
