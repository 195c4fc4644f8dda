"""Tests of the calls to a backend server that leaves some unanswered."""

import asyncio
import json

import testtools

from egretthread.platform import servers
from egretthread.scheduling import leaserule, runs
from egretthread.scheduling.agentboard import StopCall, TaskName

RUNS = 8
# The stops of the first runs are not answered.
UNANSWERED = 3


class SilentServer:
    """A server that does not answer the stops of some runs.

    Attributes:
        stopped: Indices of the tasks whose stop arrived.
    """

    def __init__(self):
        self.stopped = set()

    async def serve(self, reader, writer):
        """Answers the requests on one connection."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = head.decode().lower().split("\r\n")
                (length,) = [f for f in fields if f.startswith("content-len")]
                body = await reader.readexactly(int(length.split(":")[1]))
                index = servers.decode_name(json.loads(body)["task"]).index
                self.stopped.add(index)
                if index >= UNANSWERED:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
                        b'{"clock_ms":1}'
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def stop_all():
    """Retries all stops while the runs' lease lasts; returns the server."""
    silent = SilentServer()
    async with await asyncio.start_server(silent.serve, "127.0.0.1") as server:
        host, port = server.sockets[0].getsockname()
        client = servers.BackendServerClient(f"{host}:{port}")
        async with asyncio.TaskGroup() as group:
            retry_s = runs.STOP_TIMEOUTS_S[0]
            rounds = leaserule.LAPSED_STOP_LIMIT_S / retry_s
            for _ in range(int(rounds)):
                for index in range(RUNS):
                    call = StopCall(TaskName("j", 0, index), 1, "", 1)
                    group.create_task(client.stop_run(call))
                await asyncio.sleep(retry_s)
        client.close()
    return silent


class TestUnansweredStops(testtools.TestCase):
    # Guards against runs that outlive their stop: no stops were sent after a
    # few that were not answered, so that all runs there ended with the lease.
    def test_unanswered_stops_do_not_hold_up_the_others(self):
        silent = asyncio.run(stop_all())
        self.assertEqual(set(range(RUNS)), silent.stopped)
