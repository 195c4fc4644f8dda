"""End-to-end tests of the platform adapter, also with store outages."""

import asyncio
import json
import socket
import struct
import time

import testtools
import tornado.httpclient

from egretthread import clock
from egretthread.platform import agentprogram, entryprogram, servers
from egretthread.scheduling.jobspec import OperatorState
from egretthread.scheduling.nodesettings import NodeSettings
from tests.aio import free_port
from tests.platform import fakes
from tests.platform.test_operators import until

JOB = {
    "task_spec": "x",
    "best_effort": True,
    "steps": [{"count": 4, "cpu": 1000, "mem_mb": 64, "estimated_ms": 100}],
}


class Cluster:
    """One entry and one agent with a fake backend server and store."""

    async def __aenter__(self):
        self.store = fakes.FakeStore()
        self.store.put("op", "config", fakes.CONFIG)
        self.backend = fakes.FakeBackendServer("b")
        link_port = free_port()
        common = {
            "zone": "a",
            "host": "127.0.0.1",
            "link_port": link_port,
            "shared_key": "0123456789abcdef",
            "store_address": self.store.address,
            "seeds": ("127.0.0.1:1",),
            "shutdown_s": 2.0,
        }
        self.callers = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.heartbeats = f"127.0.0.1:{free_port()}"
        self.entry = entryprogram.Entry(
            NodeSettings(
                name="entry-1",
                callers_address=self.callers,
                ready_address=self.ready,
                **common,
            )
        )
        self.agent = agentprogram.Agent(
            NodeSettings(
                name="agent-1",
                heartbeat_address=self.heartbeats,
                server_address=self.backend.address,
                **common,
            )
        )
        self.http = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        await self.entry.start()
        await self.agent.start()
        await self.send_heartbeat()
        await until(self.entry.server.is_ready)
        return self

    async def __aexit__(self, *exception):
        await asyncio.gather(self.entry.close(), self.agent.close())
        await self.backend.close()
        await self.store.close()
        self.http.close()

    async def send_heartbeat(self):
        """Sends a heartbeat on behalf of the backend server."""
        server = self.backend.server
        return await self.fetch(
            self.heartbeats,
            f"/Instances.Heartbeat/{server.id}",
            "POST",
            self.heartbeat(),
        )

    def heartbeat(self, service="match"):
        """Returns the next heartbeat of the backend server."""
        server = self.backend.server
        record = server.heartbeat(time.monotonic())
        return {
            "service": service,
            "address": self.backend.address,
            "zone": record.zone,
            "version": "v1",
            "slots": 8,
            "cold_remaining_ms": 0,
            "state": "draining" if record.is_draining else "ready",
            "labels": list(record.labels),
            "capacity": {
                "cpu": record.capacity.cpu,
                "mem_mb": record.capacity.memory_mb,
            },
            "clock_ms": server.clock_ms(time.monotonic()),
            "sequence": record.sequence,
            "born": record.started_unix_ms,
        }

    async def fetch(self, address, path, method="GET", table=None, host=""):
        body = None if table is None else json.dumps(table)
        response = await self.http.fetch(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Host": host or "lookups.example"},
            raise_error=False,
        )
        return response.code, response.body, response.headers

    async def submit(self, number, table=None, host=""):
        path = f"/p/{number:016x}"
        return await self.fetch(self.callers, path, "POST", table or JOB, host)


class TestPath(testtools.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with Cluster() as cluster:
                await scenario(cluster)

        asyncio.run(run())

    def test_a_job_is_answered_at_its_end(self):
        async def scenario(cluster):
            code, body, _ = await cluster.submit(1)
            self.assertEqual(200, code)
            self.assertEqual({"state": "completed"}, json.loads(body))
            code, _, _ = await cluster.fetch(cluster.ready, "/readiness")
            self.assertEqual(200, code)

        self.run_scenario(scenario)

    def test_jobs_run_during_a_store_outage(self):
        async def scenario(cluster):
            cluster.store.mode = "silent"
            codes = [(await cluster.submit(number))[0] for number in range(3)]
            self.assertEqual([200] * 3, codes)
            cluster.store.mode = ""

        self.run_scenario(scenario)

    def test_bad_requests_start_nothing(self):
        async def scenario(cluster):
            unknown = await cluster.submit(2, host="other.example")
            self.assertEqual(404, unknown[0])
            bad = await cluster.submit(3, {"task_spec": "x", "steps": []})
            self.assertEqual(400, bad[0])
            long = await cluster.submit(4, {**JOB, "pad": "x" * 20_000})
            self.assertEqual(413, long[0])
            timed = await cluster.submit(5, {**JOB, "times": 3})
            self.assertEqual(503, timed[0])
            self.assertIn("Retry-After", timed[2])
            nameless = await cluster.fetch(cluster.callers, "/p/x", "POST", JOB)
            self.assertEqual(400, nameless[0])
            self.assertEqual({}, cluster.backend.server.runs)
            self.assertEqual([], cluster.backend.server.history)

        self.run_scenario(scenario)

    def test_a_withdrawn_zone_gets_no_jobs_until_it_is_restored(self):
        async def scenario(cluster):
            cluster.store.put("op", "evacuate/a", {})
            board = cluster.entry.server.board
            await until(lambda: board.operator_state.withdrawn)
            code, _, headers = await cluster.submit(6)
            self.assertEqual(503, code)
            self.assertIn("Retry-After", headers)
            await until(lambda: cluster.agent.server.board.is_withdrawn)
            cluster.store.put("op", "evacuate/a", None)
            await until(lambda: not board.operator_state.withdrawn)
            await until(lambda: not cluster.agent.server.board.is_withdrawn)
            self.assertEqual(200, (await cluster.submit(7))[0])

        self.run_scenario(scenario)

    def test_a_draining_server_gets_no_new_tasks(self):
        async def scenario(cluster):
            cluster.backend.server.is_draining = True
            code, _, _ = await cluster.send_heartbeat()
            self.assertEqual(200, code)
            await until(lambda: not cluster.entry.server.is_ready())
            self.assertEqual(503, (await cluster.submit(8))[0])

        self.run_scenario(scenario)

    def test_the_runs_of_a_disconnected_caller_are_stopped(self):
        async def scenario(cluster):
            cluster.backend.server.work_s = lambda task: 5.0
            host, _, port = cluster.callers.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps(JOB).encode()
            writer.write(
                b"POST /p/00000000000000aa HTTP/1.1\r\n"
                b"Host: lookups.example\r\n"
                b"X-Egretthread-Deadline-Ms: 9000\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            await until(lambda: len(cluster.backend.server.runs) == 4)
            writer.close()
            await until(lambda: not cluster.agent.server.board.runs)
            ends = {row[4] for row in cluster.backend.server.history}
            self.assertEqual({"stopped"}, ends)

        self.run_scenario(scenario)

    def test_a_shutdown_answers_accepted_jobs(self):
        async def scenario(cluster):
            cluster.backend.server.work_s = lambda task: 0.8
            job = asyncio.create_task(cluster.submit(9))
            await until(lambda: cluster.backend.server.runs)
            await cluster.entry.close()
            self.assertEqual(200, (await job)[0])
            await cluster.entry.start()

        self.run_scenario(scenario)

    def test_a_request_during_shutdown_is_answered(self):
        """A request read while the links were closing must not be dropped."""

        async def scenario(cluster):
            host, _, port = cluster.callers.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            closing = asyncio.create_task(cluster.entry.close())
            await until(lambda: cluster.entry.server.is_drained)
            body = json.dumps(JOB).encode()
            writer.write(
                b"POST /p/00000000000000ab HTTP/1.1\r\n"
                b"Host: lookups.example\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            self.assertIn(b"503", line)
            writer.close()
            await closing
            await cluster.entry.start()

        self.run_scenario(scenario)

    def test_a_job_that_outlasts_the_shutdown_is_answered(self):
        async def scenario(cluster):
            cluster.backend.server.work_s = lambda task: 30.0
            job = asyncio.create_task(cluster.submit(12))
            await until(lambda: cluster.backend.server.runs)
            cluster.entry.server.board.jobs[f"{12:016x}"].deadline_s += 60.0
            await cluster.entry.close()
            self.assertEqual(504, (await job)[0])
            await cluster.entry.start()

        self.run_scenario(scenario)

    # A refused heartbeat or leave was acknowledged, or told no reason.
    def test_a_refusal_names_its_reason_and_the_remedy(self):
        async def scenario(cluster):
            server = cluster.backend.server
            board = cluster.agent.server.board
            # Before a poll, another writer's leave can't be told from its own.
            await until(lambda: board.services and board.is_confirmed)
            for path, table, kind in (
                (f"Heartbeat/{server.id}", [1], "bad_body"),
                (f"Leave/{server.id}", [1], "bad_body"),
                ("Heartbeat/i-9", cluster.heartbeat("other"), "foreign_server"),
                ("Leave/i-9", {}, "foreign_server"),
            ):
                code, body, _ = await cluster.fetch(
                    cluster.heartbeats, f"/Instances.{path}", "POST", table
                )
                self.assertEqual(400, code)
                refusal = json.loads(body)
                self.assertEqual(kind, refusal["kind"])
                self.assertTrue(refusal["error"] and refusal["remedy"])
            self.assertEqual(200, (await cluster.submit(11))[0])

        self.run_scenario(scenario)

    def test_a_malformed_heartbeat_is_refused_and_changes_nothing(self):
        async def scenario(cluster):
            code, _, _ = await cluster.fetch(
                cluster.heartbeats, "/Instances.Heartbeat/i-9", "POST", [1]
            )
            self.assertEqual(400, code)
            self.assertEqual(200, (await cluster.submit(10))[0])

        self.run_scenario(scenario)


def request(number, table=JOB, deadline_ms=9000):
    """Returns the bytes of a submission."""
    body = json.dumps(table).encode()
    head = (
        f"POST /p/{number:016x} HTTP/1.1\r\nHost: lookups.example\r\n"
        f"X-Egretthread-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class TestLeftCallers(testtools.TestCase):
    run_scenario = TestPath.run_scenario

    def connect(self, cluster):
        """Returns a connection to the entry; its calls block the event loop."""
        host, _, port = cluster.callers.rpartition(":")
        return socket.create_connection((host, int(port)))

    async def assert_nothing_runs(self, cluster):
        # A job that is accepted later is behind those that were accepted.
        self.assertEqual(200, (await cluster.submit(0xFF))[0])
        jobs = {row[0].job for row in cluster.backend.server.history}
        self.assertEqual({f"{0xFF:016x}"}, jobs)

    # Guards against TWICE: a caller left while all entries waited for a
    # configuration and submitted its job elsewhere, and both ran it.
    def test_a_caller_that_leaves_before_the_configuration_gets_no_job(self):
        async def scenario(cluster):
            board = cluster.entry.server.board
            state, board.operator_state = board.operator_state, OperatorState()
            board.started_s = clock.monotonic_s()
            connection = self.connect(cluster)
            connection.sendall(request(1))
            await asyncio.sleep(0.1)
            connection.close()
            await asyncio.sleep(0.1)
            board.operator_state = state
            await asyncio.sleep(0.1)
            await self.assert_nothing_runs(cluster)

        self.run_scenario(scenario)

    # Guards against TWICE: a frozen entry woke, read a request whose caller
    # had long submitted the job elsewhere, and ran it.
    def test_a_request_that_is_read_with_the_end_of_its_caller_gets_no_job(
        self,
    ):
        async def scenario(cluster):
            for number, how in (
                (1, socket.SHUT_RDWR),
                (2, socket.SHUT_WR),
                (3, None),
            ):
                connection = self.connect(cluster)
                connection.sendall(request(number))
                if how is None:
                    # The connection is reset.
                    linger = struct.pack("ii", 1, 0)
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    connection.close()
                else:
                    connection.shutdown(how)
                    self.addCleanup(connection.close)
                await asyncio.sleep(0.05)
            await self.assert_nothing_runs(cluster)

        self.run_scenario(scenario)

    # Guards against TWICE: an entry woke from a pause and dispatched waiting
    # jobs before it had read that their callers had left meanwhile.
    def test_callers_that_left_during_a_pause_are_noticed_before_all_else(self):
        async def scenario(cluster):
            cluster.backend.server.work_s = lambda task: 30.0
            server = cluster.entry.server
            running, left, joined = (f"{n:016x}" for n in (1, 2, 3))
            connections = [self.connect(cluster) for _ in range(4)]
            for connection in connections:
                self.addCleanup(connection.close)
            wide = {**JOB, "steps": [{**JOB["steps"][0], "count": 8}]}
            connections[0].sendall(request(1, wide))
            await until(lambda: len(cluster.backend.server.runs) == 8)
            for connection, number in zip(
                connections[1:], (2, 3, 3), strict=True
            ):
                connection.sendall(request(number))
            await until(lambda: len(server.waiters.get(joined, ())) == 2)
            await until(lambda: left in server.waiters)
            connections[1].close()
            connections[2].close()
            time.sleep(0.6)
            server.is_ready()
            self.assertEqual({running, joined}, set(server.board.jobs))
            self.assertEqual(1, len(server.waiters[joined]))

        self.run_scenario(scenario)


class TestWaitLimits(testtools.TestCase):
    run_scenario = TestPath.run_scenario
    connect = TestLeftCallers.connect

    def send(self, cluster, payload):
        """Sends a request; returns when it was sent, and the connection."""
        connection = self.connect(cluster)
        self.addCleanup(connection.close)
        connection.sendall(payload)
        connection.setblocking(False)
        return clock.monotonic_s(), connection

    async def status_line(self, connection):
        data = await asyncio.get_running_loop().sock_recv(connection, 100)
        return data.partition(b"\r\n")[0]

    # Guards against TWICE: the wait limit of a request was counted anew once
    # it was no longer held, when its caller had submitted the job elsewhere.
    def test_a_wait_limit_includes_the_time_that_the_request_was_held(self):
        async def scenario(cluster):
            board = cluster.entry.server.board
            state, board.operator_state = board.operator_state, OperatorState()
            board.started_s = clock.monotonic_s()
            sent_s, _ = self.send(cluster, request(1, deadline_ms=900))
            _, late = self.send(cluster, request(2, deadline_ms=200))
            line = await self.status_line(late)
            self.assertIn(b"503", line)
            self.assertLess(clock.monotonic_s(), sent_s + 0.9)
            await asyncio.sleep(max(0.0, sent_s + 0.4 - clock.monotonic_s()))
            board.operator_state = state
            await until(lambda: board.jobs)
            (job,) = board.jobs.values()
            self.assertLess(job.deadline_s, sent_s + 1.0)

        self.run_scenario(scenario)

    # Guards against TWICE: a frozen entry counted the wait limit of a request
    # from when it woke.
    def test_a_wait_limit_includes_the_time_until_the_request_was_read(self):
        async def scenario(cluster):
            board = cluster.entry.server.board
            sent_s, _ = self.send(cluster, request(1, deadline_ms=1200))
            _, late = self.send(cluster, request(2, deadline_ms=300))
            time.sleep(0.6)
            self.assertIn(b"503", await self.status_line(late))
            await until(lambda: board.jobs)
            (job,) = board.jobs.values()
            self.assertLess(job.deadline_s, sent_s + 1.3)

        self.run_scenario(scenario)

    # Guards against running jobs that nobody asks for any longer.
    def test_a_kept_job_of_a_caller_that_no_longer_waits_is_not_stored(self):
        async def scenario(cluster):
            kept = {**JOB, "best_effort": False}
            connection = self.connect(cluster)
            connection.sendall(request(1, kept))
            connection.close()
            _, late = self.send(cluster, request(2, kept, deadline_ms=300))
            time.sleep(0.6)
            self.assertIn(b"503", await self.status_line(late))
            self.assertEqual(200, (await cluster.submit(3, kept))[0])
            ids = {
                record.key
                for (topic, _), records in cluster.store.records.items()
                for record in records
                if topic == "jobs"
            }
            self.assertEqual({f"{3:016x}"}, ids)

        self.run_scenario(scenario)


class TestReasons(testtools.TestCase):
    def test_every_reason_of_a_refusal_has_a_verdict(self):
        self.assertEqual(
            {"fence", "old", "late", "room", "ticket"}, set(servers.REASONS)
        )
