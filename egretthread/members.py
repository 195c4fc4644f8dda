"""The entries and the witness table, built from the members stream."""

import dataclasses
import json

import xxhash

from egretthread.jobkey import JobRef

WITNESSES_PER_SHARD = 3


@dataclasses.dataclass(frozen=True)
class EntryMember:
    """One entry instance that has registered itself.

    Attributes:
        name: Name of the instance.
        incarnation: Its start time in Unix milliseconds.
        address: `host:port` at which other processes reach it.
    """

    name: str
    incarnation: int
    address: str


@dataclasses.dataclass(frozen=True)
class Shard:
    """One shard of the witness table.

    Attributes:
        epoch: Offset of the record that last changed the shard.
        members: Names of its agents: 3, or 1 in a region of fewer than 3.
        previous: Its members in the previous epoch; empty in the first one.
    """

    epoch: int
    members: tuple[str, ...]
    previous: tuple[str, ...] = ()


@dataclasses.dataclass
class Membership:
    """State of the members stream of one region up to an offset.

    Attributes:
        offset: Offset of the last applied record; -1 for none.
        entries: Entry members by name.
        shards: Shards by number.
        shard_count: Number of shards; 0 until the witness table exists.
        shards_by_agent: Numbers of the shards of each agent, by agent name.
    """

    offset: int = -1
    entries: dict[str, EntryMember] = dataclasses.field(default_factory=dict)
    shards: dict[int, Shard] = dataclasses.field(default_factory=dict)
    shard_count: int = 0
    shards_by_agent: dict[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )


def entry_up_record(member: EntryMember) -> str:
    """Returns the record that registers an entry."""
    return json.dumps({"kind": "entry_up", **dataclasses.asdict(member)})


def entry_down_record(member: EntryMember) -> str:
    """Returns the record that removes one incarnation of an entry."""
    return json.dumps({"kind": "entry_down", **dataclasses.asdict(member)})


def shards_record(count: int, changes: dict[int, tuple[str, ...]]) -> str:
    """Returns the record that assigns new members to shards."""
    return json.dumps({"kind": "shards", "count": count, "changes": changes})


def snapshot_record(membership: Membership) -> str:
    """Returns a record that holds the complete membership."""
    return json.dumps(
        {
            "kind": "snapshot",
            "entries": [
                dataclasses.asdict(member)
                for member in membership.entries.values()
            ],
            "count": membership.shard_count,
            "shards": {
                number: dataclasses.asdict(shard)
                for number, shard in membership.shards.items()
            },
        }
    )


def _apply_entry_up(membership: Membership, offset: int, record: dict) -> None:
    member = EntryMember(
        record["name"], record["incarnation"], record["address"]
    )
    known = membership.entries.get(member.name)
    if known is None or known.incarnation <= member.incarnation:
        membership.entries[member.name] = member


def _apply_entry_down(
    membership: Membership, offset: int, record: dict
) -> None:
    known = membership.entries.get(record["name"])
    if known is not None and known.incarnation <= record["incarnation"]:
        del membership.entries[record["name"]]


def _apply_shards(membership: Membership, offset: int, record: dict) -> None:
    membership.shard_count = record["count"]
    for number, members in record["changes"].items():
        replaced = membership.shards.get(int(number))
        previous = replaced.members if replaced else ()
        membership.shards[int(number)] = Shard(offset, tuple(members), previous)
    _index_shards(membership)


def _index_shards(membership: Membership) -> None:
    """Rebuilds the index of the shards of each agent."""
    found: dict[str, list[int]] = {}
    for number, shard in membership.shards.items():
        for name in shard.members:
            found.setdefault(name, []).append(number)
    membership.shards_by_agent = {
        agent: tuple(numbers) for agent, numbers in found.items()
    }


def _apply_snapshot(membership: Membership, offset: int, record: dict) -> None:
    membership.entries = {
        fields["name"]: EntryMember(**fields) for fields in record["entries"]
    }
    membership.shard_count = record["count"]
    membership.shards = {
        int(number): Shard(
            fields["epoch"],
            tuple(fields["members"]),
            tuple(fields["previous"]),
        )
        for number, fields in record["shards"].items()
    }
    _index_shards(membership)


APPLIERS = {
    "entry_up": _apply_entry_up,
    "entry_down": _apply_entry_down,
    "shards": _apply_shards,
    "snapshot": _apply_snapshot,
}


def apply(membership: Membership, offset: int, text: str) -> None:
    """Applies one record; ignores records that were applied before."""
    if offset <= membership.offset:
        return
    record = json.loads(text)
    APPLIERS[record["kind"]](membership, offset, record)
    membership.offset = offset


def shard_of(job: JobRef, count: int) -> int:
    """Returns the shard of the witness table that holds a job's key."""
    name = f"{job.organisation}/{job.key}"
    return xxhash.xxh3_64_intdigest(name.encode()) % count


def majority(size: int) -> int:
    """Returns how many of `size` members form a majority."""
    return size // 2 + 1


def is_fenced(shard: Shard, adopted: set[str]) -> bool:
    """Whether the previous members can no longer form a majority.

    A member that has adopted the current epoch no longer answers under the
    previous one.

    Args:
        shard: The shard in its current epoch.
        adopted: Names of the agents known to have adopted that epoch.
    """
    if not shard.previous:
        return True
    blocking = len(shard.previous) - majority(len(shard.previous)) + 1
    return len(adopted.intersection(shard.previous)) >= blocking


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An agent that can be a witness.

    Attributes:
        name: The agent's name.
        zone: Its availability zone.
    """

    name: str
    zone: str


def _score(shard: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{shard}/{name}".encode())


def choose_members(
    shard: int, keep: list[Candidate], candidates: list[Candidate]
) -> tuple[str, ...]:
    """Returns the members of a shard, by rendezvous hashing.

    Args:
        shard: Number of the shard.
        keep: Current members that stay.
        candidates: All agents that can be members.

    Returns:
        Three names, in distinct availability zones as far as there are
        enough zones; one name if there are fewer than three candidates.
    """
    if len(candidates) < WITNESSES_PER_SHARD:
        best = keep or sorted(candidates, key=lambda c: _score(shard, c.name))
        return tuple(c.name for c in best[:1])
    chosen = list(keep)
    ranked = sorted(candidates, key=lambda c: _score(shard, c.name))
    while len(chosen) < WITNESSES_PER_SHARD:
        zones = {c.zone for c in chosen}
        names = {c.name for c in chosen}
        remaining = [c for c in ranked if c.name not in names]
        in_other_zones = [c for c in remaining if c.zone not in zones]
        chosen.append((in_other_zones or remaining)[0])
    return tuple(c.name for c in chosen)


def propose_shards(
    membership: Membership,
    count: int,
    candidates: list[Candidate],
    fenced: set[int],
) -> dict[int, tuple[str, ...]]:
    """Returns the new members of the shards whose members must change.

    At most one member of a shard changes at a time, and only after the
    previous epoch is fenced, so that any two majorities overlap.

    Args:
        membership: The current entries and shards.
        count: Number of shards to create if there is no witness table yet.
        candidates: Agents that can be witnesses.
        fenced: Numbers of the shards whose previous epoch is fenced.
    """
    count = membership.shard_count or count
    by_name = {c.name: c for c in candidates}
    changes = {}
    for number in range(count):
        shard = membership.shards.get(number)
        members = shard.members if shard else ()
        keep = [by_name[name] for name in members if name in by_name]
        required = (
            WITNESSES_PER_SHARD if len(candidates) >= WITNESSES_PER_SHARD else 1
        )
        if len(keep) >= required or not candidates:
            continue
        if shard and number not in fenced:
            continue
        if (
            len(members) == WITNESSES_PER_SHARD
            and len(keep) < WITNESSES_PER_SHARD - 1
        ):
            # More than one member is unfit: only one is replaced now.
            unfit = [Candidate(n, "") for n in members if n not in by_name]
            keep = keep + unfit[: WITNESSES_PER_SHARD - 1 - len(keep)]
        chosen = choose_members(number, keep, candidates)
        if set(chosen) != set(members):
            changes[number] = chosen
    return changes
