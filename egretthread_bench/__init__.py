"""Benchmarks of the placement policies and of the running programs."""
