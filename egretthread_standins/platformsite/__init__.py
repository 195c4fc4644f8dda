"""Stand-ins of the operators' platform, its backend servers and callers."""
