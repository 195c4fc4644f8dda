"""End-to-end tests of kept jobs, also with store outages."""

import asyncio
import json

import testtools

from egretthread import clock, metrics
from egretthread.platform import entryprogram
from egretthread.scheduling import (
    entryserver,
    joblog,
    jobrecord,
    keptjobs,
)
from egretthread.scheduling.keptboard import (
    EPOCHS_PER_GENERATION,
    UNKNOWN_EPOCH,
)
from egretthread.scheduling.storecall import (
    POLL_WAIT_S,
    Record,
    StoreRefusedError,
)
from tests.platform import fakes, test_path
from tests.platform.test_operators import until

KEPT = {**test_path.JOB, "best_effort": False}
# A job whose progress is written once.
SINGLE = {**KEPT, "steps": [{**test_path.JOB["steps"][0], "count": 1}]}
# Time after a cancellation, and after a disruption, within which no task of the
# job is started any more.
CANCEL_S = 3.0


class TestJobLog(testtools.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with test_path.Cluster() as cluster:
                await scenario(cluster)

        asyncio.run(run())

    async def state(self, cluster, number):
        code, body, _ = await cluster.fetch(
            cluster.callers, f"/p/{number:016x}"
        )
        return code, json.loads(body).get("state")

    async def wait_for(self, cluster, number, state):
        async with asyncio.timeout(20):
            while await self.state(cluster, number) != (200, state):
                await asyncio.sleep(0.05)

    def run_count(self, cluster):
        return len(cluster.backend.server.history)

    def test_a_kept_job_is_stored_then_completed_once(self):
        async def scenario(cluster):
            code, body, _ = await cluster.submit(1, KEPT)
            self.assertEqual(200, code)
            self.assertEqual({"state": "queued"}, json.loads(body))
            _, body, _ = await cluster.fetch(cluster.callers, "/p/")
            self.assertEqual({"pending_jobs": 1}, json.loads(body))
            await self.wait_for(cluster, 1, "completed")
            self.assertEqual(200, (await cluster.submit(1, KEPT))[0])
            await asyncio.sleep(0.3)
            self.assertEqual((200, "completed"), await self.state(cluster, 1))
            self.assertEqual(4, self.run_count(cluster))
            self.assertEqual((410, None), await self.state(cluster, 2))

        self.run_scenario(scenario)

    def test_store_requests_are_measured(self):
        async def scenario(cluster):
            await cluster.submit(1, KEPT)
            table = metrics.Metrics()
            for name, value_s, *labels in cluster.entry.server.board.samples:
                table.observe(name, value_s, *labels)
            text, _ = table.render()
            row = b'store_seconds_count{call="append",result="200"}'
            self.assertIn(row, text)

        self.run_scenario(scenario)

    def test_another_entry_takes_over_the_jobs(self):
        async def scenario(cluster):
            await cluster.submit(1, KEPT)
            await self.wait_for(cluster, 1, "completed")
            cluster.backend.server.work_s = lambda name: 8.0
            await cluster.submit(2, KEPT)
            await until(lambda: cluster.backend.server.runs)
            await cluster.entry.close()
            cluster.backend.server.work_s = lambda name: 0.1
            cluster.entry = entryprogram.Entry(cluster.entry.settings)
            await cluster.entry.start()
            self.assertEqual((200, "completed"), await self.state(cluster, 1))
            await self.wait_for(cluster, 2, "completed")
            ends = [row[4] for row in cluster.backend.server.history]
            self.assertEqual(8, ends.count("done"))
            self.assertEqual((200, "completed"), await self.state(cluster, 1))

        self.run_scenario(scenario)

    def test_a_write_without_a_response_is_retried_without_duplicates(self):
        async def scenario(cluster):
            await cluster.submit(1, KEPT)
            await self.wait_for(cluster, 1, "completed")
            cluster.store.mode = "lost"
            lost = asyncio.ensure_future(cluster.submit(2, KEPT))
            await asyncio.sleep(0.4)
            cluster.store.mode = ""
            self.assertIn((await lost)[0], (200, 504))
            await self.wait_for(cluster, 2, "completed")
            self.assertEqual(8, self.run_count(cluster))

        self.run_scenario(scenario)

    def test_a_job_that_the_store_refuses_is_not_accepted(self):
        async def scenario(cluster):
            cluster.store.mode = "busy"
            code, _, headers = await cluster.submit(1, KEPT)
            self.assertEqual(503, code)
            self.assertIn("Retry-After", headers)
            cluster.store.mode = ""
            await asyncio.sleep(3.5)
            self.assertEqual((410, None), await self.state(cluster, 1))
            self.assertEqual(0, self.run_count(cluster))

        self.run_scenario(scenario)

    # Guards against a coordinator that loses its partitions and stops its runs
    # since one silent connection after the other delays its calls to the group.
    def test_silent_connections_do_not_stop_runs(self):
        async def scenario(cluster):
            cluster.backend.server.work_s = lambda name: 20.0
            await cluster.submit(1, KEPT)
            await until(lambda: len(cluster.backend.server.runs) == 4)
            await cluster.store.fill(cluster.entry.store)
            cluster.store.mute()
            await asyncio.sleep(joblog.TTL_S + 1.0)
            self.assertEqual(4, len(cluster.backend.server.runs))
            self.assertEqual([], cluster.backend.server.history)

        self.run_scenario(scenario)

    # Guards against a cancellation that is acknowledged by another entry and
    # read too late, as the connections to the store have gone silent.
    def test_a_cancellation_is_applied_after_all_connections_went_silent(self):
        async def scenario(cluster):
            store = cluster.store
            cluster.backend.server.work_s = lambda name: 20.0
            job = f"{1:016x}"
            await cluster.submit(1, KEPT)
            await until(lambda: cluster.backend.server.runs)
            number = jobrecord.partition_of(job, fakes.PARTITIONS)
            poll = "read", joblog.JOBS, number
            await cluster.store.fill(cluster.entry.store)
            count = store.calls[poll]
            await until(lambda: store.calls[poll] > count)
            store.mute()
            silent_s = asyncio.get_running_loop().time()
            key = job + jobrecord.CANCEL_SUFFIX
            store.write(joblog.JOBS, Record(key, b"1"), number)
            await until(lambda: not cluster.backend.server.runs, 20.0)
            took_s = asyncio.get_running_loop().time() - silent_s
            self.assertLess(took_s, CANCEL_S)

        self.run_scenario(scenario)

    def test_a_cancelled_job_is_stopped(self):
        async def scenario(cluster):
            cluster.backend.server.work_s = lambda name: 8.0
            await cluster.submit(1, KEPT)
            await until(lambda: cluster.backend.server.runs)
            path = "/p/" + f"{1:016x}"
            code, _, _ = await cluster.fetch(cluster.callers, path, "DELETE")
            self.assertEqual(200, code)
            await self.wait_for(cluster, 1, "cancelled")
            await until(lambda: not cluster.backend.server.runs)
            unknown = "/p/" + f"{2:016x}"
            code, _, _ = await cluster.fetch(cluster.callers, unknown, "DELETE")
            self.assertEqual(410, code)

        self.run_scenario(scenario)

    def ids(self, count):
        """Returns numbers of jobs that belong to the same partition."""
        numbers = [
            number
            for number in range(1, 1000)
            if jobrecord.partition_of(f"{number:016x}", fakes.PARTITIONS) == 0
        ]
        return numbers[:count]

    async def complete(self, cluster, number, job=KEPT):
        self.assertEqual(200, (await cluster.submit(number, job))[0])
        await self.wait_for(cluster, number, "completed")

    async def lose_partitions(self, cluster):
        """Keeps the store out until the entry has lost its partitions."""
        generation = cluster.store.generation
        kept = cluster.entry.server.board.kept
        cluster.store.mode = "busy"
        await until(lambda: not kept.partitions)
        cluster.store.mode = ""
        await until(lambda: kept.partitions)
        self.assertEqual(generation, cluster.store.generation)

    async def restart_entry(self, cluster):
        await cluster.entry.close()
        cluster.entry = entryprogram.Entry(cluster.entry.settings)
        await cluster.entry.start()

    # Guards against TWICE: appends after a loss of the partition repeated the
    # numbers of those before it, and the store took them for repetitions.
    def test_progress_is_stored_after_a_loss_in_the_same_generation(self):
        async def scenario(cluster):
            before, after = self.ids(2)
            await self.complete(cluster, before)
            await self.lose_partitions(cluster)
            await self.complete(cluster, after)
            await self.restart_entry(cluster)
            for number in (before, after):
                await self.wait_for(cluster, number, "completed")
            await asyncio.sleep(3.0)
            self.assertEqual(8, self.run_count(cluster))

        self.run_scenario(scenario)

    # Guards against LOST: an append refused for its number left the partition
    # assigned and never loaded.
    def test_a_partition_is_loaded_after_a_loss_in_the_same_generation(self):
        async def scenario(cluster):
            *before, after = self.ids(2 * fakes.REMEMBERED_APPENDS)
            for number in before:
                await self.complete(cluster, number)
            await self.lose_partitions(cluster)
            await self.complete(cluster, after)

        self.run_scenario(scenario)

    async def check_stored(self, cluster, *numbers):
        """Checks that a new process of the entry runs nothing again."""
        count = self.run_count(cluster)
        await self.restart_entry(cluster)
        for number in numbers:
            await self.wait_for(cluster, number, "completed")
        await asyncio.sleep(3.0)
        self.assertEqual(count, self.run_count(cluster))

    # Guards against TWICE: an append refused for its number was taken as stored
    # if the store expected the next number.
    def test_progress_is_stored_after_an_append_was_refused_for_its_number(
        self,
    ):
        async def scenario(cluster):
            cluster.store.counts_empty_appends = False
            before, after = self.ids(2)
            await self.complete(cluster, before, SINGLE)
            await self.lose_partitions(cluster)
            await self.complete(cluster, after, SINGLE)
            await self.check_stored(cluster, before, after)

        self.run_scenario(scenario)

    # Guards against TWICE: progress was taken as stored when the store
    # answered an append like an earlier one.
    def test_the_answer_to_an_earlier_append_does_not_count(self):
        async def scenario(cluster):
            before, after = self.ids(2)
            await self.complete(cluster, before, SINGLE)
            cluster.store.repeated_answers = 1
            await self.complete(cluster, after, SINGLE)
            await self.check_stored(cluster, before, after)

        self.run_scenario(scenario)

    # Guards against TWICE: records that were read before a loss of the
    # partition were added after it, without the progress of their jobs.
    def test_records_read_before_a_loss_are_not_added_after_it(self):
        async def scenario(cluster):
            (number,) = self.ids(1)
            await self.complete(cluster, number)
            server = cluster.entry.server
            partition = server.board.kept.partitions[0]
            submission = partition.jobs[f"{number:016x}"].submission
            # The partition is assigned again some time before it is loaded.
            cluster.store.append_delay_s = 0.5
            server.release_partition(partition, "test")
            await until(lambda: 0 in server.board.kept.partitions)
            server.add_submission(partition, submission)
            self.assertEqual({}, server.board.kept.partitions[0].jobs)
            cluster.store.append_delay_s = 0.0
            await self.wait_for(cluster, number, "completed")
            self.assertEqual(4, self.run_count(cluster))

        self.run_scenario(scenario)

    # Guards against LOST: a shutdown closed the connections of callers whose
    # jobs were being stored.
    def test_a_shutdown_waits_until_jobs_are_stored(self):
        self.patch(entryserver, "UNREADY_S", 0.2)

        async def scenario(cluster):
            cluster.store.append_delay_s = 0.7
            stored = asyncio.create_task(cluster.submit(1, KEPT))
            await until(lambda: cluster.entry.log.appending)
            await cluster.entry.close()
            self.assertEqual(200, (await stored)[0])
            cluster.store.append_delay_s = 0.0
            await cluster.entry.start()

        self.run_scenario(scenario)

    # Guards against LOST: the same, when the store does not answer in time.
    def test_a_shutdown_answers_for_jobs_that_are_not_stored(self):
        self.patch(entryserver, "UNREADY_S", 0.2)

        async def scenario(cluster):
            cluster.store.mode = "silent"
            host, _, port = cluster.callers.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(test_path.request(1, KEPT, deadline_ms=9000))
            await until(lambda: cluster.entry.log.appending)
            await cluster.entry.close()
            self.assertIn(b"504", await reader.readline())
            writer.close()
            cluster.store.mode = ""
            await cluster.entry.start()

        self.run_scenario(scenario)

    async def hold_up_reads(self, cluster):
        """Holds up the reads of submissions; returns what ends that."""
        store, resumed = cluster.entry.store, asyncio.Event()
        read = store.read

        async def read_later(topic, *args):
            if topic == joblog.JOBS:
                await resumed.wait()
            return await read(topic, *args)

        self.patch(store, "read", read_later)
        # The long polls that were already under way end.
        await asyncio.sleep(POLL_WAIT_S + 0.3)
        return resumed

    # Guards against UNASKED: DELETE was answered 410 as the coordinator had
    # not read the submission, and the job ran later.
    def test_a_job_that_its_coordinator_has_not_read_is_cancelled(self):
        async def scenario(cluster):
            resumed = await self.hold_up_reads(cluster)
            self.assertEqual(200, (await cluster.submit(1, KEPT))[0])
            self.assertEqual((200, "queued"), await self.state(cluster, 1))
            path = f"/p/{1:016x}"
            code, _, _ = await cluster.fetch(cluster.callers, path, "DELETE")
            self.assertEqual(200, code)
            resumed.set()
            await self.wait_for(cluster, 1, "cancelled")
            self.assertNotIn(
                "done", [row[4] for row in cluster.backend.server.history]
            )

        self.run_scenario(scenario)

    async def replace_entry(self, cluster):
        """Replaces the entry by another process; returns its partitions."""
        await cluster.entry.close()
        cluster.entry = entryprogram.Entry(cluster.entry.settings)
        await cluster.entry.start()
        partitions = cluster.entry.server.board.kept.partitions
        await until(lambda: len(partitions) == fakes.PARTITIONS)
        await until(lambda: all(p.is_loaded for p in partitions.values()))
        return partitions

    def test_a_stopped_entry_hands_its_partitions_over(self):
        async def scenario(cluster):
            await cluster.submit(1, KEPT)
            await self.wait_for(cluster, 1, "completed")
            partitions = await self.replace_entry(cluster)
            begin_s = clock.monotonic_s()
            await until(lambda: all(p.is_open for p in partitions.values()))
            waited_s = clock.monotonic_s() - begin_s
            self.assertLess(waited_s, 1.0 + keptjobs.OFFER_S)

        self.run_scenario(scenario)

    # Guards against TWICE: the last coordinator was of a release that does not
    # write its name, and the handover is of the one before.
    def test_an_unnamed_coordinator_is_waited_for(self):
        async def scenario(cluster):
            partitions = cluster.entry.server.board.kept.partitions
            await until(lambda: len(partitions) == fakes.PARTITIONS)
            await until(lambda: all(p.is_open for p in partitions.values()))
            await cluster.entry.close()
            number = 3
            epoch = (cluster.store.generation + 1) * EPOCHS_PER_GENERATION
            cluster.store.append(joblog.PROGRESS, number, (), (epoch, 0))
            cluster.store.generation += 2
            cluster.entry = entryprogram.Entry(cluster.entry.settings)
            await cluster.entry.start()
            partitions = cluster.entry.server.board.kept.partitions
            await until(lambda: len(partitions) == fakes.PARTITIONS)
            await until(lambda: partitions[0].is_open)
            self.assertFalse(partitions[number].is_open)
            self.assertEqual(UNKNOWN_EPOCH, partitions[number].former_epoch)

        self.run_scenario(scenario)

    # Guards against UNASKED: a DELETE was answered 410 while a submission of
    # the job was on its way, which was stored and ran after that.
    def test_a_job_that_is_stored_after_its_delete_does_not_run(self):
        async def scenario(cluster):
            path = f"/p/{1:016x}"
            cluster.store.mode = "silent"
            waiting = asyncio.ensure_future(cluster.submit(1, KEPT))
            await asyncio.sleep(0.3)
            cluster.store.mode = ""
            code, _, _ = await cluster.fetch(cluster.callers, path, "DELETE")
            self.assertEqual(410, code)
            await waiting
            await self.wait_for(cluster, 1, "cancelled")
            self.assertEqual(0, self.run_count(cluster))
            self.assertEqual({}, cluster.backend.server.runs)

        self.run_scenario(scenario)

    # Guards against UNASKED: a DELETE was acknowledged that nothing had stored.
    def test_a_delete_that_is_not_stored_is_not_acknowledged(self):
        async def scenario(cluster):
            path = f"/p/{1:016x}"
            append = cluster.entry.store.append

            async def refuse(topic, *arguments):
                if topic == joblog.JOBS:
                    raise StoreRefusedError("busy", "retry later")
                return await append(topic, *arguments)

            cluster.entry.store.append = refuse
            code, _, _ = await cluster.fetch(cluster.callers, path, "DELETE")
            self.assertEqual(503, code)

        self.run_scenario(scenario)

    def test_outdated_cancellations_are_deleted(self):
        self.patch(jobrecord, "CANCEL_MEMORY_S", 0.5)

        async def scenario(cluster):
            path = f"/p/{1:016x}"
            code, _, _ = await cluster.fetch(cluster.callers, path, "DELETE")
            self.assertEqual(410, code)
            part = jobrecord.partition_of(f"{1:016x}", fakes.PARTITIONS)
            self.assertEqual(1, len(cluster.store.newest("jobs", part)))
            await until(lambda: not cluster.store.newest("jobs", part))

        self.run_scenario(scenario)

    # Guards against LOST: GET was answered 410 for an accepted job by an entry
    # that was cut from the store.
    def test_without_the_store_an_unknown_job_gets_an_error_to_retry(self):
        async def scenario(cluster):
            partitions = cluster.entry.server.board.kept.partitions
            await until(lambda: partitions)
            await until(lambda: all(p.is_loaded for p in partitions.values()))
            cluster.store.mode = "busy"
            for method in ("GET", "DELETE"):
                code, _, headers = await cluster.fetch(
                    cluster.callers, f"/p/{1:016x}", method
                )
                self.assertEqual(503, code)
                self.assertIn("Retry-After", headers)

        self.run_scenario(scenario)

    def test_malformed_records_are_ignored(self):
        async def scenario(cluster):
            await cluster.submit(1, KEPT)
            for key, value in (("x", [1]), ("y", {"spec": 3}), ("z", "")):
                cluster.store.put(joblog.JOBS, key, value)
                cluster.store.put(joblog.PROGRESS, key, value)
            await self.wait_for(cluster, 1, "completed")

        self.run_scenario(scenario)
