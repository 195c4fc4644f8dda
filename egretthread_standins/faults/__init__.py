"""Scenes that bring about faults on a small cluster and check outcomes."""
