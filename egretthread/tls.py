"""TLS contexts of the links between the system's processes."""

import ssl

from egretthread.settings import AgentSettings, EntrySettings

Settings = EntrySettings | AgentSettings


def server_tls(options: Settings) -> ssl.SSLContext | None:
    """Returns the TLS context of the accepting end, or None for plain TCP.

    With `tls_ca` set, the connecting end has to show a certificate too.
    """
    if not options.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(options.tls_cert, options.tls_key)
    if options.tls_ca:
        context.load_verify_locations(options.tls_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_tls(options: Settings) -> ssl.SSLContext | None:
    """Returns the TLS context of the connecting end, or None."""
    if not options.tls_ca:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Instances are replaced at any time and are known by IP numbers, so the
    # authority vouches for them, not their host names.
    context.check_hostname = False
    context.load_verify_locations(options.tls_ca)
    if options.tls_cert:
        context.load_cert_chain(options.tls_cert, options.tls_key)
    return context
