"""Ablation: plays days with one mechanism switched off at a time."""

import dataclasses
import pathlib
import shutil
import subprocess
import tomllib

from egretthread import util

# Directory in which the operators' bench keeps what it has built.
BUILT = "target"


class AblationError(util.EgretthreadError):
    """A mechanism could not be switched off."""

    kind = "ablation"


@dataclasses.dataclass(frozen=True)
class Edit:
    """A change of one source file.

    Attributes:
        path: The file, relative to the repository.
        old: Text that it holds exactly once.
        new: What takes its place.
    """

    path: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """A mechanism, and the edits that switch it off.

    Attributes:
        name: Its name.
        edits: The edits.
    """

    name: str
    edits: tuple[Edit, ...]


def load(path: pathlib.Path) -> list[Mechanism]:
    """Returns the mechanisms of a TOML file.

    Raises:
        AblationError: The file is missing or malformed.
    """
    try:
        tables = tomllib.loads(path.read_text())
        return [
            Mechanism(name, tuple(Edit(**edit) for edit in edits))
            for name, edits in tables.items()
        ]
    except (OSError, tomllib.TOMLDecodeError, TypeError) as error:
        raise AblationError(
            f"{path}: {error}",
            "give each mechanism a list of tables with path, old and new",
        ) from error


def switch_off(checkout: pathlib.Path, mechanism: Mechanism) -> None:
    """Applies the edits of a mechanism to a copy of the repository.

    Raises:
        AblationError: An edit no longer applies.
    """
    for edit in mechanism.edits:
        path = checkout / edit.path
        text = path.read_text() if path.exists() else ""
        if text.count(edit.old) != 1:
            raise AblationError(
                f"{mechanism.name}: {edit.path} holds {edit.old!r}"
                f" {text.count(edit.old)} times",
                "adapt the edit to the source",
            )
        path.write_text(text.replace(edit.old, edit.new))


def clone(checkout: pathlib.Path, target: pathlib.Path) -> None:
    """Clones the last commit of a repository, with what was built of it."""
    if target.exists():
        shutil.rmtree(target)
    subprocess.run(
        ("git", "clone", "-q", str(checkout), str(target)), check=True
    )
    if (checkout / BUILT).exists():
        shutil.copytree(checkout / BUILT, target / BUILT)
