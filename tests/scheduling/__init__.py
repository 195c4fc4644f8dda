"""Tests of the scheduling engines."""
