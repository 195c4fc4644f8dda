"""Tests of the command line with a log service and scripted processes."""

import asyncio
import json
import os
import pathlib
import tempfile
import threading

import testtools
from typer import testing

from egretthread import client, cmdline, commands, console
from egretthread_standins import logservice
from tests.fakeentry import FakeEntry, answer_to, refusal

ZONES = """
[[zones]]
name = "a"
region = "r"
"""


class LoopThread:
    """An event loop in a thread, for servers that are called by commands.

    The commands block the thread of the test.
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.servers = LoopThread()
        self.addCleanup(self.servers.close)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def start_server(self, make):
        async def start():
            server = make()
            server.start()
            return server

        server = self.servers.run(start())
        self.addCleanup(lambda: self.servers.run(server.close()))
        return server

    def start_log(self):
        settings = logservice.LogServiceSettings()
        return self.start_server(lambda: logservice.LogService(settings))

    def start_entry(self, *script):
        return self.start_server(lambda: FakeEntry(*script))

    def file(self, text):
        path = self.directory / f"{len(os.listdir(self.directory))}.txt"
        path.write_text(text)
        return str(path)

    def run_command(self, *arguments, code=console.EXIT_OK, **options):
        result = testing.CliRunner().invoke(cmdline.app, arguments, **options)
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def run_json(self, *arguments, **options):
        result = self.run_command(*arguments, "--json", **options)
        return json.loads(result.stdout)


class HelpTest(CommandTest):
    def test_every_installed_group_and_the_exit_codes_are_shown(self):
        shown = self.run_command("--help").stdout
        for name in commands.GROUPS:
            if cmdline.is_installed(name):
                self.assertIn(name, shown)
        self.assertIn("Exit codes", shown)

    def test_usage_errors_exit_with_their_code(self):
        missing = str(self.directory / "missing")
        for arguments in (
            ("nosuch",),
            ("zone", "withdraw"),
            ("config", "check", missing),
        ):
            self.run_command(*arguments, code=console.EXIT_USAGE)


class ConfigurationTest(CommandTest):
    def setUp(self):
        super().setUp()
        self.log = self.start_log()
        self.env = {"EGRETTHREAD_LOG_URL": self.log.url}
        self.zones = self.file(ZONES)

    def publish(self, expect, **options):
        return self.run_command(
            "config",
            "publish",
            self.zones,
            "--expect",
            str(expect),
            env=self.env,
            **options,
        )

    def test_publish_show_and_history(self):
        self.publish(0)
        shown = self.run_command("config", "show", env=self.env)
        self.run_command("config", "check", "-", input=shown.stdout)
        self.run_command("zone", "withdraw", "a", env=self.env)
        rows = self.run_json("config", "history", env=self.env)
        self.assertEqual([0, 1], [row["offset"] for row in rows])
        self.assertIn("withdrawn", rows[1]["changes"][0])

    def test_zones_and_servers_are_taken_out_and_returned(self):
        self.publish(0)
        for arguments, field, value in (
            (("zone", "withdraw", "a"), "zones", True),
            (("zone", "restore", "a"), "zones", False),
            (("server", "drain", "w1"), "draining_servers", ["w1"]),
            (("server", "undrain", "w1"), "draining_servers", []),
        ):
            self.run_command(*arguments, env=self.env)
            shown = self.run_json("config", "show", env=self.env)
            state = shown["configuration"][field]
            if field == "zones":
                state = state[0]["withdrawn"]
            self.assertEqual(value, state)

    def test_the_loser_of_a_race_exits_with_its_code(self):
        self.publish(0)
        result = self.publish(0, code=console.EXIT_RACED)
        self.assertIn("remedy:", result.stderr)

    def test_unknown_zone_is_refused(self):
        self.publish(0)
        self.run_command(
            "zone", "withdraw", "b", code=console.EXIT_REFUSED, env=self.env
        )

    def test_faults_are_listed_as_json(self):
        bad = self.file('nosuch = 1\n[[zones]]\nname = ""\nregion = "r"\n')
        result = self.run_command(
            "config", "check", bad, "--json", code=console.EXIT_REFUSED
        )
        self.assertEqual(2, len(json.loads(result.stderr)["faults"]))

    def test_log_outage_exits_as_unavailable(self):
        self.log.faults.outage = True
        self.run_command(
            "config", "show", code=console.EXIT_UNAVAILABLE, env=self.env
        )

    def test_wait_until_in_force(self):
        self.publish(0)
        entry = self.start_entry(
            (503, {"config_offset": 0}), (200, {"config_offset": 1})
        )
        address = entry.url.removeprefix("http://")
        wait = ("--wait", "--admin", address)
        done = self.run_json("zone", "withdraw", "a", *wait, env=self.env)
        self.assertEqual("in_force", done["state"])
        self.run_command(
            *("zone", "restore", "a", *wait, "--timeout-s", "0"),
            code=console.EXIT_UNAVAILABLE,
            env=self.env,
        )

    def test_wait_without_addresses_is_a_usage_error(self):
        self.run_command(
            *("zone", "withdraw", "a", "--wait"),
            code=console.EXIT_USAGE,
            env=self.env,
        )

    def test_rotated_key_is_published_and_retired(self):
        self.zones = self.file('[[organisations]]\nname = "dublin"\n')
        self.publish(0)
        made = self.run_json("key", "rotate", "dublin", env=self.env)
        self.assertTrue(made["token"].startswith("dublin."))
        self.run_command("key", "retire", "dublin", made["name"], env=self.env)


class JobTest(CommandTest):
    def options(self, entry):
        return ("--endpoint", entry.url, "--token", "dublin.secret")

    def submit(self, entry, text, *extra, **options):
        return self.run_json(
            "job",
            "submit",
            self.file(text),
            *self.options(entry),
            *extra,
            **options,
        )

    def test_answer_and_exit_code(self):
        job = json.dumps({"service": "s", "tasks": [{"payload": {"n": 1}}]})
        key = client.new_key()
        answer = self.submit(self.start_entry(answer_to), job, "--key", key)
        self.assertEqual(key, answer["key"])
        self.assertEqual({"n": 1}, answer["tasks"][0]["result"])
        failed = [{"outcome": "not_run", "reason": "cancelled"}]
        body = {"key": key, "state": "failed", "tasks": failed}
        entry = self.start_entry((200, body))
        self.submit(entry, job, "--key", key, code=console.EXIT_REFUSED)

    def test_faulty_job_file_is_rejected_before_sending(self):
        entry = self.start_entry(answer_to)
        text = json.dumps({"tasks": [{"load": 1}], "more": 2})
        result = self.run_command(
            *("job", "submit", self.file(text), *self.options(entry)),
            code=console.EXIT_REFUSED,
        )
        lines = result.stderr.splitlines()
        self.assertEqual("error: the job file holds 3 fault(s)", lines[0])
        self.assertEqual(5, len(lines))
        self.assertEqual([], entry.requests)

    def test_status_and_cancel(self):
        key = client.new_key()
        entry = self.start_entry(
            (200, {"key": key, "state": "running"}),
            (202, {"key": key, "state": "cancelling"}),
            refusal(404, "unknown_job"),
        )
        options = self.options(entry)
        running = self.run_json("job", "status", key, *options)
        self.assertEqual("running", running["state"])
        self.run_json("job", "cancel", key, *options)
        self.run_command(
            "job", "status", key, *options, code=console.EXIT_REFUSED
        )


class RequestTest(CommandTest):
    def test_outcome_and_exit_code(self):
        text = json.dumps({"service": "s", "payload": {"n": 1}})
        done = (200, {"outcome": "done", "result": {"n": 2}})
        entry = self.start_entry(done, (200, {"outcome": "x", "reason": "y"}))
        options = ("--endpoint", entry.url, "--token", "dublin.secret")
        command = ("request", "submit", self.file(text), *options)
        outcome = self.run_json(*command, "--idempotent")
        self.assertEqual({"outcome": "done", "result": {"n": 2}}, outcome)
        ((_, path, body),) = entry.requests
        self.assertEqual("/v1/requests", path)
        self.assertTrue(body["idempotent"])
        # The task may have started although the answer is malformed, so a
        # request that is not idempotent is not retried.
        self.run_command(*command, code=console.EXIT_UNAVAILABLE)
        self.assertEqual(2, len(entry.requests))


class ProcessTest(CommandTest):
    def test_state_dump(self):
        entry = self.start_entry((200, {"node": "entry-1#5"}))
        address = entry.url.removeprefix("http://")
        state = self.run_json("state", "dump", address)
        self.assertEqual({"node": "entry-1#5"}, state)

    def test_settings_check_lists_faults(self):
        result = self.run_command(
            *("settings", "check", "agent", self.file("slots = 0\n")),
            code=console.EXIT_REFUSED,
        )
        self.assertIn("slots = 0", result.stderr)


class ExplainTest(CommandTest):
    LINES = """\
  10.1 entry-1 time=2026-12-04T02:00:00.100Z event=store_lost error=silent
  10.2 entry-1 time=2026-12-04T02:00:00.200Z event=job_refused job=j \
reason="no backend server"
noise
  10.0 agent-1 time=2026-12-04T02:00:00.000Z event=started name=agent-1
"""

    def test_a_request_is_explained(self):
        path = self.file(self.LINES)
        result = self.run_command("explain", "request", "j", path)
        self.assertIn("outcome: refused", result.stdout)
        self.assertIn("no backend server", result.stdout)
        self.assertIn("store_lost", result.stdout)
        found = self.run_json("explain", "request", "j", path)
        self.assertEqual("refused", found["outcome"])

    def test_a_request_without_lines_or_files_is_an_error(self):
        path = self.file(self.LINES)
        for arguments in (("other", path), ("j", path + ".gone")):
            self.run_command(
                "explain", "request", *arguments, code=console.EXIT_REFUSED
            )

    def test_lines_are_printed_in_order(self):
        path = self.file(self.LINES)
        result = self.run_command("explain", "lines", path)
        events = [line.split()[3] for line in result.stdout.splitlines()]
        self.assertEqual(["started", "store_lost", "job_refused"], events)
        result = self.run_command(
            "explain", "lines", "--event", "started", path
        )
        self.assertEqual(1, len(result.stdout.splitlines()))
