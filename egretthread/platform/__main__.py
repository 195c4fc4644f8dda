"""Command line that runs `entry` or `agent` on the operators' platform."""

import os
import sys

from egretthread import daemon
from egretthread.scheduling import nodesettings

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "EGRETTHREAD_BOOT"


def _make_entry(settings: nodesettings.NodeSettings):
    # Modules of the other role would add to the time that a start takes.
    from egretthread.platform import entryprogram

    return entryprogram.Entry(settings)


def _make_agent(settings: nodesettings.NodeSettings):
    from egretthread.platform import agentprogram

    return agentprogram.Agent(settings)


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
        sys.exit(daemon.EXIT_BAD_SETTINGS)
    load, make_server = ROLES[role]
    daemon.run(f"egretthread-{role}", path, load, make_server)


if __name__ == "__main__":
    main()
