"""Open links of a process by node id."""

from egretthread import link, wire


class Routes:
    """The open links of one process.

    A node may have several links, for example after it has reconnected.
    Messages are sent over the newest one.

    Attributes:
        peers: Open links by node id, the newest last.
    """

    def __init__(self):
        self.peers: dict[str, list[link.Peer]] = {}

    def add(self, peer: link.Peer) -> None:
        """Adds a link that has opened."""
        self.peers.setdefault(peer.node, []).append(peer)

    def remove(self, peer: link.Peer) -> bool:
        """Removes a link; returns whether it was the node's last one."""
        peers = self.peers.get(peer.node, [])
        if peer not in peers:
            return False
        peers.remove(peer)
        if peers:
            return False
        del self.peers[peer.node]
        return True

    def is_newest(self, peer: link.Peer) -> bool:
        """Whether messages to the node are sent over this link."""
        return self.peers.get(peer.node, [None])[-1] is peer

    def send(self, node: str, outgoing: wire.Message) -> bool:
        """Sends a message; returns whether the node has a link."""
        peers = self.peers.get(node)
        if not peers:
            return False
        peers[-1].send(outgoing)
        return True
