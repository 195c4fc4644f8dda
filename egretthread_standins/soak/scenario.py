"""Disturbances of one soak run, drawn from its seed."""

import dataclasses
import random

# Share of the disturbances around which the configuration is changed, from
# this long before their begin to this long after their end.
CHANGE_SHARE = 0.6
CHANGE_MARGIN_S = 1.0
# Mean intervals between steps, of which a scenario has one set: disturbances
# overlap, come in series, or come alone with calm times in between.
GAPS_S = ((0.1, 0.4, 1.0, 4.0), (0.1, 0.1, 6.0), (2.0, 6.0))
CONFIGURE = "configure"


@dataclasses.dataclass(frozen=True)
class Kind:
    """What a disturbance does.

    Attributes:
        name: Name of the disturbance.
        role: Which machines it concerns: `entry`, `agent`, `machine` or `all`.
        seconds: Shortest and longest duration.
        weight: How often it is drawn.
        gap_s: Mean interval between such steps, which are drawn apart from
            those of other kinds; 0 if it is drawn among them.
    """

    name: str
    role: str
    seconds: tuple[float, float] = (0.0, 0.0)
    weight: float = 1.0
    gap_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Step:
    """One disturbance of a scenario.

    Attributes:
        at_s: Seconds from the begin of the scenario.
        kind: Name of the kind.
        targets: Names of the machines.
        duration_s: How long it lasts.
        seed: Seed of the draws within the disturbance.
    """

    at_s: float
    kind: str
    targets: tuple[str, ...]
    duration_s: float
    seed: int


def draw(
    seed: int,
    seconds: float,
    kinds: list[Kind],
    entries: list[str],
    agents: list[str],
) -> list[Step]:
    """Draws the steps of a scenario in the order of their times."""
    rng = random.Random(seed)
    gaps_s = rng.choice(GAPS_S)
    common = [kind for kind in kinds if not kind.gap_s]
    steps = []
    at_s = 0.5
    while at_s < seconds:
        (kind,) = rng.choices(common, [kind.weight for kind in common])
        targets = _draw_targets(rng, kind.role, entries, agents)
        duration_s = min(rng.uniform(*kind.seconds), seconds - at_s)
        steps.append(
            Step(at_s, kind.name, targets, duration_s, rng.getrandbits(32))
        )
        if rng.random() < CHANGE_SHARE:
            change_s = rng.uniform(
                at_s - CHANGE_MARGIN_S, at_s + duration_s + CHANGE_MARGIN_S
            )
            steps.append(
                Step(change_s, CONFIGURE, (), 0.0, rng.getrandbits(32))
            )
        at_s += rng.expovariate(1 / rng.choice(gaps_s))
    for kind in kinds:
        if kind.gap_s:
            steps += _draw_apart(seed, seconds, kind, entries, agents)
    return sorted(steps, key=lambda step: step.at_s)


def _draw_apart(
    seed: int,
    seconds: float,
    kind: Kind,
    entries: list[str],
    agents: list[str],
) -> list[Step]:
    """Draws the steps of one kind without changing other draws of a seed."""
    rng = random.Random(f"{seed} {kind.name}")
    steps = []
    at_s = rng.expovariate(1 / kind.gap_s)
    while at_s < seconds:
        targets = _draw_targets(rng, kind.role, entries, agents)
        duration_s = min(rng.uniform(*kind.seconds), seconds - at_s)
        steps.append(
            Step(at_s, kind.name, targets, duration_s, rng.getrandbits(32))
        )
        at_s += duration_s + rng.expovariate(1 / kind.gap_s)
    return steps


def _draw_targets(
    rng: random.Random, role: str, entries: list[str], agents: list[str]
) -> tuple[str, ...]:
    pool = {
        "entry": entries,
        "agent": agents,
        "machine": entries + agents,
        "all": entries + agents,
    }[role]
    if role == "all":
        return tuple(pool)
    count = rng.choice((1, 1, 1, 2, max(1, len(pool) // 2), len(pool)))
    return tuple(rng.sample(pool, min(count, len(pool))))
