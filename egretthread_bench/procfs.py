"""What the kernel tells of a child process."""

import pathlib


def anonymous_bytes(pid: int) -> int:
    """Returns the resident memory that is a process's own.

    Pages of programs and libraries, which processes share, are left out.
    """
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0
