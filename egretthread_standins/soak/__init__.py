"""Random mixes of disturbances on real processes, judged by their events."""
