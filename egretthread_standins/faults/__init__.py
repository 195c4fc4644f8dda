"""Fault scenarios on a small cluster, with checks of the outcomes."""
