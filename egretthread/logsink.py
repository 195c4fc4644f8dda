"""A stream for log lines that never blocks and holds a bounded backlog."""

import os

# Bytes that wait for a reader; about 2,000 lines.
MAX_BACKLOG_BYTES = 512 * 1024
# Lines of these levels are dropped last.
KEPT_LEVELS = (" level=WARNING ", " level=ERROR ", " level=CRITICAL ")
# Share of the backlog that is left for them.
KEPT_SHARE = 0.25


class LogSink:
    """Writes text to a file descriptor as far as its reader keeps up.

    What does not fit into the backlog is dropped and counted; a line says how
    many were lost once there is room again.

    Attributes:
        descriptor: Where the text goes.
        backlog: Text that waits.
        dropped: Lines dropped since the last line that said so.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.backlog = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Takes text that ends with a line."""
        data = text.encode(errors="replace")
        limit = MAX_BACKLOG_BYTES
        if not any(level in text for level in KEPT_LEVELS):
            limit = int(limit * (1 - KEPT_SHARE))
        if len(self.backlog) + len(data) > limit:
            self.dropped += text.count("\n")
            self.flush()
            return len(text)
        if self.dropped and not self.backlog:
            note = f"level=WARNING event=lines_dropped lines={self.dropped}\n"
            data = note.encode() + data
            self.dropped = 0
        self.backlog += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        while self.backlog:
            try:
                written = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place to say so.
                self.dropped += self.backlog.count(b"\n")
                self.backlog.clear()
                return
            del self.backlog[:written]
