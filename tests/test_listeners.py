"""Tests of listening sockets that are opened early."""

import asyncio
import subprocess
import sys
import tempfile

import testtools
import tornado.web

from egretthread.listeners import Listeners
from egretthread.platform import __main__ as program
from egretthread.platform import listener
from tests.aio import free_port, run_async

SETTINGS = """
name = "side-1"
zone = "a"
host = "127.0.0.1"
link_port = 7600
shared_key = "a shared key of the tests"
store_address = "127.0.0.1:1"
heartbeat_address = "127.0.0.1:{port}"
server_address = "127.0.0.1:2"
"""


class Pong(tornado.web.RequestHandler):
    def get(self):
        self.finish("pong")


def free_address():
    return f"127.0.0.1:{free_port()}"


class TestListeners(testtools.TestCase):
    @run_async
    async def test_a_request_before_the_server_waits_for_it(self):
        address = free_address()
        listeners = Listeners()
        listeners.open(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        http = listener.serve(listeners.take(address), [(r".*", Pong)])
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        writer.close()
        http.stop()

    def test_an_address_that_was_not_opened_is_opened_when_taken(self):
        address = free_address()
        listening = Listeners().take(address)
        self.assertEqual(int(address.split(":")[1]), listening.getsockname()[1])
        listening.close()

    def test_an_agent_listens_before_it_loads_its_modules(self):
        port = free_address().split(":")[1]
        settings = self.write_settings(port)
        script = (
            "import sys\n"
            "from egretthread.platform import __main__ as program\n"
            "from egretthread.scheduling import nodesettings\n"
            f"found = program._listen(nodesettings.load_agent, {settings!r})\n"
            "print(list(found.sockets), 'asyncio' in sys.modules)\n"
        )
        output = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        self.assertEqual(f"['127.0.0.1:{port}'] False", output.strip())

    def test_invalid_settings_open_nothing(self):
        settings = self.write_settings("none")
        listeners = program._listen(program.ROLES["agent"][0], settings)
        self.assertEqual({}, listeners.sockets)

    def write_settings(self, port):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = f"{folder.name}/settings.toml"
        with open(path, "w") as file:
            file.write(SETTINGS.format(port=port))
        return path
