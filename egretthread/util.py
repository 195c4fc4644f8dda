"""Base error class and the option checks shared by all modules."""

import dataclasses


class EgretthreadError(Exception):
    """Base class of the errors that this package raises.

    Attributes:
        kind: Stable machine-readable name of the error.
        message: What went wrong, in one sentence.
        remedy: What the reader can do about it, in one sentence.
    """

    kind = "error"

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message} ({remedy})")
        self.message = message
        self.remedy = remedy


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault found by checking an option.

    Attributes:
        key: Dotted path of the option, such as `entry.http_port`.
        value: The invalid value, as text.
        remedy: What to write instead.
    """

    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.key} = {self.value}: {self.remedy}"


class OptionError(EgretthreadError):
    """A document, such as a settings file, holds one or more faults.

    Attributes:
        faults: All faults, in the order in which they were found.
    """

    kind = "bad_option"

    def __init__(self, source: str, faults: tuple[Fault, ...]):
        lines = "; ".join(str(fault) for fault in faults)
        super().__init__(
            f"{source} holds {len(faults)} fault(s): {lines}",
            "correct the named keys and check again",
        )
        self.faults = faults


class OptionChecker:
    """Collects the faults of one document, to report all of them together.

    Attributes:
        faults: The faults found so far.
    """

    def __init__(self):
        self.faults: list[Fault] = []

    def fault(self, key: str, value: object, remedy: str) -> None:
        """Records one fault."""
        self.faults.append(Fault(key, repr(value), remedy))

    def text(self, table: dict, key: str, path: str, default=None) -> str:
        """Returns a non-empty string option."""
        value = table.get(key, default)
        if not isinstance(value, str) or not value:
            self.fault(path, value, "give a non-empty string")
            return ""
        return value

    def number(
        self,
        table: dict,
        key: str,
        path: str,
        default=None,
        minimum: float = 0.0,
        maximum: float = float("inf"),
    ) -> float:
        """Returns a number option within [minimum, maximum]."""
        value = table.get(key, default)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool):
            self.fault(path, value, "give a number")
            return minimum
        if not minimum <= value <= maximum:
            self.fault(path, value, f"give {minimum} to {maximum}")
            return minimum
        return value

    def integer(
        self,
        table: dict,
        key: str,
        path: str,
        default=None,
        minimum: int = 0,
        maximum: int = 2**53,
    ) -> int:
        """Returns an integer option within [minimum, maximum]."""
        value = self.number(table, key, path, default, minimum, maximum)
        if value != int(value):
            self.fault(path, value, "give a whole number")
        return int(value)

    def boolean(self, table: dict, key: str, path: str, default=None) -> bool:
        """Returns a boolean option."""
        value = table.get(key, default)
        if not isinstance(value, bool):
            self.fault(path, value, "give true or false")
            return False
        return value

    def choice(
        self, table: dict, key: str, path: str, allowed: tuple, default=None
    ) -> str:
        """Returns an option that is one of the allowed values."""
        value = table.get(key, default)
        if value not in allowed:
            names = ", ".join(str(name) for name in allowed)
            self.fault(path, value, f"give one of {names}")
            return allowed[0]
        return value

    def unknown_keys(self, table: dict, path: str, known: tuple) -> None:
        """Records a fault for every key of the table that is not known."""
        for key in table:
            if key not in known:
                names = ", ".join(known)
                self.fault(
                    f"{path}.{key}" if path else key,
                    table[key],
                    f"remove it; the known keys are {names}",
                )

    def finish(self, source: str) -> None:
        """Raises OptionError if any fault was recorded."""
        if self.faults:
            raise OptionError(source, tuple(self.faults))
