"""HTTP of the stand-ins, under the name that the review's scripts use."""

from egretthread_standins.platformsite.web import (  # noqa: F401
    Connection,
    Lost,
    Request,
    Server,
    call,
)
