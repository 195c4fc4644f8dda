"""Tests of the adapter to the operators' platform."""
