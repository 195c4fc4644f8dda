"""Tests of explaining requests from logs."""

import testtools

from egretthread import explanation, logline

ANSWERED = {
    "took_s": "0.9",
    "objective_left_s": "-0.5",
    "expected_s": "0.1",
    "handed_s": "0.01",
    "tasks": "4",
    "runs": "4",
}


def line(event, at_s, source="entry", **fields):
    fields = {"job": "j", **{k: str(v) for k, v in fields.items()}}
    return logline.LogLine(source, at_s, event, fields)


def answered(outcome, at_s=10.0, **fields):
    fields = {**ANSWERED, "outcome": outcome, "reason": "deadline", **fields}
    return line("job_answered", at_s, **fields)


class TestOutcome(testtools.TestCase):
    def check(self, lines, outcome, *cause_parts):
        found = explanation.explain(lines, "j")
        self.assertEqual(outcome, found.outcome)
        for part in cause_parts:
            self.assertIn(part, found.cause)
        return found

    def test_a_request_that_no_line_mentions(self):
        self.assertIsNone(explanation.explain([answered("completed")], "other"))

    def test_a_refusal_for_lack_of_capacity(self):
        refused = line(
            "job_refused", 10.0, reason="overload", wait_s=3, usable_cpu=32
        )
        self.check([refused], "refused", "3 s", "32 usable")

    def test_a_refusal_of_a_job_whose_share_lost_to_another(self):
        refused = line(
            "job_refused",
            10.0,
            reason="overload",
            share="long",
            share_cpu=3.0,
            guaranteed_cpu=3.2,
            lost_to="guest",
            lost_to_cpu=20.0,
        )
        self.check(
            [refused], "refused", "share long used 3.0", "share guest 20.0"
        )
        given_up = answered(
            "refused",
            reason="no room in time",
            share="long",
            lost_to="guest",
            lost_to_cpu=20.0,
        )
        self.check([given_up], "refused", "share guest 20.0")

    def test_a_refusal_after_a_restart_of_the_entry(self):
        found_agents = line(
            "agents_found",
            9.9,
            job="",
            agents=11,
            usable_cpu=352,
            after_s=0.5,
            waiting_tasks=70,
        )
        refused = answered("refused", reason="no room in time", runs=0)
        self.check(
            [found_agents, refused], "refused", "just started", "70 tasks"
        )
        self.check([refused], "refused", "other jobs got the capacity first")

    def test_an_overload_after_a_restart_is_an_overload(self):
        found_agents = line("agents_found", 9.0, job="", agents=11)
        refused = line("job_refused", 10.0, reason="overload", wait_s=3)
        self.check([found_agents, refused], "refused", "wait for capacity")

    def test_a_job_that_was_passed_on_names_the_other_entry(self):
        passed = line("job_forwarded", 9.1, entry="e1#5", wait_s=3)
        ended = line(
            "forwarded_job_ended",
            10.0,
            entry="e1#5",
            outcome="refused",
            reason="overload",
            was_accepted="false",
        )
        self.check([passed, ended], "refused", "e1#5", "overload")
        ended.fields.update(outcome="given_up", was_accepted="true")
        ended.fields["reason"] = "other entry unreachable"
        self.check([passed, ended], "given_up", "e1#5", "unreachable")
        ended.fields.update(
            outcome="completed", objective_left_s="-0.2", there_s="0.8"
        )
        self.check([passed, ended], "late", "e1#5", "0.8 s")

    def test_lines_of_both_entries_about_a_job_that_was_passed_on(self):
        """The clock of the entry that ran it is two seconds ahead."""
        lines = [
            line("job_forwarded", 9.1, entry="e1#5"),
            line("forwarded_job_accepted", 11.1, "e1", entry="e0#4"),
            answered("completed", 11.9, objective_left_s="0.1"),
            line(
                "forwarded_job_ended",
                9.95,
                entry="e1#5",
                outcome="completed",
                took_s=0.9,
                objective_left_s=0.1,
            ),
        ]
        lines[2] = logline.LogLine("e1", 11.9, "job_answered", lines[2].fields)
        found = self.check(lines, "completed")
        self.assertEqual(
            ["job_forwarded", "forwarded_job_accepted"],
            [each.event for each in found.lines if "job_" in each.event][:2],
        )

    def test_a_task_that_failed_too_often(self):
        lines = [
            line("run_failed", 9.5, failures=1, allowed=2, agent="a#1"),
            line("run_failed", 9.8, failures=2, allowed=2, agent="b#1"),
            answered("failed", reason="task failed"),
        ]
        self.check(lines, "failed", "2 times of 2", "b#1")

    def test_a_task_that_crashed_backend_servers(self):
        lines = [
            line("run_lost", 9.5, "agent", server="i-1", age_s=0.03),
            line("run_lost", 9.8, "agent", server="i-2", age_s=0.03),
            answered("failed", reason="a task crashes backend servers"),
        ]
        self.check(lines, "failed", "crashed several backend servers")

    def test_a_late_answer_after_a_crash_of_a_backend_server(self):
        lines = [
            line("run_lost", 9.5, "agent", server="i-1", age_s=0.3),
            answered("completed", runs=5),
        ]
        self.check(lines, "late", "i-1 crashed", "0.3 s")

    def test_a_refusal_while_the_route_is_confined(self):
        refused = line("job_refused", 10.0, reason="route confined")
        self.check([refused], "refused", "crashed backend servers")

    def test_a_refusal_after_the_caller_stopped_waiting(self):
        refused = line("job_refused", 10.0, reason="no time left", late_s=0.4)
        self.check([refused], "refused", "0.4 s", "stopped waiting")

    def test_a_late_answer_after_its_agent_was_lost(self):
        state = line("agent_lost", 9.7, agent="a#1", silent_s=2.1, job="")
        slow = line("slow_run", 9.4, agent="a#1", room_elsewhere="true")
        found = self.check(
            [state, slow, answered("completed", runs=8)], "late", "2.1 s"
        )
        self.assertEqual(state, found.deciding_line)

    def test_a_late_answer_after_a_wait_for_capacity(self):
        lines = [answered("completed", handed_s=0.7)]
        self.check(lines, "late", "waited 0.7 s")

    def test_a_task_that_stalled(self):
        lines = [
            line("run_slow", 9.6, "agent", stalled="true", percent=40),
            answered("given_up"),
        ]
        self.check(lines, "given_up", "stalled at 40 %")

    def test_an_answer_in_time_needs_no_cause(self):
        lines = [answered("completed", objective_left_s=0.1)]
        self.check(lines, "completed", "in time")

    def test_after_the_end_of_an_entry_its_agents_show_the_cause(self):
        lines = [line("run_lapsed", 9.0, "agent", entry="e#1", silent_s=0.9)]
        self.check(lines, "unknown", "e#1", "0.9 s")

    def test_each_cause_has_named_placeholders_and_outcomes(self):
        for cause in explanation.CAUSES:
            self.assertNotIn("{}", cause.text)
            for outcome in cause.outcomes:
                self.assertNotEqual("", outcome)


class TestOrder(testtools.TestCase):
    def events(self, shift_s):
        lines = [
            line("run_slow", 9.5 + shift_s, "agent"),
            line("run_slow", 9.7 + shift_s, "agent"),
            line("slow_run", 9.71),
            answered("completed"),
        ]
        return [shown.event for shown in explanation.explain(lines, "j").lines]

    def test_clocks_that_differ_do_not_change_the_order(self):
        for shift_s in (-7200.0, -3.0, 0.0, 3.0, 7200.0):
            events = self.events(shift_s)
            self.assertEqual("job_answered", events[-1])

    def test_lines_within_the_request_are_not_shifted(self):
        self.assertEqual(
            ["run_slow", "run_slow", "slow_run", "job_answered"],
            self.events(0.0),
        )

    def test_state_lines_from_long_before_are_left_out(self):
        old = line("store_lost", 1.0, job="")
        near = line("store_lost", 8.0, job="")
        found = explanation.explain([old, near, answered("given_up")], "j")
        self.assertEqual((near,), found.state_lines)
