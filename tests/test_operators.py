"""Tests of fetching, editing and publishing the configuration."""

import functools
import io

import testtools

from egretthread import configtext, logclient, operators, util
from tests import logfixture

STREAM = "config"
BASE = operators.Configuration(
    zones=tuple(operators.AvailabilityZone(name, "eire-east") for name in "abc")
)


def withdraw(name: str) -> operators.Edit:
    """Returns the edit that withdraws an availability zone."""
    return functools.partial(operators.withdraw_zone, name=name)


class OperatorsTest(testtools.TestCase):
    def test_printed_text_is_what_the_system_accepts(self):
        printed = io.StringIO()
        operators.print_configuration(BASE, printed)
        self.assertEqual(BASE, configtext.loads(printed.getvalue()))

    def test_change_fetches_edits_and_publishes(self):
        async def scenario(service, log):
            empty = await operators.fetch(log, STREAM)
            self.assertEqual((-1, 0), (empty.offset, empty.next_offset))
            await operators.publish(log, STREAM, BASE, 0, "ann")
            await operators.change(log, STREAM, withdraw("a"), "bob")
            same = await operators.change(log, STREAM, withdraw("a"), "cat")
            self.assertEqual((1, "bob"), (same.offset, same.author))
            self.assertTrue(same.configuration.zone("a").withdrawn)
            history = await operators.history(log, STREAM)
            self.assertEqual(["ann", "bob"], [c.author for c in history])
            self.assertIsNone(history[0].changes)
            self.assertEqual(
                ("zones.a.withdrawn: False -> True",), history[1].changes
            )

        logfixture.run_with_log(scenario)

    def test_of_two_racing_operators_one_wins(self):
        async def scenario(service, log):
            await operators.publish(log, STREAM, BASE, 0, "ann")
            fetched = await operators.fetch(log, STREAM)
            await operators.change(log, STREAM, withdraw("a"), "bob")
            late = operators.withdraw_zone(fetched.configuration, "b")
            error = await logfixture.raises(
                operators.ConfigurationRacedError,
                operators.publish(
                    log, STREAM, late, fetched.next_offset, "cat"
                ),
            )
            self.assertEqual("bob", error.author)
            self.assertEqual(
                ("zones.a.withdrawn: False -> True",), error.changes
            )
            latest = await operators.fetch(log, STREAM)
            self.assertEqual((1, "bob"), (latest.offset, latest.author))

        logfixture.run_with_log(scenario)

    def test_lost_answer_is_not_taken_for_a_lost_race(self):
        async def scenario(service, log):
            service.control({"lose_answers": 1})
            published = await operators.publish(log, STREAM, BASE, 0, "ann")
            self.assertEqual(0, published.offset)
            self.assertEqual(1, service.stream(STREAM).end)

        logfixture.run_with_log(scenario)

    def test_faulty_configuration_is_not_published(self):
        async def scenario(service, log):
            faulty = operators.Configuration(shards=0, retention_s=1)
            error = await logfixture.raises(
                util.OptionError,
                operators.publish(log, STREAM, faulty, 0, "ann"),
            )
            self.assertEqual(3, len(error.faults))
            self.assertEqual(0, service.stream(STREAM).end)

        logfixture.run_with_log(scenario)

    def test_bad_record_is_skipped(self):
        async def scenario(service, log):
            await operators.publish(log, STREAM, BASE, 0, "ann")
            service.append(STREAM, "junk")
            fetched = await operators.fetch(log, STREAM)
            self.assertEqual((0, 2), (fetched.offset, fetched.next_offset))
            await operators.change(log, STREAM, withdraw("a"), "bob")
            history = await operators.history(log, STREAM)
            self.assertEqual(
                ["", "the record is not an envelope", ""],
                [record.fault for record in history],
            )

        logfixture.run_with_log(scenario)

    def test_expired_configuration_is_reported(self):
        clock = logfixture.ManualClock()

        async def scenario(service, log):
            await operators.publish(log, STREAM, BASE, 0, "ann")
            clock.now_s = 11.0
            error = await logfixture.raises(
                operators.ConfigurationExpiredError,
                operators.change(log, STREAM, withdraw("a"), "bob"),
            )
            await operators.publish(log, STREAM, BASE, error.next_offset, "bob")
            self.assertEqual(
                BASE, (await operators.fetch(log, STREAM)).configuration
            )

        logfixture.run_with_log(scenario, clock, retention_s=10.0)

    def test_offset_beyond_the_end_is_no_race(self):
        async def scenario(service, log):
            await logfixture.raises(
                logclient.AppendConflictError,
                operators.publish(log, STREAM, BASE, 9, "ann"),
            )

        logfixture.run_with_log(scenario)

    def test_nothing_is_published_during_an_outage(self):
        async def scenario(service, log):
            service.control({"outage": True})
            for call in (
                operators.fetch(log, STREAM),
                operators.publish(log, STREAM, BASE, 0, "ann"),
            ):
                await logfixture.raises(operators.LogUnavailableError, call)
            self.assertEqual(0, service.stream(STREAM).end)

        logfixture.run_with_log(scenario)
