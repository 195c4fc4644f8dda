"""The store, under the name that the review's scripts use."""

from egretthread_standins.platformsite.store import Store  # noqa: F401
