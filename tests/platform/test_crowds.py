"""Tests of crowds of callers that are not controlled, on the real programs."""

import asyncio
import dataclasses
import json
import pathlib
import tempfile

import testtools

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite import web
from tests.platform import crowd as crowds
from tests.platform.crowd import Crowd

# Limits in the settings of the programs, far below those of real machines, so
# that a small crowd exceeds them.
MEMORY_MB = 100
MAX_FDS = 700
MEMORY_BYTES = MEMORY_MB * 10**6
LEGAL_BODY_BYTES = 262_144
LEGAL_HEARTBEAT_BYTES = 4 * 2**20
SEND_S = 20.0
ANSWER_S = 30.0
# Jobs of crowds work longer than a test takes.
TASK_S = 0.05
LONG_TASK_MS = 60_000
JOB_PATH = f"{sites.PREFIX}00000000000000ff"
SERVER = "i-00000001"
HEARTBEAT_PATH = f"/Instances.Heartbeat/{SERVER}"


@dataclasses.dataclass(frozen=True)
class Result:
    """What was seen of a process.

    Attributes:
        is_alive: Whether the process was never restarted and has not ended.
        peak_bytes: Largest resident size.
        descriptors: Open descriptors while the crowd was there.
        status: Status of an ordinary request while the crowd was there.
        largest_status: Status of the largest legal request after it.
    """

    is_alive: bool
    peak_bytes: int
    descriptors: int
    status: int
    largest_status: int


def padded(table: dict, size_bytes: int) -> bytes:
    """Returns a JSON body of exactly this size."""
    return json.dumps(table).encode().ljust(size_bytes)


async def submit(site: sites.Site, job: str, body: bytes) -> int:
    status, _ = await web.call(
        site.entries["entry-1"],
        "POST",
        sites.PREFIX + job,
        body,
        {
            "Host": sites.HOST,
            "X-Egretthread-Deadline-Ms": str(int(ANSWER_S * 1000)),
        },
        ANSWER_S,
    )
    return status


class Callers:
    """The listener for callers."""

    name = "entry-1"

    def address(self, site):
        return site.entries[self.name]

    async def ordinary(self, site):
        return await submit(
            site, "00000000000000a1", json.dumps(sites.job(1, 50)).encode()
        )

    async def largest(self, site):
        body = padded(sites.job(1, 50), LEGAL_BODY_BYTES)
        return await submit(site, "00000000000000a2", body)


class Ready(Callers):
    """The listener for readiness checks."""

    def address(self, site):
        return site.hosts[self.name], site.ready_port

    async def ordinary(self, site):
        status, _ = await web.call(
            self.address(site), "GET", "/readiness", timeout_s=ANSWER_S
        )
        return status


class Metrics(Callers):
    """The listener for metrics."""

    def address(self, site):
        return site.hosts[self.name], site.metrics_port

    async def ordinary(self, site):
        status, _ = await web.call(
            self.address(site), "GET", "/metrics", timeout_s=ANSWER_S
        )
        return status


class Heartbeats:
    """The listener for the heartbeats of an agent."""

    name = "agent-1"

    def address(self, site):
        return site.hosts[self.name], site.control_port

    async def beat(self, site, size_bytes):
        server = site.servers[self.name]
        server.sequence += 1
        status, _ = await web.call(
            self.address(site),
            "POST",
            HEARTBEAT_PATH,
            padded(server.heartbeat(), size_bytes),
            timeout_s=ANSWER_S,
        )
        return status

    async def ordinary(self, site):
        return await self.beat(site, 0)

    async def largest(self, site):
        return await self.beat(site, LEGAL_HEARTBEAT_BYTES)


async def play(folder: str, target, crowd: Crowd) -> Result:
    """Sends a crowd to a program and returns what was seen of it."""
    settings = sites.SiteSettings(
        lambda task: TASK_S,
        pathlib.Path(folder),
        entries=1,
        agents=1,
        options={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
    )
    site = sites.Site(settings)
    try:
        await site.start()
        process = site.processes[target.name]
        async with crowds.send(crowd, target.address(site), SEND_S):
            status = await target.ordinary(site)
            descriptors = crowds.open_descriptors(process.pid)
        largest_status = await target.largest(site)
        return Result(
            process.poll() is None,
            crowds.peak_bytes(process.pid),
            descriptors,
            status,
            largest_status,
        )
    finally:
        await site.close()


class CrowdCase(testtools.TestCase):
    """Checks that a process stays within its limits and answers."""

    target = Callers()
    path = JOB_PATH

    def check(self, clients, pieces):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(
                play(folder, self.target, Crowd(clients, pieces))
            )
        self.addDetail("result", testtools.content.text_content(repr(result)))
        self.expectThat(result.is_alive, testtools.matchers.Is(True))
        self.expectThat(
            result.peak_bytes, testtools.matchers.LessThan(MEMORY_BYTES + 1)
        )
        self.expectThat(
            result.descriptors, testtools.matchers.LessThan(MAX_FDS + 1)
        )
        self.expectThat(result.status, testtools.matchers.Equals(200))
        self.expectThat(result.largest_status, testtools.matchers.Equals(200))

    def announced(self, size_bytes, missing_bytes=1):
        return crowds.announced(
            sites.HOST, self.path, size_bytes, missing_bytes
        )

    def chunked(self, chunk_bytes, chunks):
        return crowds.chunked(sites.HOST, self.path, chunk_bytes, chunks)


class TestCallers(CrowdCase):
    # Guards against the end of an entry: it kept all unfinished bodies.
    def test_announced_bodies_that_stop_short(self):
        self.check(400, self.announced(LEGAL_BODY_BYTES))

    # Guards against the end of an entry: it kept all unfinished bodies, also
    # of callers that sent them piece by piece.
    def test_announced_bodies_in_pieces_that_stop_short(self):
        (message,) = self.announced(LEGAL_BODY_BYTES)
        self.check(400, crowds.in_pieces(message, 16))

    # Guards against an entry that hangs: it read one chunk of one byte after
    # the other, without a limit.
    def test_bodies_in_chunks_of_one_byte_that_stop_short(self):
        self.check(900, self.chunked(1, 200_000))

    # Guards against the end of an entry: it kept bodies larger than the
    # operators' limit.
    def test_announced_bodies_above_the_limit(self):
        self.check(60, self.announced(4 * 2**20))

    # Guards against the end of an entry: it kept bodies larger than the
    # operators' limit.
    def test_bodies_far_above_the_limit_that_are_announced(self):
        self.check(300, self.announced(64 * 2**20, 63 * 2**20))

    # Guards against the end of an entry: it kept bodies larger than the
    # operators' limit.
    def test_chunked_bodies_above_the_limit(self):
        self.check(60, self.chunked(65_536, 60))

    # Guards against the end of an entry: it kept all unfinished headers.
    def test_unfinished_headers(self):
        pieces = crowds.unfinished_header(sites.HOST, self.path, 56_000)
        self.check(1_200, pieces)

    # Guards against the end of an entry: it kept the bodies of all jobs that
    # callers wait for.
    def test_whole_bodies_that_wait_for_an_answer(self):
        table = sites.job(1, LONG_TASK_MS, kept=False)
        (message,) = self.announced(LEGAL_BODY_BYTES, LEGAL_BODY_BYTES)
        self.check(400, (message + padded(table, LEGAL_BODY_BYTES),))

    # Guards against an entry without descriptors: it kept all connections.
    def test_idle_connections(self):
        self.check(1_200, ())


class TestReady(CrowdCase):
    target = Ready()
    path = "/readiness"

    # Guards against the end of an entry: it kept all unfinished bodies.
    def test_announced_bodies_that_stop_short(self):
        self.check(400, self.announced(LEGAL_BODY_BYTES))


class TestMetrics(CrowdCase):
    target = Metrics()
    path = "/metrics"

    # Guards against the end of an entry: it kept all unfinished bodies.
    def test_announced_bodies_that_stop_short(self):
        self.check(400, self.announced(LEGAL_BODY_BYTES))


class TestHeartbeats(CrowdCase):
    target = Heartbeats()
    path = HEARTBEAT_PATH

    # Guards against the end of an agent: it kept all unfinished bodies.
    def test_largest_bodies_that_stop_short(self):
        self.check(60, self.announced(LEGAL_HEARTBEAT_BYTES))

    # Guards against the end of an agent: it kept all unfinished bodies.
    def test_bodies_that_stop_short(self):
        self.check(300, self.announced(LEGAL_BODY_BYTES))

    # Guards against the end of an agent: it kept all unfinished bodies.
    def test_chunked_bodies_that_stop_short(self):
        self.check(60, self.chunked(65_536, 60))
