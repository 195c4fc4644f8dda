"""Links that an agent keeps with entries outside its selection.

An agent links with a few entries (see `linkchoice`). Others may coordinate jobs
of ends that it holds, or have tasks that only its backend server can run.
"""

from collections.abc import Iterable

from egretthread import logs
from egretthread.scheduling.agentboard import AgentBoard

# Time for which such a link is kept after the entry was last named.
KEEP_S = 15.0


def want(board: AgentBoard, addresses: Iterable[str]) -> None:
    """Records entries that need a link, by their addresses."""
    for address in addresses:
        if address not in board.wanted_links:
            logs.info("link_wanted", address=address)
        board.wanted_links[address] = board.now_s + KEEP_S


def addresses(board: AgentBoard) -> tuple[str, ...]:
    """Returns the addresses of the entries that need a link."""
    for address, until_s in tuple(board.wanted_links.items()):
        if until_s < board.now_s:
            del board.wanted_links[address]
    return tuple(board.wanted_links)
