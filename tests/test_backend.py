"""Tests of the backend server stand-in."""

import asyncio
import json

import testtools
import tornado.httpclient

from egretthread_standins import backend, ledger


class BackendTest(testtools.TestCase):
    def run_with_backend(self, scenario):
        async def run():
            server = backend.BackendServer()
            server.start()
            http = tornado.httpclient.AsyncHTTPClient(force_instance=True)

            async def send(path, body=None, timeout_s=5.0):
                return await http.fetch(
                    server.url + path,
                    method="GET" if body is None else "POST",
                    body=None if body is None else json.dumps(body),
                    raise_error=False,
                    request_timeout=timeout_s,
                )

            try:
                await scenario(server, send)
            finally:
                http.close()
                await server.close()

        asyncio.run(run())

    def test_tasks_run_by_kind(self):
        line = ledger.make_line(1, 5)
        account = ledger.make_ledger(1)[5].reference

        async def scenario(server, send):
            sleep = await send("/tasks/o/k/0", {"kind": "sleep"})
            self.assertEqual(200, sleep.code)
            lookup = await send(
                "/tasks/o/k/1", {"kind": "line-lookup", "line": line}
            )
            self.assertEqual(account, json.loads(lookup.body)["account"])
            failed = await send("/tasks/o/k/2", {"kind": "fail"})
            self.assertEqual(
                (500, b"asked to fail"), (failed.code, failed.body)
            )
            unknown = await send("/tasks/o/k/3", {"kind": "brew"})
            self.assertEqual(500, unknown.code)

        self.run_with_backend(scenario)

    def test_double_starts_are_reported(self):
        async def scenario(server, send):
            for index in (0, 1, 1):
                await send(f"/tasks/o/k/{index}", {})
            report = json.loads((await send("/starts")).body)
            self.assertEqual((3, 2), (report["starts"], report["tasks"]))
            [double] = report["double_starts"]
            self.assertEqual(1, double["index"])
            self.assertEqual(2, len(double["times_s"]))

        self.run_with_backend(scenario)

    def test_control_injects_faults(self):
        async def scenario(server, send):
            await send("/control", {"fail_all": True})
            self.assertEqual(500, (await send("/tasks/o/k/0", {})).code)
            await send("/control", {"fail_all": False, "refuse": True})
            self.assertEqual(503, (await send("/tasks/o/k/1", {})).code)
            self.assertEqual(503, (await send("/health")).code)
            await send("/control", {"refuse": False, "silent": True})
            for path, body in (("/health", None), ("/tasks/o/k/2", {})):
                await self.assert_no_answer(send(path, body, 0.05))
            await send("/control", {"silent": False})
            self.assertEqual(200, (await send("/health")).code)
            self.assertEqual(400, (await send("/control", {"x": 1})).code)
            self.assertEqual([0], [task.index for task in server.starts])

        self.run_with_backend(scenario)

    def test_unanswered_request_never_starts(self):
        async def scenario(server, send):
            await send("/control", {"silent": True})
            await self.assert_no_answer(send("/tasks/o/k/0", {}, 0.2))
            server.stopped.set()
            # This response is sent only after the handlers that `stopped`
            # woke up have run.
            await send("/starts")
            self.assertEqual({}, dict(server.starts))

        self.run_with_backend(scenario)

    def test_hanging_tasks_have_started(self):
        async def scenario(server, send):
            by_kind = asyncio.ensure_future(
                send("/tasks/o/k/0", {"kind": "hang"})
            )
            await send("/control", {"hang": True})
            by_fault = asyncio.ensure_future(send("/tasks/o/k/1", {}))
            while server.running < 2:
                await asyncio.sleep(0)
            self.assertEqual(2, len(server.starts))
            self.assertFalse(by_kind.done() or by_fault.done())
            server.stopped.set()
            for response in (by_kind, by_fault):
                self.assertEqual(500, (await response).code)

        self.run_with_backend(scenario)

    async def assert_no_answer(self, response):
        try:
            answer = await response
        except tornado.httpclient.HTTPError as error:
            self.assertEqual(599, error.code)
        else:
            self.fail(f"answered {answer.code}")
