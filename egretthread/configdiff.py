"""Differences between two configurations, by name."""

import dataclasses

from egretthread import config

# Fields that hold resources: objects that are identified by their names.
RESOURCE_FIELDS = ("organisations", "services", "zones")


def diff(
    old: config.Configuration, new: config.Configuration
) -> tuple[str, ...]:
    """Returns one line per difference, such as `zones.a added`."""
    lines = []
    for field in dataclasses.fields(config.Configuration):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if field.name in RESOURCE_FIELDS:
            lines += diff_resources(field.name, before, after)
        elif before != after:
            lines.append(diff_value(field.name, before, after))
    return tuple(lines)


def diff_resources(path: str, old: tuple, new: tuple) -> list[str]:
    """Returns the differences between two tuples of resources."""
    before = {resource.name: resource for resource in old}
    after = {resource.name: resource for resource in new}
    lines = [f"{path}.{name} removed" for name in before if name not in after]
    lines += [f"{path}.{name} added" for name in after if name not in before]
    for name in before.keys() & after.keys():
        lines += diff_resource(f"{path}.{name}", before[name], after[name])
    return sorted(lines)


def diff_resource(path: str, old: object, new: object) -> list[str]:
    """Returns the differences between two resources of the same name."""
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
        return f"{path}: {diff_elements(old, new)}"
    return f"{path}: {old!r} -> {new!r}"


def diff_elements(old: tuple, new: tuple) -> str:
    """Returns the removed and added elements of a tuple, by name."""
    removed = [element_name(element) for element in old if element not in new]
    added = [element_name(element) for element in new if element not in old]
    signed = [f"-{name}" for name in removed] + [f"+{name}" for name in added]
    return " ".join(signed) or "reordered"


def element_name(element: object) -> str:
    """Returns the name of a named object, or the element as text."""
    return getattr(element, "name", str(element))
