"""Disturbances among the events, and which machines are in touch."""

import dataclasses

from egretthread_standins.platformsite.site import Event

# A machine is in touch if neither it nor the store was disturbed for so long.
CONTACT_S = 3.0
# Target of disturbances that concern all machines.
STORE = "store"


@dataclasses.dataclass(frozen=True)
class Span:
    """A disturbance.

    Attributes:
        kind: Its kind.
        targets: The machines, or the store.
        begin_s: Its begin.
        end_s: Its end; infinite if it has none.
    """

    kind: str
    targets: tuple[str, ...]
    begin_s: float
    end_s: float


def spans(events: list[Event]) -> list[Span]:
    """Returns the disturbances in the order of their begin."""
    ends = {
        event.fields["number"]: event.at_s
        for event in events
        if (event.who, event.what) == ("disturbance", "over")
    }
    found = [
        Span(
            event.fields["kind"],
            tuple(event.fields["targets"]),
            event.at_s,
            ends.get(event.fields["number"], float("inf")),
        )
        for event in events
        if (event.who, event.what) == ("disturbance", "begin")
    ]
    return sorted(found, key=lambda span: span.begin_s)


def is_in_touch(found: list[Span], machine: str, at_s: float) -> bool:
    """Whether a machine is in touch."""
    return not any(
        span.begin_s <= at_s
        and span.end_s > at_s - CONTACT_S
        and (machine in span.targets or STORE in span.targets)
        for span in found
    )
