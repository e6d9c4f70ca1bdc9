"""API keys: generated from the system's CSPRNG, shown once and stored only as keyed hashes.

A key has the form tfk_ID_SECRET_CHECK in Crockford's base 32: a 64-bit id, a 130-bit secret and a 30-bit
checksum. The checksum lets a mistyped key be refused without a look-up; it is no protection against forgery.
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
    """A text that is malformed or mistyped as an API key."""


def _encode_base32(number: int, count: int) -> str:
    return "".join(ALPHABET[number >> 5 * i & 31] for i in reversed(range(count)))


def _decode_base32(text: str) -> int:
    number = 0
    for char in text:
        number = number << 5 | _VALUES[char]
    return number


def _checksum(body: str) -> str:
    return _encode_base32(zlib.crc32(body.encode()) & 0x3FFFFFFF, CHECK_CHARS)


def generate() -> tuple[int, str]:
    """Return a new key: its 64-bit id, and the text to show to its owner once."""
    key_id = secrets.randbits(64)
    secret = _encode_base32(secrets.randbits(5 * SECRET_CHARS), SECRET_CHARS)
    body = f"{PREFIX}{_encode_base32(key_id, ID_CHARS)}_{secret}"
    return key_id, f"{body}_{_checksum(body)}"


def looks_like_key(text: str) -> bool:
    """Whether a bearer token is meant as an API key of this gateway."""
    return text.startswith(PREFIX)


def parse(text: str) -> tuple[int, str]:
    """Return id and secret of a key; BadKey where it is malformed or mistyped."""
    found = _KEY.fullmatch(text)
    if found is None:
        raise BadKey("not a key")
    body = text[: -CHECK_CHARS - 1]
    if not hmac.compare_digest(_checksum(body), found[3]):
        raise BadKey("mistyped: the checksum does not fit")
    key_id = _decode_base32(found[1])
    if key_id >= 1 << 64:
        raise BadKey("not a key")
    return key_id, found[2]


def label(key_id: int) -> str:
    """Return the name of a key in lists and logs, which contains its id but not its secret."""
    return PREFIX + _encode_base32(key_id, ID_CHARS)


def digest(pepper: bytes, secret: str) -> bytes:
    """Return the stored hash of a secret, keyed with the installation's pepper."""
    return hashlib.blake2b(secret.encode(), key=pepper[:64], digest_size=DIGEST_BYTES).digest()


def hash_client_id(client_id: str) -> tuple[int, bytes]:
    """Return credential id and digest of an OAuth client from the client id that introspection reports.

    The digest tells apart two clients whose 64-bit credential ids collide.
    """
    hashed = hashlib.blake2b(b"client:" + client_id.encode(), digest_size=8 + DIGEST_BYTES).digest()
    return int.from_bytes(hashed[:8], "big"), hashed[8:]
