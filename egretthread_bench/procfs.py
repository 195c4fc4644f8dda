"""Memory of a child process, as reported by the kernel."""

import pathlib


def anonymous_bytes(pid: int) -> int:
    """Returns the anonymous resident memory of a process.

    It excludes pages of programs and libraries, which processes share.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0
