"""What the daemons' command lines share: settings, signals, exit codes."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable

from egretthread import logs, util

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


def main(
    program: str,
    load: Callable,
    make_server: Callable,
    addresses: Callable,
) -> None:
    """Checks the settings, then serves until SIGTERM or SIGINT.

    Args:
        program: Name of the program.
        load: Reads settings from a path.
        make_server: Makes a server, with start and close, from settings.
        addresses: Returns the addresses that a started server listens on.
    """
    options = _arguments(program)
    try:
        settings = load(options.settings)
    except util.OptionError as error:
        for fault in error.faults:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if options.check:
        print(f"{options.settings}: no faults")
        sys.exit(EXIT_OK)
    logs.setup(settings.log_level, program)
    asyncio.run(_serve(make_server(settings), addresses))


def _arguments(program: str) -> argparse.Namespace:
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
    print(f"event=listening {pairs}", flush=True)
    await stop.wait()
    logs.info("shutdown_began")
    await server.close()
    logs.info("shutdown_ended")
