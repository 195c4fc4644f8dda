"""The program `egretthread-agent`."""

from egretthread import agentserver, daemon, settings


def main() -> None:
    """Runs an agent until SIGTERM or SIGINT."""
    daemon.main(
        "egretthread-agent",
        settings.load_agent,
        agentserver.AgentServer,
        _addresses,
    )


def _addresses(server: agentserver.AgentServer) -> dict[str, str]:
    return {"admin": server.admin.address}


if __name__ == "__main__":
    main()
