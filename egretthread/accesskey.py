"""Access tokens, `<organisation>.<secret>`, and their salted hashes.

The secret has 256 random bits, so it cannot be guessed, however cheap a guess
is. A slow hash such as scrypt protects secrets that are chosen by people; here
it would only add tens of milliseconds to each of thousands of requests per
second. The salt makes the digests of equal secrets differ.
"""

import hashlib
import hmac
import secrets

from egretthread import config

SECRET_BYTES = 32
SALT_BYTES = 16
DIGEST_BYTES = 32
MAX_TOKEN_CHARACTERS = 256
MAX_VALID_KEYS = 2

# Compared in place of missing keys, so that every check costs the same.
ABSENT_KEY = config.AccessKey("", "00" * SALT_BYTES, "")


def make(organisation: str, name: str) -> tuple[str, config.AccessKey]:
    """Makes a new access token.

    Args:
        organisation: Name of the organisation it is for.
        name: Identifies the key when keys are rotated.

    Returns:
        The token, which is not stored, and the key for the configuration.
    """
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    key = config.AccessKey(name, salt, digest(salt, secret))
    return f"{organisation}.{secret}", key


def verify(
    configuration: config.Configuration, token: str
) -> config.Organisation | None:
    """Returns the organisation that a token belongs to, or None.

    The number of hashes is the same for unknown organisations, wrong secrets
    and valid tokens.
    """
    if len(token) > MAX_TOKEN_CHARACTERS:
        return None
    name, _, secret = token.rpartition(".")
    organisation = configuration.organisation(name)
    keys = organisation.access_keys if organisation else ()
    padding = (ABSENT_KEY,) * (MAX_VALID_KEYS - len(keys))
    matches = [matches_key(key, secret) for key in keys + padding]
    return organisation if any(matches) else None


def matches_key(key: config.AccessKey, secret: str) -> bool:
    """Whether a secret matches the key; compares in constant time."""
    return hmac.compare_digest(digest(key.salt, secret), key.digest)


def digest(salt: str, secret: str) -> str:
    """Returns the hexadecimal digest of a secret and a salt."""
    return hashlib.blake2b(
        secret.encode("utf-8", "replace"),
        salt=bytes.fromhex(salt),
        digest_size=DIGEST_BYTES,
    ).hexdigest()
