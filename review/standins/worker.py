"""A backend server, under the name that the review's scripts use."""

from egretthread_standins.platformsite.backendserver import (  # noqa: F401
    BackendServer as Worker,
)
