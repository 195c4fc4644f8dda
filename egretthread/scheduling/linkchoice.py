"""Selection of the entries that an agent keeps links with.

Heartbeats over links are most of the cost of an agent where there are many
entries. An agent therefore keeps links with a few entries, selected by
rendezvous hashing: all entries get about the same number of agents, and the
selection changes little when an entry joins or leaves.
"""

from collections.abc import Collection, Iterable

import xxhash

# With 5 links per agent, each of 9 entries still sees half of the agents, and
# sites of 3 to 5 entries are fully connected.
LINKS_PER_AGENT = 5


def choose(
    agent: str, addresses: Iterable[str], unreachable: Collection[str]
) -> tuple[str, ...]:
    """Returns the addresses of the entries to keep links with.

    An unreachable entry stays selected, so that its link opens when it returns.
    Until then, another entry is selected in addition.

    Args:
        agent: Name of the agent.
        addresses: Addresses of the known entries.
        unreachable: Addresses of the unreachable entries among them.
    """
    ranked = sorted(
        dict.fromkeys(addresses),
        key=lambda address: xxhash.xxh64_intdigest(
            f"{agent} {address}".encode()
        ),
    )
    chosen = []
    reachable = 0
    for address in ranked:
        if reachable == LINKS_PER_AGENT:
            break
        is_preferred = len(chosen) < LINKS_PER_AGENT
        if address not in unreachable:
            reachable += 1
        elif not is_preferred:
            continue
        chosen.append(address)
    return tuple(chosen)
