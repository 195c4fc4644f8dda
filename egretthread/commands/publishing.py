"""Shared code of the commands that publish a configuration."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import typer

from egretthread import adminclient, console, operators


@dataclasses.dataclass(frozen=True)
class Target:
    """Where a command publishes, and for which processes it waits.

    Attributes:
        log_url: Base URL of the log service.
        stream: Name of the configuration stream.
        author: Who publishes; empty for the login name.
        wait: Whether to wait until the configuration is in force.
        admin: Admin addresses of the processes to wait for.
        timeout_s: Longest time to wait.
    """

    log_url: str
    stream: str
    author: str = ""
    wait: bool = False
    admin: tuple[str, ...] = ()
    timeout_s: float = 0.0


Work = Callable[[operators.LogClient], Awaitable]


def with_log(log_url: str, work: Work):
    """Runs a coroutine function with a log client and returns its result."""

    async def run():
        log = operators.LogClient(log_url)
        try:
            return await work(log)
        finally:
            log.close()

    return asyncio.run(run())


def change(target: Target, edit: operators.Edit) -> operators.Published:
    """Publishes an edit of the current configuration."""

    async def work(log: operators.LogClient):
        return await operators.change(log, target.stream, edit, target.author)

    return with_log(target.log_url, work)


def change_and_report(
    target: Target, edit: operators.Edit, as_json: bool
) -> None:
    """Publishes an edit of the current configuration and prints its offset."""
    check_target(target)
    report_published(target, change(target, edit), as_json)


def report_published(
    target: Target, published: operators.Published, as_json: bool
) -> None:
    """Prints a publication, after waiting until it is in force if asked to."""
    if target.wait:
        console.progress(f"published at offset {published.offset}, waiting")
        asyncio.run(
            adminclient.wait_in_force(
                target.admin,
                published.offset,
                target.timeout_s,
                console.progress,
            )
        )
    state = "in force" if target.wait else "published"
    data = {
        "offset": published.offset,
        "next_offset": published.next_offset,
        "author": published.author,
        "state": state.replace(" ", "_"),
    }
    console.emit(as_json, data, f"{state} at offset {published.offset}")


def check_target(target: Target) -> None:
    """Rejects a command that is to wait but names no process to wait for."""
    if target.wait and not target.admin:
        raise typer.BadParameter("--wait needs at least one --admin address")
