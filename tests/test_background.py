"""Tests of background loops."""

import asyncio
import io
import logging

import testtools

from egretthread import background, logs


class TestKeepRunning(testtools.TestCase):
    def run_loop(self, *results):
        """Runs a loop with these results; an exception is raised."""
        output = io.StringIO()
        logs.setup("info", "test", output)
        self.addCleanup(logging.getLogger().handlers.clear)
        self.patch(background, "RESTART_DELAY_S", 0.0)
        remaining = list(results)

        async def loop():
            result = remaining.pop(0)
            if isinstance(result, BaseException):
                raise result

        asyncio.run(background.keep_running(loop))
        return remaining, output.getvalue()

    def test_a_loop_goes_on_after_an_unexpected_error(self):
        remaining, output = self.run_loop(KeyError("x"), ValueError("y"), None)
        self.assertEqual([], remaining)
        self.assertEqual(2, output.count("event=background_loop_failed"))

    def test_a_cancelled_loop_ends(self):
        with self.assertRaises(asyncio.CancelledError):
            self.run_loop(asyncio.CancelledError(), None)
