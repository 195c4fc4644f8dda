"""The entries and the witness table, as the members stream tells them."""

import dataclasses
import json

import xxhash

from egretthread.jobkey import JobRef

WITNESSES = 3


@dataclasses.dataclass(frozen=True)
class EntryMember:
    """One entry instance that has announced itself.

    Attributes:
        name: Its name.
        incarnation: Its start time in Unix milliseconds.
        address: Where other processes reach it, `host:port`.
    """

    name: str
    incarnation: int
    address: str


@dataclasses.dataclass(frozen=True)
class Shard:
    """One shard of the witness table.

    Attributes:
        epoch: Offset of the record that last changed it.
        members: Names of its agents, 3 or, in tiny set-ups, 1.
        previous: Its members in the epoch before; empty at first.
    """

    epoch: int
    members: tuple[str, ...]
    previous: tuple[str, ...] = ()


@dataclasses.dataclass
class Membership:
    """What the members stream of one region says up to an offset.

    Attributes:
        offset: Offset of the last record applied; -1 for none.
        entries: Entry members by name.
        shards: Shards by number.
        shard_count: Number of shards once the table exists.
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
    """Returns the record by which an entry announces itself."""
    return json.dumps({"kind": "entry_up", **dataclasses.asdict(member)})


def entry_down_record(member: EntryMember) -> str:
    """Returns the record that removes one incarnation of an entry."""
    return json.dumps({"kind": "entry_down", **dataclasses.asdict(member)})


def shards_record(count: int, changes: dict[int, tuple[str, ...]]) -> str:
    """Returns the record that gives shards other members."""
    return json.dumps({"kind": "shards", "count": count, "changes": changes})


def snapshot_record(membership: Membership) -> str:
    """Returns a record that holds all of the membership."""
    return json.dumps(
        {
            "kind": "snapshot",
            "entries": [
                dataclasses.asdict(e) for e in membership.entries.values()
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
        old = membership.shards.get(int(number))
        previous = old.members if old else ()
        membership.shards[int(number)] = Shard(offset, tuple(members), previous)
    _index(membership)


def _index(membership: Membership) -> None:
    """Works out the shards of each agent."""
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
    _index(membership)


APPLIERS = {
    "entry_up": _apply_entry_up,
    "entry_down": _apply_entry_down,
    "shards": _apply_shards,
    "snapshot": _apply_snapshot,
}


def apply(membership: Membership, offset: int, text: str) -> None:
    """Applies one record; offsets already seen change nothing."""
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
    """Returns how many of `size` members are a majority."""
    return size // 2 + 1


def is_fenced(shard: Shard, adopted: set[str]) -> bool:
    """Whether no majority of the previous members can still answer.

    Args:
        shard: The shard in its present epoch.
        adopted: Names of the agents known to have adopted that epoch.
    """
    if not shard.previous:
        return True
    blocking = len(shard.previous) - majority(len(shard.previous)) + 1
    return len(adopted.intersection(shard.previous)) >= blocking


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An agent that may be a witness.

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
        keep: Present members that stay.
        candidates: All agents that may be members.

    Returns:
        Three names, in distinct availability zones while there are enough;
        one name when there are fewer than three candidates.
    """
    if len(candidates) < WITNESSES:
        best = keep or sorted(candidates, key=lambda c: _score(shard, c.name))
        return tuple(c.name for c in best[:1])
    chosen = list(keep)
    ranked = sorted(candidates, key=lambda c: _score(shard, c.name))
    while len(chosen) < WITNESSES:
        zones = {c.zone for c in chosen}
        names = {c.name for c in chosen}
        rest = [c for c in ranked if c.name not in names]
        elsewhere = [c for c in rest if c.zone not in zones]
        chosen.append((elsewhere or rest)[0])
    return tuple(c.name for c in chosen)


def propose_shards(
    membership: Membership,
    count: int,
    candidates: list[Candidate],
    fenced: set[int],
) -> dict[int, tuple[str, ...]]:
    """Returns the shards that need other members, with these.

    At most one member of a shard changes at a time, and only once the
    change before it is fenced off, so that two majorities always meet.

    Args:
        membership: The present entries and shards.
        count: Number of shards when there is no table yet.
        candidates: Agents fit to be witnesses.
        fenced: Numbers of the shards that are fenced.
    """
    count = membership.shard_count or count
    by_name = {c.name: c for c in candidates}
    changes = {}
    for number in range(count):
        shard = membership.shards.get(number)
        members = shard.members if shard else ()
        keep = [by_name[name] for name in members if name in by_name]
        wanted = WITNESSES if len(candidates) >= WITNESSES else 1
        if len(keep) >= wanted or not candidates:
            continue
        if shard and number not in fenced:
            continue
        if len(members) == WITNESSES and len(keep) < WITNESSES - 1:
            stay = [Candidate(n, "") for n in members if n not in by_name]
            keep = keep + stay[: WITNESSES - 1 - len(keep)]
        chosen = choose_members(number, keep, candidates)
        if set(chosen) != set(members):
            changes[number] = chosen
    return changes
