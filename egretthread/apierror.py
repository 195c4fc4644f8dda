"""Typed errors of the HTTP interface for callers, one class per error kind."""

from egretthread import util


class ApiError(util.EgretthreadError):
    """Base class of the errors that a call to an entry raises.

    Attributes:
        status: HTTP status; 0 if no response was received.
        retry_after_s: Time to wait before a retry; 0 if the entry named none.
        may_have_started: Whether a task may have started through this call.
            False only if every attempt failed before it could start a task.
        faults: All faults found in a bad request, as text.
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
    """The job key in the path does not have the documented form."""

    kind = "bad_job_key"


class UnknownServiceError(ApiError):
    """There is no such service, or the organisation may not use it."""

    kind = "unknown_service"


class UnknownJobError(ApiError):
    """The job is not known, or it belongs to another organisation."""

    kind = "unknown_job"


class KeyConflictError(ApiError):
    """The key was used before for a job with different content."""

    kind = "key_conflict"


class KeyExpiredError(ApiError):
    """The key's submission time is past retention."""

    kind = "key_expired"


class KeyInFutureError(ApiError):
    """The key's submission time is ahead of the entry's clock."""

    kind = "key_in_future"
    retryable = True


class QuotaExceededError(ApiError):
    """The organisation's quota is used up at the moment."""

    kind = "quota_exceeded"
    retryable = True


class OverloadedError(ApiError):
    """The entry accepts no more jobs at the moment."""

    kind = "overloaded"
    retryable = True


class UnavailableError(ApiError):
    """The entry cannot accept the job at the moment."""

    kind = "unavailable"
    retryable = True


class ShardUnavailableError(ApiError):
    """The witnesses of the key's shard have no majority at the moment."""

    kind = "shard_unavailable"
    retryable = True


class SupersededError(ApiError):
    """Another entry took over the job; a retry with its key gets the answer."""

    kind = "superseded"
    retryable = True


class DeadlineExceededError(ApiError):
    """The deadline passed while the entry looked for the job's coordinator."""

    kind = "deadline_exceeded"
    retryable = True


class ConnectionLostError(ApiError):
    """No complete answer came: refused, cut off, timed out or malformed."""

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
        body: The decoded JSON body. It can have any type, since a proxy
            between the caller and the entry may have sent the response.
    """
    body = body if isinstance(body, dict) else {}
    kind = body.get("kind")
    if not isinstance(kind, str):
        kind = KINDS_BY_STATUS.get(status, "")
    faults = body.get("faults")
    nothing_started = body.get("started_by_this_request") is False
    error = ERRORS.get(kind, ApiError)(
        str(body.get("message", f"the entry answered HTTP {status}")),
        str(body.get("remedy", "check the log of the entry")),
        status=status,
        retry_after_s=non_negative(body.get("retry_after_s")),
        may_have_started=not nothing_started,
        faults=tuple(
            fault_text(fault)
            for fault in (faults if isinstance(faults, list) else ())
        ),
    )
    # Keeps a kind that this version does not know.
    error.kind = kind or error.kind
    return error


def non_negative(value: object) -> float:
    """Returns the value if it is a non-negative number, else 0."""
    is_number = isinstance(value, int | float)
    return max(0.0, float(value)) if is_number else 0.0


def fault_text(fault: object) -> str:
    """Returns a fault of a bad request as one line of text."""
    if not isinstance(fault, dict):
        return str(fault)
    parts = (fault.get(name, "") for name in ("key", "value", "remedy"))
    return "{} = {}: {}".format(*parts)
