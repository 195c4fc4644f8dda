"""Node ids: each identifies one process by `name#incarnation`.

The name is that of the instance, from its settings. The incarnation is the
Unix time of the process's start in milliseconds, so a restarted process is a
different node.
"""


def node_id(name: str, incarnation: int) -> str:
    """Returns the node id for a name and an incarnation."""
    return f"{name}#{incarnation}"


def node_name(node: str) -> str:
    """Returns the name in a node id."""
    return node.rpartition("#")[0]


def node_incarnation(node: str) -> int:
    """Returns the incarnation in a node id."""
    return int(node.rpartition("#")[2])
