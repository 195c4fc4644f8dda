"""Non-blocking stream for log lines with a bounded buffer."""

import os

# Maximum size of the buffer; about 2,000 lines.
MAX_BACKLOG_BYTES = 512 * 1024
# Lines of these levels are dropped last.
PRIORITY_LEVELS = (" level=WARNING ", " level=ERROR ", " level=CRITICAL ")
# Share of the buffer that is reserved for them.
RESERVED_SHARE = 0.25


class LogSink:
    """Writes text to a file descriptor without waiting for a slow reader.

    Lines that do not fit into the buffer are dropped. Once the buffer is empty
    again, a line with the event `lines_dropped` gives their number.

    Attributes:
        descriptor: File descriptor to write to.
        backlog: Text that has not been written yet.
        dropped: Lines dropped since the last `lines_dropped` event.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.backlog = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffers text that consists of complete lines, and flushes."""
        data = text.encode(errors="replace")
        limit_bytes = MAX_BACKLOG_BYTES
        if not any(level in text for level in PRIORITY_LEVELS):
            limit_bytes = int(limit_bytes * (1 - RESERVED_SHARE))
        if len(self.backlog) + len(data) > limit_bytes:
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
        """Writes as much of the buffer as is possible without blocking."""
        while self.backlog:
            try:
                written = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error cannot be logged either.
                self.dropped += self.backlog.count(b"\n")
                self.backlog.clear()
                return
            del self.backlog[:written]
