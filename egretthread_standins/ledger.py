"""Generated ledger of declared accounts, matched with statement lines."""

import dataclasses
import functools
import random
import re

FIRST_NAMES = (
    "aoife",
    "brendan",
    "ciara",
    "declan",
    "eimear",
    "fergal",
    "grainne",
    "hugh",
    "ita",
    "joan",
    "kieran",
    "liam",
    "maeve",
    "niall",
    "orla",
    "padraig",
    "roisin",
    "sean",
    "tomas",
    "una",
)
LAST_NAMES = (
    "byrne",
    "carroll",
    "doyle",
    "egan",
    "farrell",
    "gallagher",
    "healy",
    "kavanagh",
    "lynch",
    "moran",
    "nolan",
    "obrien",
    "power",
    "quinn",
    "ryan",
    "sheehan",
    "tobin",
    "walsh",
)
ACCOUNTS = 2000
REFERENCE_PATTERN = re.compile(r"[a-z]{2}\d{6}")
WORD_PATTERN = re.compile(r"[a-z0-9]+")
REFERENCE_SCORE = 10


@dataclasses.dataclass(frozen=True)
class Account:
    """A declared account.

    Attributes:
        reference: Two letters and six digits.
        holder: First and last name.
    """

    reference: str
    holder: str


@dataclasses.dataclass(frozen=True)
class Match:
    """The account that best matches a statement line.

    Attributes:
        account: Reference of the account; empty when none matches.
        score: Number of matching names, plus `REFERENCE_SCORE` when the
            reference matches; 0 when no account matches.
    """

    account: str
    score: int


@functools.cache
def make_ledger(seed: int) -> tuple[Account, ...]:
    """Returns the declared accounts generated from a seed."""
    rng = random.Random(seed)
    numbers = rng.sample(range(100_000, 1_000_000), ACCOUNTS)
    return tuple(
        Account(
            reference=f"ie{number}",
            holder=f"{rng.choice(FIRST_NAMES)} {rng.choice(LAST_NAMES)}",
        )
        for number in numbers
    )


def make_line(seed: int, number: int) -> str:
    """Returns a statement line of the account with a number."""
    account = make_ledger(seed)[number % ACCOUNTS]
    rng = random.Random(f"{seed}/{number}")
    cents = rng.randrange(100, 1_000_000)
    holder = account.holder.upper()
    reference = account.reference.upper()
    return f"SEPA CT {holder} REF {reference} EUR {cents / 100:.2f}"


def match_line(seed: int, line: str) -> Match:
    """Returns the account that best matches a statement line."""
    text = line.lower()
    tokens = frozenset(WORD_PATTERN.findall(text))
    references = frozenset(REFERENCE_PATTERN.findall(text))
    best = Match("", 0)
    for account in make_ledger(seed):
        score = sum(name in tokens for name in account.holder.split())
        if account.reference in references:
            score += REFERENCE_SCORE
        if score > best.score:
            best = Match(account.reference, score)
    return best
