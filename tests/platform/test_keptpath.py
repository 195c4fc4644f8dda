"""Kept jobs through the adapter, with the store in trouble."""

import asyncio
import json

import testtools

from egretthread import metrics
from egretthread.platform import programs
from egretthread.scheduling import joblog
from tests.platform import test_path
from tests.platform.test_operators import until

KEPT = {**test_path.JOB, "best_effort": False}


class TestJobLog(testtools.TestCase):
    def play(self, scene):
        async def run():
            async with test_path.Path() as path:
                await scene(path)

        asyncio.run(run())

    async def state(self, path, number):
        code, body, _ = await path.fetch(path.callers, f"/p/{number:016x}")
        return code, json.loads(body).get("state")

    async def wait_for(self, path, number, state):
        async with asyncio.timeout(20):
            while await self.state(path, number) != (200, state):
                await asyncio.sleep(0.05)

    def starts(self, path):
        return len(path.backend.server.history)

    def test_a_kept_job_is_stored_then_completed_once(self):
        async def scene(path):
            code, body, _ = await path.submit(1, KEPT)
            self.assertEqual(200, code)
            self.assertEqual({"state": "queued"}, json.loads(body))
            _, body, _ = await path.fetch(path.callers, "/p/")
            self.assertEqual({"pending_jobs": 1}, json.loads(body))
            await self.wait_for(path, 1, "completed")
            self.assertEqual(200, (await path.submit(1, KEPT))[0])
            await asyncio.sleep(0.3)
            self.assertEqual((200, "completed"), await self.state(path, 1))
            self.assertEqual(4, self.starts(path))
            self.assertEqual((410, None), await self.state(path, 2))

        self.play(scene)

    def test_calls_to_the_store_are_measured(self):
        async def scene(path):
            await path.submit(1, KEPT)
            table = metrics.Metrics()
            for name, value_s, *labels in path.entry.server.board.samples:
                table.observe(name, value_s, *labels)
            text, _ = table.render()
            row = b'store_seconds_count{call="append",result="200"}'
            self.assertIn(row, text)

        self.play(scene)

    def test_another_entry_goes_on_with_the_jobs(self):
        async def scene(path):
            await path.submit(1, KEPT)
            await self.wait_for(path, 1, "completed")
            path.backend.server.work_s = lambda name: 8.0
            await path.submit(2, KEPT)
            await until(lambda: path.backend.server.runs)
            await path.entry.close()
            path.backend.server.work_s = lambda name: 0.1
            path.entry = programs.Entry(path.entry.settings)
            await path.entry.start()
            self.assertEqual((200, "completed"), await self.state(path, 1))
            await self.wait_for(path, 2, "completed")
            ends = [row[4] for row in path.backend.server.history]
            self.assertEqual(8, ends.count("done"))
            self.assertEqual((200, "completed"), await self.state(path, 1))

        self.play(scene)

    def test_writes_without_an_answer_are_repeated_once(self):
        async def scene(path):
            await path.submit(1, KEPT)
            await self.wait_for(path, 1, "completed")
            path.store.mode = "lost"
            lost = asyncio.ensure_future(path.submit(2, KEPT))
            await asyncio.sleep(0.4)
            path.store.mode = ""
            self.assertIn((await lost)[0], (200, 504))
            await self.wait_for(path, 2, "completed")
            self.assertEqual(8, self.starts(path))

        self.play(scene)

    def test_a_store_that_refuses_takes_no_job(self):
        async def scene(path):
            path.store.mode = "busy"
            code, _, headers = await path.submit(1, KEPT)
            self.assertEqual(503, code)
            self.assertIn("Retry-After", headers)
            path.store.mode = ""
            await asyncio.sleep(3.5)
            self.assertEqual((410, None), await self.state(path, 1))
            self.assertEqual(0, self.starts(path))

        self.play(scene)

    def test_a_cancelled_job_is_stopped(self):
        async def scene(path):
            path.backend.server.work_s = lambda name: 8.0
            await path.submit(1, KEPT)
            await until(lambda: path.backend.server.runs)
            name = "/p/" + f"{1:016x}"
            code, _, _ = await path.fetch(path.callers, name, "DELETE")
            self.assertEqual(200, code)
            await self.wait_for(path, 1, "cancelled")
            await until(lambda: not path.backend.server.runs)
            unknown = "/p/" + f"{2:016x}"
            code, _, _ = await path.fetch(path.callers, unknown, "DELETE")
            self.assertEqual(410, code)

        self.play(scene)

    def test_unreadable_records_name_no_job(self):
        async def scene(path):
            await path.submit(1, KEPT)
            for key, value in (("x", [1]), ("y", {"spec": 3}), ("z", "")):
                path.store.put(joblog.JOBS, key, value)
                path.store.put(joblog.PROGRESS, key, value)
            await self.wait_for(path, 1, "completed")

        self.play(scene)
