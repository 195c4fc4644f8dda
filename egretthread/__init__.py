"""A shared dispatcher for sub-second tasks."""
