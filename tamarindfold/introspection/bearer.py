"""Bearer tokens in requests, and the challenges that reject invalid ones (RFC 6750)."""

from __future__ import annotations

import hashlib
import re

_B64TOKEN = re.compile(rb"[A-Za-z0-9\-._~+/]+=*")  # RFC 6750 section 2.1
MAX_TOKEN_BYTES = 4096


class BadCredentials(ValueError):
    """A malformed Authorization header of the Bearer scheme."""


def parse_authorization(header: bytes | None) -> bytes | None:
    """The bearer token of an Authorization header; None without a header or with another scheme.

    Raises BadCredentials if the token is malformed.
    """
    if header is None:
        return None
    scheme, _, rest = header.partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    value = rest.strip(b" ")
    if len(value) > MAX_TOKEN_BYTES or not _B64TOKEN.fullmatch(value):
        raise BadCredentials("the bearer token is malformed")
    return value


def digest(key: bytes, value: bytes) -> bytes:
    """A keyed hash that identifies a token in caches; useless without this process's key."""
    return hashlib.blake2b(value, key=key, digest_size=20).digest()


def challenge(realm: str, error: str = "", description: str = "", scope: str = "") -> bytes:
    """A WWW-Authenticate value (RFC 6750 section 3); without credentials it carries no error code."""
    parts = [f'realm="{realm}"']
    if error:
        parts.append(f'error="{error}"')
        if description:
            parts.append(f'error_description="{description}"')
    if scope:
        parts.append(f'scope="{scope}"')
    return f"Bearer {', '.join(parts)}".encode()
