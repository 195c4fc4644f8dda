"""Scheduling of jobs and their steps on backend servers with free capacity."""
