"""Adapter to the operators' platform.

Translates the platform's protocols, headers and JSON keys into the classes of
`egretthread.scheduling` and back. It makes no scheduling decisions.
"""
