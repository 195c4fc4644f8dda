"""Runs many agents in one process, without backend servers, for benchmarks.

The agents are real, with their engines, links and timers. Only the client of
the backend server is replaced: a task sleeps for the `run_s` of its payload.
A benchmark would otherwise need two processes per agent.
"""

import argparse
import asyncio
import pathlib
import signal
import tomllib
from collections.abc import Callable

import orjson

from egretthread import agentserver, backendclient, logs, outcome
from egretthread.agentboard import StartCall
from egretthread.outcome import Outcome
from egretthread.settings import AgentSettings

RESULT = outcome.done('{"slept":true}')


class SleepBackend:
    """Replaces an agent's client of its backend server."""

    def close(self) -> None:
        """Does nothing."""

    async def run(
        self, call: StartCall, may_start: Callable[[], bool]
    ) -> Outcome:
        """Runs one task, with the contract of `BackendClient.run`."""
        if not may_start():
            raise backendclient.NotStartedError(
                "the lease does not allow the start",
                "assign the task to another agent",
            )
        run_s = float(orjson.loads(call.payload).get("run_s", 0.0))
        if run_s > 0.0:
            await asyncio.sleep(run_s)
        return RESULT

    async def is_healthy(self) -> bool:
        """Returns True."""
        return True


def load(path: str | pathlib.Path) -> list[AgentSettings]:
    """Returns the settings of the agents listed in a TOML file."""
    text = pathlib.Path(path).read_text(encoding="utf-8")
    tables = tomllib.loads(text)["agents"]
    return [
        AgentSettings(**{**table, "entries": tuple(table["entries"])})
        for table in tables
    ]


def make_agent(settings: AgentSettings) -> agentserver.AgentServer:
    """Returns an agent whose tasks only sleep."""
    server = agentserver.AgentServer(settings)
    server.backend.close()
    server.backend = SleepBackend()
    return server


async def serve(agents: list[AgentSettings]) -> None:
    """Runs the agents until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    servers = [make_agent(settings) for settings in agents]
    for server in servers:
        await server.start()
    print(f"event=listening admin={servers[0].admin.address}", flush=True)
    await stop.wait()
    await asyncio.gather(*(server.close() for server in servers))


def main() -> None:
    """Runs the agents of a settings file."""
    parser = argparse.ArgumentParser(
        description="Many agents in one process, for benchmarks."
    )
    parser.add_argument("--settings", required=True)
    options = parser.parse_args()
    logs.setup("warning", "sink")
    asyncio.run(serve(load(options.settings)))


if __name__ == "__main__":
    main()
