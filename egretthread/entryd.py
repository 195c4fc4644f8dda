"""The program `egretthread-entry`."""

from egretthread import daemon, entryserver, settings


def main() -> None:
    """Runs an entry until SIGTERM or SIGINT."""
    daemon.main(
        "egretthread-entry",
        settings.load_entry,
        entryserver.EntryServer,
        _addresses,
    )


def _addresses(server: entryserver.EntryServer) -> dict[str, str]:
    return {
        "http": server.http_address,
        "admin": server.admin.address,
        "peer": server.link_server.address,
    }


if __name__ == "__main__":
    main()
