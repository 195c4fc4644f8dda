"""Tests of the backend server's stand-in."""

import asyncio
import time
import unittest

from egretthread_standins.platformsite import web
from egretthread_standins.platformsite.backendserver import BackendServer
from tests import aio

TASK = "00000000000000a1.0.0.0"


class BackendServerTest(unittest.TestCase):
    def play(self, scenario, work_s=5.0):
        """Returns the kinds of the events of a scenario, with their times."""
        events = []

        def log(who, what, at_s, **fields):
            events.append((what, fields.get("how", ""), at_s))

        async def run():
            server = BackendServer(
                "i-1", "service", "zone", 2000, lambda task: work_s, log
            )
            address = ("127.0.0.1", aio.free_port())
            await server.start(address, ("127.0.0.1", aio.free_port()))

            async def call(path, **table):
                table = {"task": TASK, "run": 1, "task_spec": "x", **table}
                return await web.call(address, "POST", path, table)

            try:
                await scenario(server, call)
            finally:
                await server.close()

        asyncio.run(run())
        return events

    def test_a_lease_lapses_in_time_though_the_loop_is_busy(self):
        async def scenario(server, call):
            until_ms = server.clock_ms + 100
            until.append(server.start_s + until_ms / 1000)
            await call("/run-start", until_ms=until_ms)
            time.sleep(0.4)
            await asyncio.sleep(0.01)

        until = []
        start, end, *_ = self.play(scenario)
        self.assertEqual(("end", "lapsed", until[0]), end)
        self.assertLess(start[2], until[0])

    def test_an_end_is_noted_unless_its_lease_lapsed_before(self):
        async def scenario(server, call):
            await call("/run-start", until_ms=server.clock_ms + 300)
            await asyncio.sleep(0.1)
            await call("/hold", last_seen=1)

        whats = [event[0] for event in self.play(scenario, work_s=0.05)]
        self.assertEqual(["start", "end", "end noted", "server gone"], whats)

    def test_a_run_that_was_stopped_is_not_started_late(self):
        async def scenario(server, call):
            until_ms = server.clock_ms + 1000
            await call("/run-stop")
            self.assertEqual(
                (409, "old"),
                _reason(await call("/run-start", until_ms=until_ms)),
            )
            self.assertEqual(
                (409, "late"), _reason(await call("/run-start", until_ms=1))
            )

        self.assertEqual("server gone", self.play(scenario)[0][0])


def _reason(answer):
    status, table = answer
    return status, table.get("reason")
