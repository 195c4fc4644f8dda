"""Jobs that callers of another queue ask for, or cancel."""

import asyncio
import json

import testtools

from tests.platform import fakes, test_keptpath, test_path
from tests.platform.test_operators import until

FOREIGN = {**fakes.CONFIG["routes"][0], "name": "r-2", "path_prefix": "/q/"}
CONFIG = {
    **fakes.CONFIG,
    "version": 8,
    "routes": [*fakes.CONFIG["routes"], FOREIGN],
}


class TestForeignQueues(testtools.TestCase):
    def play(self, scenario):
        async def run():
            async with test_path.Cluster() as cluster:
                cluster.store.put("op", "config", CONFIG)
                board = cluster.entry.server.board
                await until(lambda: board.operator_state.version == 8)
                cluster.backend.server.work_s = lambda name: 8.0
                await scenario(cluster)

        asyncio.run(run())

    async def state(self, cluster):
        path = f"/p/{1:016x}"
        code, body, _ = await cluster.fetch(cluster.callers, path)
        return code, json.loads(body).get("state")

    def test_a_job_is_not_known_in_another_queue(self):
        async def scenario(cluster):
            await cluster.submit(1, test_keptpath.KEPT)
            path = f"/q/{1:016x}"
            codes = [
                (await cluster.fetch(cluster.callers, path, method))[0]
                for method in ("GET", "DELETE")
            ]
            self.assertEqual([410, 410], codes)
            await asyncio.sleep(0.5)
            self.assertNotEqual((200, "cancelled"), await self.state(cluster))

        self.play(scenario)

    def test_a_delete_in_another_queue_does_not_cancel_a_later_job(self):
        async def scenario(cluster):
            path = f"/q/{1:016x}"
            await cluster.fetch(cluster.callers, path, "DELETE")
            await cluster.submit(1, test_keptpath.KEPT)
            await until(lambda: cluster.backend.server.runs)

        self.play(scenario)
