"""Shared parts of the daemons' command lines: settings, signals, exit codes."""

import argparse
import asyncio
import dataclasses
import gc
import signal
import sys
from collections.abc import Callable

from egretthread import logs, logsink, util

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
# Allocations between two runs of the garbage collector. Objects of requests are
# freed by reference counting and cycles are rare, so that scanning long-lived
# objects such as modules and connections costs more than it frees.
GC_ALLOCATIONS = 20_000


def main(
    program: str,
    load: Callable,
    make_server: Callable,
    addresses: Callable,
) -> None:
    """Parses the command line, then serves until SIGTERM or SIGINT.

    With `--check` it only checks the settings.

    Args:
        program: Name of the program.
        load: Loads settings from a path.
        make_server: Creates a server, with `start` and `close`, from settings.
        addresses: Returns the addresses that a started server listens on.
    """
    options = _parse_arguments(program)
    settings = _load(program, options.settings, load)
    if options.check:
        print(f"{options.settings}: no faults")
        sys.exit(EXIT_OK)
    logs.setup(settings.log_level, program)
    asyncio.run(_serve(make_server(settings), addresses))


def run(program: str, path: str, load: Callable, make_server: Callable) -> None:
    """Serves with the settings in a file until SIGTERM or SIGINT.

    Logs go to standard output. On SIGHUP the file is loaded again and changes
    are logged; they take effect at the next start.

    Args:
        program: Name of the program.
        path: The settings file.
        load: Loads settings from a path.
        make_server: Creates a server, with `start` and `close`, from settings.
    """
    settings = _load(program, path, load)
    sink = logsink.LogSink(sys.stdout.fileno())
    logs.setup(settings.log_level, program, sink)
    logs.info("started", **_loggable(settings))

    def reload() -> None:
        nonlocal settings
        settings = _reload(settings, path, load)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, reload)
        await _serve(make_server(settings), lambda server: {})

    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    asyncio.run(serve())


def _load(program: str, path: str, load: Callable):
    try:
        return load(path)
    except util.OptionError as error:
        for message in error.faults:
            print(f"{program}: {message}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def _loggable(settings) -> dict:
    """Returns the settings without secrets."""
    return {
        field.name: getattr(settings, field.name)
        for field in dataclasses.fields(settings)
        if field.repr
    }


def _reload(settings, path: str, load: Callable):
    """Returns the settings in the file, or the old ones if it is invalid."""
    try:
        reloaded = load(path)
    except util.OptionError as error:
        logs.error("settings_rejected", faults=len(error.faults), error=error)
        return settings
    before = _loggable(settings)
    changed = {
        name: value
        for name, value in _loggable(reloaded).items()
        if value != before[name]
    }
    logs.info("settings_reloaded", **changed)
    return reloaded


def _parse_arguments(program: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument(
        "--settings", required=True, help="TOML file of settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings"
    )
    return parser.parse_args()


async def _serve(server, addresses: Callable) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await server.start()
    pairs = " ".join(f"{k}={v}" for k, v in addresses(server).items())
    if pairs:
        print(f"event=listening {pairs}", flush=True)
    await stop.wait()
    logs.info("shutdown_began")
    await server.close()
    logs.info("shutdown_ended")
