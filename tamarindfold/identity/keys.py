"""API keys: made from the system's CSPRNG, shown once, kept only as keyed hashes.

A key reads tfk_ID_SECRET_CHECK in Crockford's base 32: 64 bits of name, 130 of secret, 30 of checksum. The
checksum lets a mistyped key be refused without a look-up; it protects nothing.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
import zlib

ALPHABET = "0123456789abcdefghjkmnpqrstvwxyz"
PREFIX = "tfk_"
ID_CHARS, SECRET_CHARS, CHECK_CHARS = 13, 26, 6
DIGEST_BYTES = 16
_KEY = re.compile(rf"tfk_([{ALPHABET}]{{13}})_([{ALPHABET}]{{26}})_([{ALPHABET}]{{6}})")
_VALUES = {char: i for i, char in enumerate(ALPHABET)}


class BadKey(ValueError):
    """A text that is no key: malformed or mistyped."""


def _letters(number: int, count: int) -> str:
    return "".join(ALPHABET[number >> 5 * i & 31] for i in reversed(range(count)))


def _number(text: str) -> int:
    number = 0
    for char in text:
        number = number << 5 | _VALUES[char]
    return number


def _check(body: str) -> str:
    return _letters(zlib.crc32(body.encode()) & 0x3FFFFFFF, CHECK_CHARS)


def make() -> tuple[int, str]:
    """A new key: its 64-bit name and the text to show once."""
    name = secrets.randbits(64)
    body = f"{PREFIX}{_letters(name, ID_CHARS)}_{_letters(secrets.randbits(5 * SECRET_CHARS), SECRET_CHARS)}"
    return name, f"{body}_{_check(body)}"


def looks_like_key(text: str) -> bool:
    """Whether a bearer token is meant as one of our keys."""
    return text.startswith(PREFIX)


def read(text: str) -> tuple[int, str]:
    """Name and secret of a key; BadKey where it is malformed or mistyped."""
    found = _KEY.fullmatch(text)
    if found is None:
        raise BadKey("not a key")
    body = text[: -CHECK_CHARS - 1]
    if not hmac.compare_digest(_check(body), found[3]):
        raise BadKey("mistyped: the checksum does not fit")
    name = _number(found[1])
    if name >= 1 << 64:
        raise BadKey("not a key")
    return name, found[2]


def label(name: int) -> str:
    """How a key is called in lists and logs: its name, never its secret."""
    return PREFIX + _letters(name, ID_CHARS)


def digest(pepper: bytes, secret: str) -> bytes:
    """What is kept of a secret: a hash under the installation's own key."""
    return hashlib.blake2b(secret.encode(), key=pepper[:64], digest_size=DIGEST_BYTES).digest()


def client_name(client_id: str) -> tuple[int, bytes]:
    """Name and digest of an OAuth client, as introspection calls it. The digest tells two clients apart that
    share the 64 bits."""
    whole = hashlib.blake2b(b"client:" + client_id.encode(), digest_size=8 + DIGEST_BYTES).digest()
    return int.from_bytes(whole[:8], "big"), whole[8:]
