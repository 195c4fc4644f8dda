"""Child processes of a demo or a test, ended by their own ids."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import sys

START_LIMIT_S = 15.0
END_LIMIT_S = 45.0


class ChildError(Exception):
    """A child process did not start or did not end as told."""


@dataclasses.dataclass
class Child:
    """One child process.

    Attributes:
        name: Names it in messages and log files.
        process: The process.
        addresses: What it listens on, by role.
        drain: Copies the rest of its standard output to the log file.
    """

    name: str
    process: asyncio.subprocess.Process
    addresses: dict[str, str]
    drain: asyncio.Task

    @property
    def running(self) -> bool:
        """Whether it has not ended yet."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal unless it has ended."""
        if self.running:
            self.process.send_signal(number)


async def start(
    name: str, module: str, arguments: tuple[str, ...], log: pathlib.Path
) -> Child:
    """Starts a module as a child and waits until it listens.

    Args:
        name: Names it in messages.
        module: The module to run.
        arguments: Its arguments.
        log: File that its standard output and error go to.

    Raises:
        ChildError: It ended, or did not listen in time.
    """
    with log.open("ab") as file:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=file,
            preexec_fn=_heed_interrupts,
        )
    try:
        addresses = await listen(name, process, log)
    except BaseException:
        await kill(process)
        raise
    drain = asyncio.create_task(copy_output(process, log))
    return Child(name, process, addresses, drain)


def _heed_interrupts() -> None:
    """Undoes what a shell does to what it starts in the background."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


async def listen(
    name: str, process: asyncio.subprocess.Process, log: pathlib.Path
) -> dict[str, str]:
    """Waits until a process listens and returns its addresses.

    Raises:
        ChildError: It ended, or did not listen in time.
    """
    addresses = {}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(START_LIMIT_S):
            addresses = await read_addresses(process, log)
    if not addresses:
        raise ChildError(f"{name} does not listen; see {log}")
    return addresses


async def read_addresses(
    process: asyncio.subprocess.Process, log: pathlib.Path
) -> dict[str, str]:
    """Returns what a process says it listens on; nothing if it ended."""
    while line := await process.stdout.readline():
        addresses = parse_addresses(line.decode())
        if addresses:
            return addresses
        append(log, line)
    return {}


def parse_addresses(line: str) -> dict[str, str]:
    """Returns the addresses in a `listening` line, else nothing.

    Daemons print `event=listening http=… admin=…`, stand-ins
    `listening 127.0.0.1:PORT`.
    """
    words = line.split()
    if words[:1] == ["listening"]:
        return {"http": words[1]}
    if words[:1] == ["event=listening"]:
        return dict(word.split("=", 1) for word in words[1:])
    return {}


async def copy_output(
    process: asyncio.subprocess.Process, log: pathlib.Path
) -> None:
    """Copies standard output to the log file until its end."""
    while line := await process.stdout.readline():
        append(log, line)


def append(log: pathlib.Path, line: bytes) -> None:
    """Appends a line to a log file."""
    with log.open("ab") as file:
        file.write(line)


async def end(child: Child, number: signal.Signals) -> int:
    """Ends a child by a signal and returns its exit code.

    Raises:
        ChildError: It did not end in time and was killed.
    """
    child.send(number)
    try:
        async with asyncio.timeout(END_LIMIT_S):
            await child.process.wait()
    except TimeoutError:
        await kill(child.process)
        raise ChildError(f"{child.name} ignored {number.name}") from None
    await child.drain
    return child.process.returncode


async def kill(process: asyncio.subprocess.Process) -> None:
    """Kills a process unless it has ended, and waits for its end."""
    if process.returncode is None:
        process.kill()
    await process.wait()
