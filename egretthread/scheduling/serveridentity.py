"""Which heartbeats and leaves are of the agent's own backend server."""

import reprlib

from egretthread import util
from egretthread.scheduling.agentboard import (
    AgentBoard,
    ServerLeave,
    ServerRecord,
)

# Optional fields that every incarnation reports if one of them does.
IDENTITY_FIELDS = frozenset({"born", "labels"})


class ForeignServerError(util.EgretthreadError):
    """A heartbeat or a leave is not of the agent's backend server."""

    kind = "foreign_server"


def check_heartbeat(board: AgentBoard, record: ServerRecord) -> None:
    """Checks that a heartbeat may be of the agent's backend server.

    Raises:
        ForeignServerError: It is of another writer.
    """
    known = board.server
    is_known = known is not None and is_same(record, known)
    is_named = not board.services or record.service in board.services
    if not is_known and not is_named:
        raise ForeignServerError(
            f"service {reprlib.repr(record.service)} of {_name(record.server)}"
            " is in no configuration",
            "configure the service or correct the heartbeat",
        )
    if known is not None:
        # A new incarnation may be of a kind that reports other amounts.
        fields = known.reported if is_known else IDENTITY_FIELDS
        _check_fields(record, known, fields)
        # A wrong first heartbeat must not keep the true server out.
        if board.services or board.is_confirmed:
            _check_facts(board, record, known, is_known)


def check_leave(board: AgentBoard, leave: ServerLeave) -> None:
    """Checks that a leave may be of the agent's backend server.

    Raises:
        ForeignServerError: It is of another writer.
    """
    known = board.server
    if known is None or not board.is_confirmed:
        return
    left = board.left_server
    if leave.server != known.server:
        if left is not None and leave.server == left.server:
            return
        raise ForeignServerError(
            f"{_name(leave.server)} leaves, but {_name(known.server)} is here",
            "send a heartbeat before the leave",
        )
    if leave.started_unix_ms not in (0, known.started_unix_ms):
        raise ForeignServerError(
            f"born of {_name(leave.server)} is {leave.started_unix_ms}",
            f"set born to {known.started_unix_ms} as in its heartbeats",
        )
    if leave.service not in ("", known.service):
        raise ForeignServerError(
            f"service of {_name(leave.server)} is "
            + reprlib.repr(leave.service),
            f"set service to {known.service!r} as in its heartbeats",
        )


def is_same(record: ServerRecord, known: ServerRecord) -> bool:
    """Whether two heartbeats are of the same incarnation.

    One that does not report its start may be of any incarnation of this id.
    """
    return record.server == known.server and (
        record.started_unix_ms == known.started_unix_ms
        or not record.started_unix_ms
        or not known.started_unix_ms
    )


def _check_facts(
    board: AgentBoard, record: ServerRecord, known: ServerRecord, is_known: bool
) -> None:
    """Checks that a heartbeat does not contradict earlier ones."""
    # The agent and all incarnations of its backend server share a machine.
    if record.zone not in (known.zone, board.zone):
        raise ForeignServerError(
            f"zone of {_name(record.server)} is {reprlib.repr(record.zone)}",
            f"set zone to {known.zone!r}",
        )
    if is_known and record.service != known.service:
        raise ForeignServerError(
            f"service of {_name(record.server)} is"
            f" {reprlib.repr(record.service)}",
            f"set service to {known.service!r} or start a new incarnation",
        )


def _check_fields(
    record: ServerRecord, known: ServerRecord, fields: frozenset[str]
) -> None:
    missing = (known.reported & fields) - record.reported
    if missing:
        names = ", ".join(sorted(missing))
        raise ForeignServerError(
            f"a heartbeat of {_name(record.server)} lacks {names}",
            f"report {names} as earlier heartbeats did",
        )


def _name(server: str) -> str:
    """Returns the id of a server for a message, whose length is limited."""
    return reprlib.repr(server)
