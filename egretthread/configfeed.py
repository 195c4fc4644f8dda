"""The configuration in force, built from the records of the log."""

import dataclasses

from egretthread import config, configtext, logclient, util

MAX_FAULTS = 20


@dataclasses.dataclass(frozen=True)
class RecordFault:
    """A record that was skipped.

    Attributes:
        offset: The record's offset.
        reason: The fault of the record.
    """

    offset: int
    reason: str


class ConfigFeed:
    """The configuration in force in this process.

    It never reverts to a record with a lower offset.

    Attributes:
        offset: Log offset of the configuration in force; -1 for none.
        configuration: The configuration in force.
        author: Who published it.
        published_s: When it was published, in Unix seconds.
        next_offset: Offset to read from next.
        read_at_s: When the log was last read to its end; None if it never was.
        faults: Faults of the records that were skipped last.
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
        """Puts a record into force if it is newer and valid.

        Args:
            offset: The record's offset.
            text: The record's text: an envelope that holds TOML text.

        Returns:
            Whether the configuration in force changed.
        """
        self.next_offset = max(self.next_offset, offset + 1)
        if offset <= self.offset:
            return False
        envelope = logclient.decode_envelope(text)
        if envelope is None:
            self.add_fault(offset, "the record is not an envelope")
            return False
        try:
            configuration = configtext.loads(envelope.data)
        except util.OptionError as error:
            self.add_fault(offset, str(error))
            return False
        self.offset = offset
        self.configuration = configuration
        self.author = envelope.author
        self.published_s = envelope.at_s
        return True

    def mark_read(self, now_s: float) -> None:
        """Records when all records up to the end of the log were applied."""
        self.read_at_s = now_s

    def resume_at(self, first: int) -> None:
        """Continues at the oldest record left, after earlier ones expired."""
        self.next_offset = max(self.next_offset, first)

    def add_fault(self, offset: int, reason: str) -> None:
        """Adds the fault of a skipped record."""
        fault = RecordFault(offset, reason)
        self.faults = (*self.faults, fault)[-MAX_FAULTS:]
