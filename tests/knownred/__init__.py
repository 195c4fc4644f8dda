"""Tests that fail because of faults in KNOWN-RED.txt; not collected."""
