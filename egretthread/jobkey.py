"""Job keys: a submission time and a name chosen by the caller."""

import dataclasses
import re

from egretthread import util

KEY_PATTERN = re.compile(r"(\d{13})-([A-Za-z0-9._-]{1,64})")


class JobKeyError(util.EgretthreadError):
    """A job key does not have the documented form."""

    kind = "bad_job_key"


@dataclasses.dataclass(frozen=True, order=True)
class JobRef:
    """Identifies one job of one organisation.

    Attributes:
        organisation: Name of the organisation that submitted it.
        key: The job key, `<13 digits of Unix ms>-<name>`.
    """

    organisation: str
    key: str

    @property
    def issued_s(self) -> float:
        """The submission time within the key, in Unix seconds."""
        return int(self.key[:13]) / 1000.0


def make_key(issued_s: float, name: str) -> str:
    """Returns the key of a job that is first submitted at a Unix time.

    Args:
        issued_s: Time of the first submission, in Unix seconds.
        name: 1 to 64 of the characters A-Z a-z 0-9 . _ -

    Raises:
        JobKeyError: The name does not have that form.
    """
    return check_key(f"{int(issued_s * 1000):013d}-{name}")


def check_key(key: str) -> str:
    """Returns the key if it has the documented form.

    Raises:
        JobKeyError: The key does not have it.
    """
    if not isinstance(key, str) or not KEY_PATTERN.fullmatch(key):
        raise JobKeyError(
            f"job key {key!r} is malformed",
            "write 13 digits of Unix time in milliseconds, '-', and a name of"
            " 1 to 64 of the characters A-Z a-z 0-9 . _ -",
        )
    return key
