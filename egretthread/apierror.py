"""Typed errors of the callers' HTTP interface, one class per error kind."""

from egretthread import util


class ApiError(util.EgretthreadError):
    """Root of what a call to an entry may raise.

    Attributes:
        status: HTTP status; 0 when no answer came.
        retry_after_s: How long to wait before asking again; 0 for no wish.
        may_have_started: Whether a task may have started through this call.
            False only when every attempt of it was refused unstarted.
        faults: Every fault found in a bad request, as text.
    """

    kind = "error"
    retryable = False

    def __init__(
        self,
        message: str,
        remedy: str,
        status: int = 0,
        retry_after_s: float = 0.0,
        may_have_started: bool = True,
        faults: tuple[str, ...] = (),
    ):
        super().__init__(message, remedy)
        self.status = status
        self.retry_after_s = retry_after_s
        self.may_have_started = may_have_started
        self.faults = faults


class UnauthorisedError(ApiError):
    """The access key is missing, unknown or revoked."""

    kind = "unauthorised"


class BadRequestError(ApiError):
    """The request holds the listed faults."""

    kind = "bad_request"


class BadJobKeyError(ApiError):
    """The job key in the path is not of the documented form."""

    kind = "bad_job_key"


class UnknownServiceError(ApiError):
    """There is no such service, or the organisation may not use it."""

    kind = "unknown_service"


class UnknownJobError(ApiError):
    """Nothing is known of the key, or it is another organisation's."""

    kind = "unknown_job"


class KeyConflictError(ApiError):
    """The key was used before with other content."""

    kind = "key_conflict"


class KeyExpiredError(ApiError):
    """The key's time is past retention."""

    kind = "key_expired"


class KeyInFutureError(ApiError):
    """The key's time lies ahead of the entry's clock."""

    kind = "key_in_future"
    retryable = True


class QuotaExceededError(ApiError):
    """The organisation's quota is used up for the moment."""

    kind = "quota_exceeded"
    retryable = True


class OverloadedError(ApiError):
    """The entry takes no more jobs for the moment."""

    kind = "overloaded"
    retryable = True


class UnavailableError(ApiError):
    """The entry can't take the job for the moment."""

    kind = "unavailable"
    retryable = True


class ShardUnavailableError(ApiError):
    """The witnesses of this key have no majority for the moment."""

    kind = "shard_unavailable"
    retryable = True


class SupersededError(ApiError):
    """Another entry took the job over; the same key gets its answer."""

    kind = "superseded"
    retryable = True


class DeadlineExceededError(ApiError):
    """The deadline passed while the entry sought the job's coordinator."""

    kind = "deadline_exceeded"
    retryable = True


class ConnectionLostError(ApiError):
    """No whole answer came: refused, cut off, timed out or garbled."""

    kind = "connection_lost"
    retryable = True


ERRORS = {
    error.kind: error
    for error in (
        UnauthorisedError,
        BadRequestError,
        BadJobKeyError,
        UnknownServiceError,
        UnknownJobError,
        KeyConflictError,
        KeyExpiredError,
        KeyInFutureError,
        QuotaExceededError,
        OverloadedError,
        UnavailableError,
        ShardUnavailableError,
        SupersededError,
        DeadlineExceededError,
        ConnectionLostError,
    )
}

KINDS_BY_STATUS = {
    401: UnauthorisedError.kind,
    429: OverloadedError.kind,
    502: UnavailableError.kind,
    503: UnavailableError.kind,
    504: UnavailableError.kind,
}


def from_body(status: int, body: object) -> ApiError:
    """Returns the typed error of an HTTP error response.

    Args:
        status: The HTTP status.
        body: The decoded JSON body; anything else when something between
            caller and entry answered.
    """
    body = body if isinstance(body, dict) else {}
    kind = body.get("kind", KINDS_BY_STATUS.get(status, ""))
    unstarted = body.get("started_by_this_request") is False
    error = ERRORS.get(kind, ApiError)(
        str(body.get("message", f"the entry answered HTTP {status}")),
        str(body.get("remedy", "look at the entry's log")),
        status=status,
        retry_after_s=number(body.get("retry_after_s")),
        may_have_started=not unstarted,
        faults=tuple(fault_text(f) for f in body.get("faults", ())),
    )
    # A kind that this version does not know is kept as it came.
    error.kind = str(kind) or error.kind
    return error


def number(value: object) -> float:
    """Returns a non-negative number, or 0 for anything else."""
    is_number = isinstance(value, int | float)
    return max(0.0, float(value)) if is_number else 0.0


def fault_text(fault: object) -> str:
    """Returns one fault of a bad request as a line of text."""
    if not isinstance(fault, dict):
        return str(fault)
    parts = (fault.get(name, "") for name in ("key", "value", "remedy"))
    return "{} = {}: {}".format(*parts)
