"""Tests of the log client, in particular of lost responses."""

import asyncio
from unittest import mock

import testtools

from egretthread import logclient
from egretthread_standins import logservice
from tests import logfixture

ENVELOPE = logclient.Envelope("i", "ann", 2.5, "x\ny")


async def contents(log: logclient.LogClient) -> list[str]:
    """Returns the payload of every envelope on the stream."""
    batch = await log.read("s", 0)
    return [logclient.decode_envelope(r.data).data for r in batch.records]


class LogClientTest(testtools.TestCase):
    def test_unexpected_end_is_a_conflict(self):
        async def scenario(service, log):
            await log.append("s", "a", 0)
            error = await logfixture.raises(
                logclient.AppendConflictError, log.append("s", "b", 0)
            )
            self.assertEqual(1, error.end)

        logfixture.run_with_log(scenario)

    def test_outage_is_unavailable_and_ends_long_polls(self):
        async def scenario(service, log):
            poll = asyncio.ensure_future(log.read("s", 0, 60.0))
            await log.read("s", 0)
            service.control({"outage": True})
            unavailable = logclient.LogUnavailableError
            await logfixture.raises(unavailable, poll)
            await logfixture.raises(unavailable, log.append("s", "a"))
            await logfixture.raises(
                unavailable, log.append_resolving("s", "a", "ann", 0)
            )
            service.control({"outage": False})
            self.assertEqual(0, (await log.read("s", 0)).end)

        logfixture.run_with_log(scenario)

    def test_lost_answer_is_distinguished_from_a_refusal(self):
        async def scenario(service, log):
            service.control({"lose_answers": 1})
            await logfixture.raises(
                logclient.AnswerLostError, log.append("s", "a")
            )
            self.assertEqual(1, service.stream("s").end)

        logfixture.run_with_log(scenario)

    def test_slow_answer_is_a_lost_answer(self):
        async def scenario(service, log):
            log.timeout_s = 0.5
            service.control({"delay_s": 1.0})
            await logfixture.raises(
                logclient.AnswerLostError, log.append("s", "a")
            )
            service.control({"delay_s": 0.0})
            batch = await log.read("s", 0, 30.0)
            self.assertEqual(["a"], [r.data for r in batch.records])

        logfixture.run_with_log(scenario)

    def test_lost_answer_is_resolved_by_reading_back(self):
        async def scenario(service, log):
            for expected in (0, None):
                service.control({"lose_answers": 1})
                await log.append_resolving("s", "a", "ann", expected)
            self.assertEqual(["a", "a"], await contents(log))

        logfixture.run_with_log(scenario)

    def test_lost_append_is_retried_at_the_same_offset(self):
        async def scenario(service, log):
            service.control({"lose_appends": 1})
            offset = await log.append_resolving("s", "a", "ann", 0)
            self.assertEqual(0, offset)
            self.assertEqual(["a"], await contents(log))

        logfixture.run_with_log(scenario)

    def test_delayed_first_append_is_found_by_the_retry(self):
        async def scenario(service, log):
            append = log.append
            texts = []

            async def append_late(stream, text, expected):
                texts.append(text)
                if not texts[1:]:
                    raise logclient.answer_lost(stream, "delayed")
                service.append(stream, texts[0])
                return await append(stream, text, expected)

            log.append = append_late
            offset = await log.append_resolving("s", "a", "ann", 0)
            self.assertEqual(0, offset)
            self.assertEqual(["a"], await contents(log))

        logfixture.run_with_log(scenario)

    @mock.patch.object(logservice, "MAX_BATCH_RECORDS", 1)
    def test_reading_back_spans_batches(self):
        async def scenario(service, log):
            for text in ("other", logclient.encode_envelope(ENVELOPE)):
                service.append("s", text)
            self.assertEqual(1, await log.find("s", 0, ENVELOPE.id))
            self.assertIsNone(await log.find("s", 0, "missing"))

        logfixture.run_with_log(scenario)

    def test_lost_append_to_any_offset_stays_unresolved(self):
        async def scenario(service, log):
            service.control({"lose_appends": 1})
            error = await logfixture.raises(
                logclient.AppendUnresolvedError,
                log.append_resolving("s", "a", "ann"),
            )
            self.assertIn("may still arrive", str(error))
            self.assertEqual([], await contents(log))

        logfixture.run_with_log(scenario)

    def test_lost_append_preceded_by_another_record_is_a_conflict(self):
        async def scenario(service, log):
            append = log.append

            async def append_after_another(stream, text, expected):
                service.append(stream, "other")
                service.control({"lose_appends": 1})
                return await append(stream, text, expected)

            log.append = append_after_another
            error = await logfixture.raises(
                logclient.AppendConflictError,
                log.append_resolving("s", "a", "ann", 0),
            )
            self.assertEqual(1, error.end)

        logfixture.run_with_log(scenario)

    def test_outage_after_a_lost_answer_leaves_it_unresolved(self):
        async def scenario(service, log):
            append = log.append

            async def append_before_outage(stream, text, expected):
                service.control({"lose_answers": 1})
                try:
                    return await append(stream, text, expected)
                finally:
                    service.control({"outage": True})

            log.append = append_before_outage
            error = await logfixture.raises(
                logclient.AppendUnresolvedError,
                log.append_resolving("s", "a", "ann", 0),
            )
            service.control({"outage": False})
            found = await log.find("s", 0, error.record_id)
            self.assertEqual(0, found)

        logfixture.run_with_log(scenario)

    def test_envelope_round_trip_and_foreign_text(self):
        text = logclient.encode_envelope(ENVELOPE)
        self.assertEqual(ENVELOPE, logclient.decode_envelope(text))
        for foreign in ("", "[]", "3", '{"id": "i"}'):
            self.assertIsNone(logclient.decode_envelope(foreign))
