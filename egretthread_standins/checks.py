"""Checks of measurements, and the table that shows them."""

import dataclasses

from egretthread import console


@dataclasses.dataclass(frozen=True)
class Check:
    """One condition that a scenario or the demo must meet.

    Attributes:
        name: Name of the condition.
        ok: Whether it is met.
        measured: The measured value, as text.
    """

    name: str
    ok: bool
    measured: str


def equal(name: str, expected: object, measured: object) -> Check:
    """Returns the check that a measured value equals the expected one."""
    return Check(name, expected == measured, str(measured))


def same(name: str, first: object, *others: object) -> Check:
    """Returns the check that several answers exist and are equal."""
    ok = first is not None and all(other == first for other in others)
    return Check(name, ok, "yes" if ok else "no")


def at_most(name: str, limit: float, measured: float, unit: str) -> Check:
    """Returns the check that a measured value is at most its limit."""
    return Check(name, measured <= limit, f"{measured:.3f} {unit}")


def figure(name: str, measured: object) -> Check:
    """Returns a check that always passes and only shows its value."""
    return Check(name, True, str(measured))


def print_checks(checks: list[Check]) -> None:
    """Prints the table of checks."""
    rows = [("ok" if c.ok else "FAILED", c.name, c.measured) for c in checks]
    print(console.table(("", "CHECK", "MEASURED"), rows), flush=True)
