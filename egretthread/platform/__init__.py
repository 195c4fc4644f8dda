"""Adapter to the operators' platform: decodes its names, decides nothing."""
