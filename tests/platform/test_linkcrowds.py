"""Tests of crowds of foreign connections to the port for links."""

import asyncio
import contextlib
import pathlib
import resource
import signal
import socket
import tempfile

import testtools

from egretthread import framing, wire
from egretthread_standins.platformsite import site as sites

# Limits of the smallest machine of an entry.
MACHINE_BYTES = 160 * 10**6
MACHINE_SOCKETS = 3_075 - 200
# Connections of the crowd. The connections of one address wait for each other
# in the queue of the listening socket, so that they are opened in parts.
CROWD = 1_000
PART = 200
PART_S = 0.1
# Bytes that one connection of the crowd sends at once.
BURST_BYTES = 60 * 1024
# Descriptors of the entry in the tests that lower them, and the number of
# connections without a complete handshake that it holds.
LOW_DESCRIPTORS = 400
LOW_HANDSHAKES = 64
# Time for the entry to take in what was sent, and the interval of the samples.
SETTLE_S = 2.0
SAMPLE_S = 0.02
# Handshakes last this long unless they are complete, so that a crowd is there
# at once on any machine.
LIVENESS_S = 20.0
TASK_S = 0.05
ANSWER_S = 30.0
RESEND_S = 0.5


class CrowdSite(sites.Site):
    """A site of which the entries have other settings.

    Attributes:
        changes: Their settings that differ.
    """

    def __init__(self, folder, **changes):
        super().__init__(
            sites.SiteSettings(
                lambda task: TASK_S, pathlib.Path(folder), entries=1, agents=1
            )
        )
        self.changes = {"liveness_s": LIVENESS_S, **changes}

    def write_settings(self, name, **changes):
        return super().write_settings(name, **{**self.changes, **changes})

    @property
    def entry(self):
        return self.names[0]

    @property
    def pid(self):
        return self.processes[self.entry].pid


class Crowd:
    """Connections to the port for links that stay open.

    Attributes:
        address: The address.
        connections: The connections that were opened.
    """

    def __init__(self, site):
        self.address = (site.hosts[site.entry], site.link_port)
        self.connections = []

    async def join(self, count, first=b""):
        """Opens connections, each of which sends some bytes."""
        loop = asyncio.get_running_loop()
        while count > 0:
            part = [socket.socket() for _ in range(min(count, PART))]
            self.connections += part
            count -= len(part)
            for connection in part:
                connection.setblocking(False)
            await asyncio.gather(
                *(loop.sock_connect(each, self.address) for each in part),
                return_exceptions=True,
            )
            for connection in part:
                send(connection, first)
            await asyncio.sleep(PART_S)

    def send(self, data):
        """Sends bytes on each connection that is still open."""
        for connection in self.connections:
            send(connection, data)

    def leave(self):
        """Closes the connections."""
        for connection in self.connections:
            connection.close()
        self.connections.clear()


def send(connection, data):
    """Sends what the connection takes without waiting."""
    # The entry may have closed it.
    with contextlib.suppress(OSError):
        connection.send(data)


def memory_bytes(pid, key):
    """Returns a figure of the memory of a process, such as VmRSS."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(key + ":"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"no {key} of process {pid}")


def descriptors(pid):
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


async def most_descriptors(pid, seconds):
    """Returns the largest number of open descriptors in some time."""
    most = 0
    for _ in range(round(seconds / SAMPLE_S)):
        most = max(most, descriptors(pid))
        await asyncio.sleep(SAMPLE_S)
    return most


async def run_job(site, number):
    """Runs a job, sent again until it is answered; returns the status."""
    status = 0
    end_s = site.now_s() + ANSWER_S
    while status != 200 and site.now_s() < end_s:
        status, _ = await site.request(
            site.entry, "POST", f"{number:016x}", sites.job(1, 50, kept=False)
        )
        if status != 200:
            await asyncio.sleep(RESEND_S)
    return status


def partial_length():
    """Returns the start of a handshake, just short of its length's end."""
    return framing.LENGTH.pack(wire.MAX_HANDSHAKE_BYTES)[:-1]


def burst():
    """Returns bytes that continue `partial_length`, far over a handshake."""
    length = framing.LENGTH.pack(wire.MAX_HANDSHAKE_BYTES)
    return length[-1:] + bytes(BURST_BYTES)


class LinkCrowdCase(testtools.TestCase):
    def play(self, scenario, **changes):
        """Runs a scenario at a site; then the entry must answer a request."""

        async def play():
            with tempfile.TemporaryDirectory() as folder:
                site = CrowdSite(folder, **changes)
                crowd = Crowd(site)
                try:
                    await site.start()
                    self.assertEqual(200, await run_job(site, 1))
                    await scenario(site, crowd)
                    self.assertIsNone(site.processes[site.entry].poll())
                    self.assertEqual(200, await run_job(site, 2))
                finally:
                    crowd.leave()
                    await site.close()

        asyncio.run(play())


class LinkCrowdTest(LinkCrowdCase):
    # Guards against an end by memory: connections without a complete handshake
    # were read without bound, 64 KiB of each in one turn of the event loop.
    def test_bytes_before_the_handshake_are_bounded(self):
        async def scenario(site, crowd):
            before = memory_bytes(site.pid, "VmRSS")
            await crowd.join(CROWD, partial_length())
            site.signal(site.entry, signal.SIGSTOP)
            crowd.send(burst())
            site.signal(site.entry, signal.SIGCONT)
            await asyncio.sleep(SETTLE_S)
            growth = memory_bytes(site.pid, "VmHWM") - before
            bound = (MACHINE_BYTES - before) * CROWD // MACHINE_SOCKETS
            self.assertLess(growth, bound)

        self.play(scenario, max_handshakes=2 * CROWD)

    # Guards against a lack of descriptors: the number of connections without a
    # complete handshake had no bound, and callers could not connect.
    def test_silent_connections_leave_descriptors_for_callers(self):
        async def scenario(site, crowd):
            resource.prlimit(
                site.pid,
                resource.RLIMIT_NOFILE,
                (LOW_DESCRIPTORS, LOW_DESCRIPTORS),
            )
            await crowd.join(CROWD)
            most = await most_descriptors(site.pid, SETTLE_S)
            self.assertLess(most, LOW_DESCRIPTORS)
            self.assertEqual(200, await run_job(site, 3))
            log = site.log_path(site.entry).read_text()
            self.assertNotIn("Too many open files", log)

        self.play(scenario, max_handshakes=LOW_HANDSHAKES)

    # Guards a bound on connections without a complete handshake, which would
    # keep out agents while it is full.
    def test_an_agent_links_while_a_crowd_fills_the_handshakes(self):
        async def scenario(site, crowd):
            agent = site.agent_names[0]
            joining = asyncio.create_task(renew(crowd))
            try:
                await asyncio.sleep(SETTLE_S)
                site.signal(agent, signal.SIGKILL)
                await site.wait_for_end(agent, 2.0)
                site.start_process(agent)
                self.assertEqual(200, await run_job(site, 3))
            finally:
                joining.cancel()

        self.play(scenario, max_handshakes=LOW_HANDSHAKES)


async def renew(crowd):
    """Opens connections all the time, of which the last CROWD stay open."""
    while True:
        await crowd.join(PART, partial_length())
        old = len(crowd.connections) - CROWD
        for _ in range(max(0, old)):
            crowd.connections.pop(0).close()
