"""Tests of the bodies exchanged with backend servers."""

import asyncio
import json

import testtools

from egretthread.platform import bodies, servers
from egretthread.scheduling.agentboard import StopCall, TaskName
from egretthread.scheduling.servercall import ServerEnd, Verdict
from egretthread_standins.platformsite import web

HEARTBEAT = {
    "service": "match",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1788804841642,
}


def heartbeat(**changes):
    table = {**HEARTBEAT, **changes}
    body = json.dumps(table).encode()
    return servers.decode_heartbeat("i-1", body)


class TestHeartbeat(testtools.TestCase):
    def test_a_heartbeat_describes_the_server(self):
        record, clock_ms = heartbeat()
        self.assertEqual(16_000, record.capacity.cpu)
        self.assertEqual(("a", "r1-3"), record.labels)
        self.assertEqual(482_113, clock_ms)
        self.assertFalse(record.is_draining)

    def test_a_draining_server_reports_its_remaining_time(self):
        record, _ = heartbeat(state="draining", drain_remaining_ms=1500)
        self.assertTrue(record.is_draining)
        self.assertEqual(1.5, record.drain_s)

    def test_a_malformed_heartbeat_is_an_error(self):
        for changes in (
            {"state": "sleeping"},
            {"capacity": "large"},
            {"capacity": {"cpu": -1}},
            {"labels": [1]},
            {"service": None},
            {"sequence": "4"},
        ):
            with self.assertRaises(bodies.BodyError):
                heartbeat(**changes)
        with self.assertRaises(bodies.BodyError):
            servers.decode_heartbeat("i-1", b"\xff\x00")


class TestNames(testtools.TestCase):
    def test_a_name_round_trips(self):
        name = TaskName("5c0e7a21d94b36f8", 1, 17, 3)
        text = servers.encode_name(name)
        self.assertEqual("5c0e7a21d94b36f8.3.1.17", text)
        self.assertEqual(name, servers.decode_name(text))


class TestPollResult(testtools.TestCase):
    def test_rows_of_running_and_ended_runs_are_decoded(self):
        body = json.dumps(
            {
                "clock_ms": 5,
                "born": 9,
                "running": [["j.0.1.17", 2, "", 41, 3]],
                "ended": [[58, "j.0.1.9", 1, "lapsed", ""]],
            }
        ).encode()
        result = servers.decode_poll_result(body)
        self.assertEqual(41, result.running[0].percent)
        self.assertEqual(58, result.ended[0].sequence)
        self.assertIs(ServerEnd.LEASE_EXPIRED, result.ended[0].end)

    def test_a_malformed_row_is_an_error(self):
        for rows in ([["j", 1, "", 4]], [[1]], [["a.b.c.d", 1, "", 1]]):
            body = json.dumps({"clock_ms": 1, "running": rows}).encode()
            with self.assertRaises(bodies.BodyError):
                servers.decode_poll_result(body)


class TestStops(testtools.TestCase):
    async def stop(self, count):
        """Stops runs whose stops are answered only once all have arrived.

        Returns:
            The verdicts.
        """
        arrived = []
        all_arrived = asyncio.Event()

        async def answer(request):
            arrived.append(request.path)
            if len(arrived) == count:
                all_arrived.set()
            await all_arrived.wait()
            return 200, {"clock_ms": 1}

        server = web.Server(answer)
        await server.start("127.0.0.1", 0)
        _, port = server.server.sockets[0].getsockname()
        client = servers.BackendServerClient(f"127.0.0.1:{port}")
        calls = [
            StopCall(TaskName("j", 0, index), 1, "i-1", 5, timeout_s=5.0)
            for index in range(count)
        ]
        results = await asyncio.gather(*map(client.stop_run, calls))
        client.close()
        await server.close()
        return [result.verdict for result in results]

    # Guards against the end of sound runs: stops of a lost entry's runs waited
    # for each other until the lease of all runs at the server had ended.
    def test_the_runs_of_a_lost_entry_are_stopped_at_once(self):
        verdicts = asyncio.run(self.stop(32))
        self.assertEqual([Verdict.OK] * 32, verdicts)
