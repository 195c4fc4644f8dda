"""The configuration in force, as records of the log arrive."""

import dataclasses

from egretthread import config, configtext, logclient, util

MAX_FAULTS = 20


@dataclasses.dataclass(frozen=True)
class RecordFault:
    """A record that was skipped.

    Attributes:
        offset: The record's offset.
        reason: What is wrong with it.
    """

    offset: int
    reason: str


class ConfigFeed:
    """The configuration in force in this process; it never reverts.

    Attributes:
        offset: Log offset of the configuration in force; -1 for none.
        configuration: The configuration in force.
        author: Who published it.
        published_s: When it was published, in Unix seconds.
        next_offset: Offset to read from next.
        read_at_s: When the log's end was last read; None for never.
        faults: The latest records that were skipped.
    """

    def __init__(self):
        self.offset = -1
        self.configuration = config.Configuration()
        self.author = ""
        self.published_s = 0.0
        self.next_offset = 0
        self.read_at_s: float | None = None
        self.faults: tuple[RecordFault, ...] = ()

    def apply(self, offset: int, text: str) -> bool:
        """Puts a record into force if it is newer and without fault.

        Args:
            offset: The record's offset.
            text: The record's text, an envelope with TOML in it.

        Returns:
            Whether the configuration in force changed.
        """
        self.next_offset = max(self.next_offset, offset + 1)
        if offset <= self.offset:
            return False
        envelope = logclient.decode_envelope(text)
        if envelope is None:
            self.skip(offset, "it is not an envelope")
            return False
        try:
            configuration = configtext.loads(envelope.data)
        except util.OptionError as error:
            self.skip(offset, str(error))
            return False
        self.offset = offset
        self.configuration = configuration
        self.author = envelope.author
        self.published_s = envelope.at_s
        return True

    def mark_read(self, now_s: float) -> None:
        """Notes that all records up to the log's end have been applied."""
        self.read_at_s = now_s

    def resume_at(self, first: int) -> None:
        """Moves on to the oldest record kept, after earlier ones expired."""
        self.next_offset = max(self.next_offset, first)

    def skip(self, offset: int, reason: str) -> None:
        """Records the fault of a record."""
        fault = RecordFault(offset, reason)
        self.faults = (*self.faults, fault)[-MAX_FAULTS:]
