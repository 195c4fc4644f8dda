"""Tests of the log service stand-in."""

import asyncio

import testtools

from egretthread import logclient
from egretthread_standins import logservice
from tests import logfixture


class LogServiceTest(testtools.TestCase):
    def test_records_keep_their_order_and_offsets(self):
        async def scenario(service, log):
            offsets = [await log.append("s", text) for text in "abc"]
            self.assertEqual([0, 1, 2], offsets)
            batch = await log.read("s", 1)
            self.assertEqual((0, 3), (batch.first, batch.end))
            self.assertEqual(["b", "c"], [r.data for r in batch.records])

        logfixture.run_with_log(scenario)

    def test_append_ends_a_long_poll(self):
        async def scenario(service, log):
            poll = asyncio.ensure_future(log.read("s", 0, 60.0))
            await log.append("s", "a")
            batch = await poll
            self.assertEqual(["a"], [r.data for r in batch.records])

        logfixture.run_with_log(scenario)

    def test_records_expire_by_count(self):
        async def scenario(service, log):
            for text in "abc":
                await log.append("s", text)
            error = await logfixture.raises(
                logclient.OffsetExpiredError, log.read("s", 0)
            )
            self.assertEqual((1, 3), (error.first, error.end))

        logfixture.run_with_log(scenario, max_records=2)

    def test_records_expire_by_age(self):
        clock = logfixture.ManualClock()

        async def scenario(service, log):
            await log.append("s", "a")
            clock.now_s = 11.0
            error = await logfixture.raises(
                logclient.OffsetExpiredError, log.read("s", 0)
            )
            self.assertEqual((1, 1), (error.first, error.end))
            self.assertEqual(1, await log.append("s", "b", 1))

        logfixture.run_with_log(scenario, clock, retention_s=10.0)

    def test_streams_survive_a_restart(self):
        async def scenario(service, log):
            await log.append("s", "a")
            await service.close()
            await logfixture.raises(
                logclient.LogUnavailableError, log.append("s", "b")
            )
            service.start()
            self.assertEqual(1, await log.append("s", "b"))

        logfixture.run_with_log(scenario)

    def test_control_over_http_refuses_unknown_faults(self):
        async def scenario(service, log):
            for body, status in (('{"outage": true}', 200), ('{"x": 1}', 400)):
                response = await log.http.fetch(
                    f"{service.url}/control",
                    method="POST",
                    body=body,
                    raise_error=False,
                )
                self.assertEqual(status, response.code)
            self.assertTrue(service.faults.outage)

        logfixture.run_with_log(scenario)

    def test_settings_are_read_from_the_command_line(self):
        arguments = ["--port", "7", "--retention-s", "2", "--max-records", "3"]
        self.assertEqual(
            logservice.LogServiceSettings(7, 2.0, 3),
            logservice.parse_settings(arguments),
        )
