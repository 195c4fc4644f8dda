"""What the scripts of the third review share.

They use the project's own stand-ins of the platform (`platformsite`); this
adds backend servers with labels of their own, tasks that fail, and the frame
of a script: its record, its time limit and its exit code.
"""

import asyncio
import os
import pathlib
import sys
import traceback

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite.backendserver import BackendServer

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


def has_trouble() -> bool:
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class LabelledServer(BackendServer):
    """Backend server whose labels can be chosen, and whose tasks may fail.

    Attributes:
        fails: Returns whether a run ends `failed`, by task and number.
    """

    def __init__(self, *args, labels, fails=None):
        super().__init__(*args)
        self.labels = list(labels)
        self.fails = fails or (lambda task, number: False)

    def _end(self, run, how, at_s):
        if how == "done" and self.fails(run.task, run.number):
            how = "failed"
        super()._end(run, how, at_s)


class LabelledSite(sites.Site):
    """Site whose backend servers have a kind each.

    Attributes:
        kinds: Kind of each backend server, by the name of its agent; "a" if it
            is not given.
        fails: As in `LabelledServer`.
    """

    def __init__(self, settings, kinds=None, fails=None):
        self.kinds = kinds or {}
        self.fails = fails
        super().__init__(settings)

    async def start_server(self, agent: str, server: str) -> None:
        """Starts a backend server on the machine of an agent."""
        settings = self.settings
        number = self.agent_names.index(agent)

        def log(who, what, at_s=None, **fields):
            self.log(who, what, at_s, agent=agent, **fields)

        started = LabelledServer(
            server,
            sites.SERVICE,
            "zone-a",
            settings.server_cpu[number % len(settings.server_cpu)],
            settings.work_s,
            log,
            settings.task_cpu,
            labels=(self.kinds.get(agent, "a"), f"r1-{number // 3 + 1}"),
            fails=self.fails,
        )
        self.servers[agent] = started
        host = self.hosts[agent]
        await started.start((host, self.app_port), (host, self.control_port))


def starts(site, job: str) -> list:
    """Returns the starts of a job's tasks that backend servers have seen."""
    return [
        event
        for event in site.events
        if event.what == "start" and event.fields["task"].startswith(job)
    ]


async def state_of(site, entry: str, job: str) -> str:
    """Returns the state of a job as an entry shows it; empty without one."""
    status, body = await site.request(entry, "GET", job)
    return body.get("state", "") if status == 200 else f"(status {status})"


def main(make_site, play, folder: pathlib.Path) -> None:
    """Plays one script and exits with its verdict.

    Args:
        make_site: Returns the site.
        play: Coroutine function of the site; returns what broke the rule, as
            lines, or nothing.
        folder: Folder of the case.
    """

    async def run() -> int:
        site = make_site(folder)
        try:
            async with asyncio.timeout(LIMIT_S):
                await site.start()
                broken = await play(site)
        except (sites.Unavailable, TimeoutError, OSError) as error:
            traceback.print_exc()
            site.log("script", "could not run", error=repr(error))
            return NOT_RUN
        finally:
            verdicts = locals().get("broken")
            if verdicts is not None:
                for line in verdicts or ["the rule held"]:
                    print(line)
                    site.log("script", "verdict", text=line)
            await site.close()
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
