"""The rule CONFIG."""

import bisect

from egretthread_standins.platformsite.site import Event
from egretthread_standins.soak import contact
from egretthread_standins.soak.breaks import Break

# A configuration is in force so long after its acknowledgement.
CONFIG_APPLY_S = 2.0
# An answer may be older than one before it by so much.
ROLLBACK_SLACK_S = 0.25


def late_configurations(events: list[Event]) -> list[Break]:
    """Finds answers that only a configuration too old, or none, allows."""
    found = contact.spans(events)
    versions = [e for e in events if e.what == "configuration"]
    acknowledged = [version.at_s for version in versions]
    broken = []
    # Newest version that an incarnation's answers prove, and since when.
    proven: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for event in _route_answers(events):
        fields = event.fields
        known = bisect.bisect_right(acknowledged, event.at_s)
        allowing = [
            number
            for number in range(known)
            if (fields["prefix"] in versions[number].fields["prefixes"])
            == (fields["status"] == 200)
        ]
        due = bisect.bisect_left(acknowledged, fields["sent"] - CONFIG_APPLY_S)
        newest = max(allowing, default=-1)
        if newest < due - 1 and contact.is_in_touch(
            found, fields["entry"], fields["sent"]
        ):
            version = versions[newest + 1]
            broken.append(
                Break(
                    "CONFIG",
                    event.at_s,
                    f"{_asked(event)}, as only versions before"
                    f" {version.fields['version']} allow, which was"
                    f" acknowledged at {version.at_s:.3f}",
                )
            )
        if not fields["pid"]:
            continue
        incarnation = (fields["entry"], fields["pid"])
        proofs = proven.setdefault(incarnation, [])
        before = [
            number
            for at_s, number in proofs
            if at_s < fields["sent"] - ROLLBACK_SLACK_S
        ]
        if newest < max(before, default=-1):
            broken.append(
                Break(
                    "CONFIG",
                    event.at_s,
                    f"{_asked(event)}, as only versions before"
                    f" {versions[newest + 1].fields['version']} allow, though"
                    " the same process has answered by version"
                    f" {versions[max(before)].fields['version']}",
                )
            )
        if allowing and allowing[0] > max((n for _, n in proofs), default=-1):
            proofs.append((event.at_s, allowing[0]))
    return broken


def _route_answers(events: list[Event]) -> list[Event]:
    """Returns the answers that tell whether a route is there."""
    return [
        event
        for event in events
        if event.fields.get("prefix") and event.fields["status"] in (200, 404)
    ]


def _asked(event: Event) -> str:
    fields = event.fields
    return (
        f"{event.what} {fields['prefix']} at {fields['entry']}, sent at"
        f" {fields['sent']:.3f} on a {fields['connection']} connection, was"
        f" answered {fields['status']}"
    )
