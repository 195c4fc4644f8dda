"""Command line that runs `entry` or `agent` on the operators' platform.

Modules are loaded late, once the process listens at its addresses, and only
those of its role.
"""

import os
import sys

from egretthread import util
from egretthread.listeners import Listeners
from egretthread.scheduling import nodesettings
from egretthread.scheduling.nodesettings import NodeSettings

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "EGRETTHREAD_BOOT"
EXIT_BAD_USAGE = 2


def _make_entry(settings: NodeSettings, listeners: Listeners):
    from egretthread.platform import entryprogram

    return entryprogram.Entry(settings, listeners)


def _make_agent(settings: NodeSettings, listeners: Listeners):
    from egretthread.platform import agentprogram

    return agentprogram.Agent(settings, listeners)


ROLES = {
    "entry": (nodesettings.load_entry, _make_entry),
    "agent": (nodesettings.load_agent, _make_agent),
}


def main() -> None:
    """Runs the role given as argument until SIGTERM or SIGINT."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    path = os.environ.get(SETTINGS_VARIABLE)
    if role not in ROLES or not path:
        print(
            f"usage: {SETTINGS_VARIABLE}=FILE python3 -m egretthread.platform"
            f" {'|'.join(ROLES)}",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_USAGE)
    load, make_server = ROLES[role]
    listeners = _listen(load, path)

    from egretthread import daemon

    daemon.run(
        f"egretthread-{role}",
        path,
        load,
        lambda settings: make_server(settings, listeners),
    )


def _listen(load, path: str) -> Listeners:
    """Starts listening at the addresses in a settings file."""
    listeners = Listeners()
    try:
        settings = load(path)
    except util.OptionError:
        # The daemon loads the file again and reports what is wrong with it.
        return listeners
    for address in settings.served_addresses:
        listeners.open(address)
    return listeners


if __name__ == "__main__":
    main()
