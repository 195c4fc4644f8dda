"""Which entries an agent keeps links with.

Heartbeats over links are most of what an agent costs where there are many
entries. An agent keeps links with a few, chosen by a hash of both ends, so
that all entries have about the same number of agents, and the choice changes
little when an entry comes or goes.
"""

from collections.abc import Collection, Iterable

import xxhash

# Links of an agent: with 5 of 9 entries each of them still sees half of the
# agents, and the sites of 3 to 5 entries have all links.
LINKS = 5


def choose(
    agent: str, addresses: Iterable[str], unreachable: Collection[str]
) -> tuple[str, ...]:
    """Returns the entries to keep links with.

    An entry that can't be reached stays among them, so that the link opens
    when it is back, and another takes its place until then.

    Args:
        agent: Name of the agent.
        addresses: The entries known.
        unreachable: Those among them that can't be reached.
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
        if reachable == LINKS:
            break
        is_first = len(chosen) < LINKS
        if address not in unreachable:
            reachable += 1
        elif not is_first:
            continue
        chosen.append(address)
    return tuple(chosen)
