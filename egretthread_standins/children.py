"""Child processes of a demo or a test, signalled by their own process ids."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import sys

START_LIMIT_S = 15.0
END_LIMIT_S = 45.0


class ChildError(Exception):
    """A child process did not start, or did not exit when signalled."""


@dataclasses.dataclass
class Child:
    """One child process.

    Attributes:
        name: Name in messages and of the log file.
        process: The process.
        addresses: Addresses that it listens on, by role.
        drain: Task that copies its standard output to the log file.
    """

    name: str
    process: asyncio.subprocess.Process
    addresses: dict[str, str]
    drain: asyncio.Task

    @property
    def running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.returncode is None

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal unless the process has exited."""
        if self.running:
            self.process.send_signal(signum)


async def start(
    name: str, module: str, arguments: tuple[str, ...], log: pathlib.Path
) -> Child:
    """Runs a module as a child process and waits until it listens.

    Args:
        name: Name of the child in messages.
        module: Module to run.
        arguments: Command line arguments.
        log: File that receives its standard output and error.

    Raises:
        ChildError: It exited, or did not listen in time.
    """
    with log.open("ab") as file:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=file,
            preexec_fn=_restore_sigint,
        )
    try:
        addresses = await listen(name, process, log)
    except BaseException:
        await kill(process)
        raise
    drain = asyncio.create_task(copy_output(process, log))
    return Child(name, process, addresses, drain)


def _restore_sigint() -> None:
    """Restores SIGINT, which shells make background jobs ignore."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


async def listen(
    name: str, process: asyncio.subprocess.Process, log: pathlib.Path
) -> dict[str, str]:
    """Waits until a process listens and returns its addresses.

    Raises:
        ChildError: It exited, or did not listen in time.
    """
    addresses = {}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(START_LIMIT_S):
            addresses = await read_addresses(process, log)
    if not addresses:
        raise ChildError(
            f"{name} exited or did not listen within {START_LIMIT_S} s;"
            f" see {log}"
        )
    return addresses


async def read_addresses(
    process: asyncio.subprocess.Process, log: pathlib.Path
) -> dict[str, str]:
    """Returns the addresses that a process prints; none if it exited."""
    while line := await process.stdout.readline():
        addresses = parse_addresses(line.decode())
        if addresses:
            return addresses
        append(log, line)
    return {}


def parse_addresses(line: str) -> dict[str, str]:
    """Returns the addresses in a `listening` line, or none.

    Daemons print `event=listening http=… admin=…`, stand-ins
    `listening 127.0.0.1:PORT`.
    """
    fields = line.split()
    if fields[:1] == ["listening"]:
        return {"http": fields[1]}
    if fields[:1] == ["event=listening"]:
        return dict(field.split("=", 1) for field in fields[1:])
    return {}


async def copy_output(
    process: asyncio.subprocess.Process, log: pathlib.Path
) -> None:
    """Copies standard output to the log file until it is closed."""
    while line := await process.stdout.readline():
        append(log, line)


def append(log: pathlib.Path, line: bytes) -> None:
    """Appends a line to a log file."""
    with log.open("ab") as file:
        file.write(line)


async def end(child: Child, signum: signal.Signals) -> int:
    """Terminates a child with a signal and returns its exit code.

    Raises:
        ChildError: It did not exit in time and was killed.
    """
    child.send(signum)
    try:
        async with asyncio.timeout(END_LIMIT_S):
            await child.process.wait()
    except TimeoutError:
        await kill(child.process)
        raise ChildError(
            f"{child.name} did not exit within {END_LIMIT_S} s of"
            f" {signum.name} and was killed"
        ) from None
    await child.drain
    return child.process.returncode


async def kill(process: asyncio.subprocess.Process) -> None:
    """Kills a process unless it has exited, and waits until it has."""
    if process.returncode is None:
        process.kill()
    await process.wait()
