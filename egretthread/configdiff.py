"""What differs between two configurations, by name."""

import dataclasses

from egretthread import config

ROW_FIELDS = ("organisations", "services", "zones")


def diff(
    old: config.Configuration, new: config.Configuration
) -> tuple[str, ...]:
    """Returns one line per difference, such as `zones.a added`."""
    lines = []
    for field in dataclasses.fields(config.Configuration):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if field.name in ROW_FIELDS:
            lines += diff_rows(field.name, before, after)
        elif before != after:
            lines.append(diff_value(field.name, before, after))
    return tuple(lines)


def diff_rows(path: str, old: tuple, new: tuple) -> list[str]:
    """Returns the differences between two tuples of named rows."""
    before = {row.name: row for row in old}
    after = {row.name: row for row in new}
    lines = [f"{path}.{name} removed" for name in before if name not in after]
    lines += [f"{path}.{name} added" for name in after if name not in before]
    for name in before.keys() & after.keys():
        lines += diff_row(f"{path}.{name}", before[name], after[name])
    return sorted(lines)


def diff_row(path: str, old: object, new: object) -> list[str]:
    """Returns the differences between two rows of the same name."""
    return [
        diff_value(
            f"{path}.{field.name}",
            getattr(old, field.name),
            getattr(new, field.name),
        )
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def diff_value(path: str, old: object, new: object) -> str:
    """Returns the difference between two values."""
    if isinstance(old, tuple):
        return f"{path}: {diff_members(old, new)}"
    return f"{path}: {old!r} -> {new!r}"


def diff_members(old: tuple, new: tuple) -> str:
    """Returns what two tuples of names or of named rows differ in."""
    lost = [member_name(member) for member in old if member not in new]
    gained = [member_name(member) for member in new if member not in old]
    signed = [f"-{name}" for name in lost] + [f"+{name}" for name in gained]
    return " ".join(signed) or "reordered"


def member_name(member: object) -> str:
    """Returns how a member of a tuple is named."""
    return getattr(member, "name", str(member))
