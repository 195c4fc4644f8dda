"""TLS contexts of the links between the system's processes."""

import ssl

from egretthread.settings import AgentSettings, EntrySettings

Settings = EntrySettings | AgentSettings


def server_tls(options: Settings) -> ssl.SSLContext | None:
    """Returns the TLS context of the accepting end, or None for plain TCP.

    If `tls_ca` is set, the connecting end must present a certificate, too.
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
    """Returns the TLS context of the connecting end, or None for plain TCP."""
    if not options.tls_ca:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Instances may be replaced at any time and are addressed by IP address.
    # Their certificates are therefore checked against the certificate
    # authority, but not against host names.
    context.check_hostname = False
    context.load_verify_locations(options.tls_ca)
    if options.tls_cert:
        context.load_cert_chain(options.tls_cert, options.tls_key)
    return context
