"""Groups of commands of the command line, one module each."""

# Module of each group, by the group's name. A module is imported when its
# group is first used; a group whose module is not installed is left out.
GROUPS = {
    "config": "egretthread.commands.config",
    "zone": "egretthread.commands.zone",
    "server": "egretthread.commands.server",
    "key": "egretthread.commands.key",
    "job": "egretthread.commands.job",
    "request": "egretthread.commands.request",
    "state": "egretthread.commands.state",
    "explain": "egretthread.commands.explain",
    "settings": "egretthread.commands.settings",
    "bench": "egretthread_bench.cmdline",
}
