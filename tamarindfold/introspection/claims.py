"""Parsing of introspection answers, and validation of their claims (RFC 7662 section 2.2)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec


class BadAnswer(ValueError):
    """An invalid introspection answer: not a JSON object, or a member of the wrong type."""


@dataclass(frozen=True, slots=True)
class Claims:
    """The claims of an active token. Times are milliseconds since the epoch."""

    expires_ms: float = math.inf
    not_before_ms: float = 0.0
    scopes: frozenset[str] = frozenset()
    client_id: str = ""
    subject: str = ""
    audiences: tuple[str, ...] = ()
    issuer: str = ""
    extra: tuple[tuple[str, str], ...] = ()

    def text_claim(self, claim: str) -> str:
        """A string or integer claim as text; empty if there is none."""
        if claim == "sub":
            return self.subject
        if claim == "client_id":
            return self.client_id
        return dict(self.extra).get(claim, "")


def _string(answer: dict[str, Any], name: str) -> str:
    value = answer.get(name, "")
    if not isinstance(value, str):
        raise BadAnswer(f"{name} is not a string")
    return value


def _time_ms(answer: dict[str, Any], name: str, absent: float) -> float:
    value = answer.get(name)
    if value is None:
        return absent
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise BadAnswer(f"{name} is not a number")
    return value * 1000.0


def parse_answer(body: bytes) -> Claims | None:
    """The claims of an active token, or None if it is inactive. Raises BadAnswer if the body is invalid."""
    try:
        answer = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadAnswer(f"invalid JSON: {error}") from None
    if not isinstance(answer, dict):
        raise BadAnswer("not a JSON object")
    active = answer.get("active")
    if not isinstance(active, bool):  # the string "true" is not accepted: only the JSON literal counts
        raise BadAnswer("active is neither true nor false")
    if not active:
        return None
    token_type = _string(answer, "token_type")
    if token_type and token_type.lower() != "bearer":
        return None
    audiences = answer.get("aud", [])
    if isinstance(audiences, str):
        audiences = [audiences]
    if not isinstance(audiences, list) or not all(isinstance(a, str) for a in audiences):
        raise BadAnswer("aud is neither a string nor a list of strings")
    extra = tuple(
        (name, str(value))
        for name, value in answer.items()
        if isinstance(value, str | int) and not isinstance(value, bool)
    )
    return Claims(
        _time_ms(answer, "exp", math.inf),
        _time_ms(answer, "nbf", 0.0),
        frozenset(_string(answer, "scope").split()),
        _string(answer, "client_id"),
        _string(answer, "sub"),
        tuple(audiences),
        _string(answer, "iss"),
        extra,
    )


def validity_error(claims: Claims, now_ms: float, audience: str, issuer: str, leeway_ms: float) -> str:
    """Why the token is not valid for this gateway at this time; empty if it is valid."""
    if now_ms >= claims.expires_ms:
        return "the token has expired"
    if now_ms + leeway_ms < claims.not_before_ms:
        return "the token is not valid yet"
    if audience and audience not in claims.audiences:
        return "the token is for another audience"
    if issuer and claims.issuer != issuer:
        return "the token is from another issuer"
    return ""
