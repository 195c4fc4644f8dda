"""Tests of the client library with scripted entries."""

import asyncio
import random
import socket

import testtools
from tornado import simple_httpclient

from egretthread import apierror, client, endpoints, jobkey
from egretthread.client import Job, JobState, Task
from tests.fakeentry import CUT_OFF, FakeEntry, answer_to, refusal

TWO_TASKS = (Task({"line": 1}), Task({"line": 2}))


def make_job(deadline_s=30.0):
    return Job(client.new_key("j"), "ledger-match", TWO_TASKS, deadline_s)


async def with_client(entries, use, extra_urls=(), **options):
    for entry in entries:
        entry.start()
    urls = (*extra_urls, *(entry.url for entry in entries))
    caller = client.AsyncClient(
        client.ClientSettings(urls, "dublin.secret", **options),
        rng=random.Random(1),
    )
    caller.start()
    try:
        return await use(caller)
    finally:
        caller.close()
        for entry in entries:
            await entry.close()


def free_url():
    """Returns a URL that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{probe.getsockname()[1]}"


def submit(*entries, job=None, rekey=False, **options):
    job = job or make_job()
    return asyncio.run(
        with_client(entries, lambda c: c.submit(job, rekey), **options)
    )


class SubmitTest(testtools.TestCase):
    def refused(self, *entries, error, **options):
        return self.assertRaises(error, submit, *entries, **options)

    def test_complete_answer_with_results_as_json_text(self):
        entry = FakeEntry(answer_to)
        answer = submit(entry)
        self.assertTrue(answer.complete)
        self.assertEqual('{"line": 2}', answer.outcomes[1].result)
        self.assertEqual(["Bearer dublin.secret"], entry.tokens)

    def test_cut_off_connection_is_retried_under_the_same_key(self):
        entry = FakeEntry(CUT_OFF, answer_to)
        submit(entry)
        first, second = entry.requests
        self.assertEqual(first, second)

    def test_refused_connection_moves_to_another_entry(self):
        entry = FakeEntry(answer_to)
        answer = submit(entry, extra_urls=(free_url(),))
        self.assertTrue(answer.complete)

    def test_temporary_refusals_are_retried(self):
        for status, kind in (
            (425, "key_in_future"),
            (429, "quota_exceeded"),
            (429, "overloaded"),
            (503, "unavailable"),
            (503, "superseded"),
            (503, "deadline_exceeded"),
        ):
            temporary = refusal(status, kind, retry_after_s=0.001)
            entry = FakeEntry(temporary, answer_to)
            submit(entry)
            self.assertEqual(2, len(entry.requests), kind)

    def test_permanent_refusals_are_typed_and_not_retried(self):
        for status, error in (
            (400, apierror.BadRequestError),
            (401, apierror.UnauthorisedError),
            (404, apierror.UnknownServiceError),
            (409, apierror.KeyConflictError),
            (410, apierror.KeyExpiredError),
            (418, apierror.ApiError),
        ):
            entry = FakeEntry(refusal(status, error.kind, faults=["key = 1"]))
            raised = self.refused(entry, error=error)
            self.assertEqual(1, len(entry.requests))
            self.assertEqual(("key = 1",), raised.faults)
            self.assertFalse(raised.may_have_started)

    def test_refusal_after_a_lost_answer_may_have_started(self):
        entry = FakeEntry(CUT_OFF, refusal(410, "key_expired"))
        raised = self.refused(entry, error=apierror.KeyExpiredError)
        self.assertTrue(raised.may_have_started)

    def test_foreign_partial_and_malformed_answers_are_rejected(self):
        def foreign(body):
            return answer_to(body | {"key": client.new_key()})

        def partial(body):
            return answer_to(body | {"tasks": body["tasks"][:1]})

        entry = FakeEntry(foreign, partial, (200, "[1"), answer_to)
        self.assertTrue(submit(entry).complete)
        self.assertEqual(4, len(entry.requests))

    def test_retry_after_beyond_the_deadline_gives_up(self):
        entry = FakeEntry(refusal(503, "unavailable", retry_after_s=60.0))
        self.refused(
            entry, error=apierror.UnavailableError, job=make_job(deadline_s=0.1)
        )
        self.assertEqual(1, len(entry.requests))

    def test_exhausted_retry_budget_ends_the_attempts(self):
        entry = FakeEntry(refusal(503, "unavailable"))
        self.refused(
            entry,
            error=apierror.UnavailableError,
            job=make_job(deadline_s=0.5),
            answer_grace_s=0.0,
            min_retries_per_s=1.0,
        )
        self.assertEqual(2, len(entry.requests))


class SingleRequestTest(testtools.TestCase):
    def request(self, entry, idempotent):
        single = client.SingleRequest("s", 1, idempotent=idempotent)
        return asyncio.run(with_client([entry], lambda c: c.request(single)))

    def test_retried_only_if_idempotent_or_not_started(self):
        done = (200, {"outcome": "done", "result": 7})
        temporary = refusal(429, "overloaded", retry_after_s=0.001)
        for step, idempotent, sent in (
            (temporary, False, 2),
            (CUT_OFF, True, 2),
            (CUT_OFF, False, 1),
            ((503, "error page of a load balancer"), False, 1),
        ):
            entry = FakeEntry(step, done)
            if sent == 2:
                outcome = self.request(entry, idempotent)
                self.assertEqual("7", outcome.result)
            else:
                error = self.assertRaises(
                    apierror.ApiError, self.request, entry, idempotent
                )
                self.assertTrue(error.may_have_started)
            self.assertEqual(sent, len(entry.requests), step)


class RekeyTest(testtools.TestCase):
    def test_new_key_only_if_allowed_and_not_started(self):
        shard = refusal(503, "shard_unavailable")
        for script, rekey, fresh in (
            ((shard, answer_to), True, True),
            ((shard, answer_to), False, False),
            ((CUT_OFF, shard, answer_to), True, False),
        ):
            entry = FakeEntry(*script)
            job = Job(jobkey.make_key(1.0, "j"), "s", TWO_TASKS)
            answer = submit(entry, job=job, rekey=rekey)
            self.assertEqual(fresh, answer.key != job.key)
            self.assertTrue(answer.key.endswith("-j"))


class ControlTest(testtools.TestCase):
    def test_status_and_cancel(self):
        key = client.new_key()
        entry = FakeEntry(
            (200, {"key": key, "state": "stranded"}),
            (202, {"key": key, "state": "cancelling"}),
            refusal(404, "unknown_job"),
        )

        async def use(caller):
            self.assertEqual(
                JobState.STRANDED, (await caller.status(key)).state
            )
            self.assertEqual(
                JobState.CANCELLING, (await caller.cancel(key)).state
            )
            try:
                await caller.status(key)
            except apierror.UnknownJobError as error:
                return error
            return None

        error = asyncio.run(with_client([entry], use))
        self.assertFalse(error.may_have_started)
        methods = [request[0] for request in entry.requests]
        self.assertEqual(["GET", "DELETE", "GET"], methods)

    def test_sync_client_works_without_a_loop(self):
        settings = client.ClientSettings(
            (free_url(),), "a.b", answer_grace_s=0.0
        )
        caller = client.Client(settings)
        caller.start()
        self.addCleanup(caller.close)
        error = self.assertRaises(
            apierror.ConnectionLostError,
            caller.submit,
            make_job(deadline_s=0.2),
        )
        self.assertFalse(error.may_have_started)

    def test_timeout_while_connecting_starts_nothing(self):
        """Close to the deadline, connecting times out after a millisecond."""
        for text, started in (
            ("Timeout while connecting", False),
            ("Timeout in request queue", False),
            ("Timeout during request", True),
        ):

            async def use(caller, text=text):
                async def fetch(*args, **options):
                    raise simple_httpclient.HTTPTimeoutError(text)

                caller.http.fetch = fetch
                try:
                    await caller.submit(make_job(deadline_s=0.05))
                except apierror.ConnectionLostError as error:
                    return error.may_have_started

            entry = FakeEntry([])
            found = asyncio.run(with_client([entry], use, answer_grace_s=0.0))
            self.assertIs(started, found, text)


class EndpointsTest(testtools.TestCase):
    def test_failed_endpoints_are_skipped_for_a_while(self):
        rotation = endpoints.Endpoints(("a", "b", "c"), random.Random(1))
        self.assertEqual(
            {"a", "b", "c"}, {rotation.next(0.0) for _ in range(3)}
        )
        rotation.avoid("a", 2.0)
        self.assertEqual({"b", "c"}, {rotation.next(1.0) for _ in range(4)})
        self.assertIn("a", {rotation.next(2.0) for _ in range(3)})

    def test_endpoints_are_tried_if_all_are_avoided(self):
        rotation = endpoints.Endpoints(("a",), random.Random(1))
        rotation.avoid("a", 2.0)
        self.assertEqual("a", rotation.next(1.0))
