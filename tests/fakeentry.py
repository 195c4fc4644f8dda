"""A fake entry that gives scripted answers to callers."""

import json

import tornado.httpserver
import tornado.netutil
import tornado.web

CUT_OFF = "cut off"


def answer_to(body):
    """Returns a complete answer that echoes the payloads as results."""
    tasks = [
        {"outcome": "done", "result": task["payload"]} for task in body["tasks"]
    ]
    return 200, {"key": body["key"], "state": "complete", "tasks": tasks}


def refusal(status, kind, **extra):
    """Returns a scripted refusal which states that no task was started."""
    body = {"kind": kind, "message": "no", "remedy": "wait"}
    return status, body | {"started_by_this_request": False} | extra


class ScriptHandler(tornado.web.RequestHandler):
    """Sends the next scripted answer; repeats the last one."""

    def initialize(self, entry):
        self.entry = entry

    def prepare(self):
        body = json.loads(self.request.body) if self.request.body else None
        headers = self.request.headers
        request = (self.request.method, self.request.path, body)
        self.entry.requests.append(request)
        self.entry.tokens.append(headers.get("Authorization"))
        script = self.entry.script
        step = script.pop(0) if len(script) > 1 else script[0]
        if step == CUT_OFF:
            self.request.connection.stream.close()
            raise tornado.web.Finish
        status, answer = step(body) if callable(step) else step
        self.set_status(status)
        self.finish(answer)


class FakeEntry:
    """A scripted entry on an ephemeral port.

    It must be started while an event loop is running.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.tokens = []

    def start(self):
        app = tornado.web.Application(
            [(r"/.*", ScriptHandler, {"entry": self})],
            log_function=lambda handler: None,
        )
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        self.server = tornado.httpserver.HTTPServer(app)
        self.server.add_sockets(sockets)

    async def close(self):
        self.server.stop()
        await self.server.close_all_connections()
