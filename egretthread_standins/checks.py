"""Checks of what was seen, and the table that shows them."""

import dataclasses

from egretthread import console


@dataclasses.dataclass(frozen=True)
class Check:
    """One thing that must hold.

    Attributes:
        name: What is checked.
        ok: Whether it holds.
        seen: What was measured.
    """

    name: str
    ok: bool
    seen: str


def equal(name: str, expected: object, seen: object) -> Check:
    """Returns the check that what was seen is what was expected."""
    return Check(name, expected == seen, str(seen))


def same(name: str, first: object, *others: object) -> Check:
    """Returns the check that several answers are there and are equal."""
    ok = first is not None and all(other == first for other in others)
    return Check(name, ok, "yes" if ok else "no")


def at_most(name: str, limit: float, seen: float, unit: str) -> Check:
    """Returns the check that a figure is within its limit."""
    return Check(name, seen <= limit, f"{seen:.3f} {unit}")


def figure(name: str, seen: object) -> Check:
    """Returns a figure that is only shown."""
    return Check(name, True, str(seen))


def print_checks(checks: list[Check]) -> None:
    """Prints the table of checks."""
    rows = [("ok" if c.ok else "FAILED", c.name, c.seen) for c in checks]
    print(console.table(("", "CHECK", "SEEN"), rows), flush=True)
