"""Keys of client accounts and tokens of teams, and their digests.

A key has the form ``cw_<key id>_<secret>`` and a team token the form
``cwt_<secret>``. The secrets have 256 random bits, so a plain SHA-256 digest cannot
be reversed by guessing. Only digests are stored.
"""

import hashlib
import hmac
import re
import secrets
from typing import NamedTuple

KEY_ID_BYTES = 8
SECRET_BYTES = 32
KEY_PATTERN = re.compile(r"cw_([0-9a-f]{16})_[0-9a-f]{64}")
# Matches more than the exact form: also truncated, upper-case and URL-encoded keys,
# and keys that were redacted before.
KEY_IN_TEXT_PATTERN = re.compile(
    r"cw(?P<team>t?)(?:_|%5f)(?P<rest>[0-9a-f](?:[0-9a-f_]|%5f)*)(?:\[redacted\])?",
    re.IGNORECASE,
)
KEY_ID_IN_TEXT_PATTERN = re.compile(r"([0-9a-f]{16})(?:_|%5f|\Z)", re.IGNORECASE)
REDACTED = "[redacted]"


class IssuedKey(NamedTuple):
    """A new key, whose text is shown once and never stored.

    Attributes:
        key_id: Public id of the key, 16 hexadecimal digits.
        secret_text: The whole text of the key.
    """

    key_id: str
    secret_text: str

    def __repr__(self) -> str:
        return f"IssuedKey(key_id={self.key_id!r}, secret_text={REDACTED!r})"


def issue_key() -> IssuedKey:
    """Generate a new key from the operating system's random source."""
    key_id = secrets.token_hex(KEY_ID_BYTES)
    return IssuedKey(key_id, f"cw_{key_id}_{secrets.token_hex(SECRET_BYTES)}")


def issue_token() -> str:
    """Generate a new team token from the operating system's random source."""
    return f"cwt_{secrets.token_hex(SECRET_BYTES)}"


def sha256_hex(key: str) -> str:
    """Return the SHA-256 digest of a key or token, in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def matches_digest(key: str, expected_digest: str) -> bool:
    """Compare a key or token with a digest in constant time.

    An empty digest matches nothing.
    """
    if not expected_digest:
        return False
    return hmac.compare_digest(sha256_hex(key).encode(), expected_digest.encode())


def parse_key_id(key: str) -> str | None:
    """Return the id in the text of a key, or None if the text is not a key."""
    match = KEY_PATTERN.fullmatch(key)
    return match.group(1) if match else None


def redact(text: str) -> str:
    """Remove the secrets of keys and tokens from a text.

    The id of a key is kept, because log lines need it and it is not secret.
    """
    return KEY_IN_TEXT_PATTERN.sub(redact_match, text)


def redact_match(match: re.Match[str]) -> str:
    """Return the replacement of one key or token in a text."""
    if match.group("team"):
        return f"cwt_{REDACTED}"
    key_id = KEY_ID_IN_TEXT_PATTERN.match(match.group("rest"))
    return f"cw_{key_id.group(1)}_{REDACTED}" if key_id else f"cw_{REDACTED}"
