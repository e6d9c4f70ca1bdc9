"""Decides when to fetch an access token: before the old one expires, and one fetch at a time.

The grant is client credentials (RFC 6749 section 4.4). No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from tamarindfold.client.jitter import Draw, next_pause

RENEW_AGE_RATIO = 0.8  # of a token's lifetime
RENEW_JITTER = 0.25  # of the renewal age: subtracted at random, so that clients do not renew together
EXPIRY_MARGIN_MS = 2_000.0  # a token this close to its expiry is not used: it could expire in transit
PAUSE_BASE_MS = 200.0
PAUSE_MAX_MS = 10_000.0
DEFAULT_LIFETIME_MS = 60_000.0  # without expires_in, which is optional (RFC 6749 section 5.1)


@dataclass(frozen=True, slots=True)
class Use:
    """Use this token. renew: also fetch a new one in the background."""

    token: str
    renew: bool = False


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch a token now; no other fetch is running."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Wait until this time, or without a time until the running fetch has ended."""

    until_ms: float | None = None


class TokenCache:
    """The access token of one client."""

    def __init__(self, draw: Draw) -> None:
        self.draw = draw
        self.token = ""
        self.renew_at = self.expires_at = self.next_fetch = self.pause_ms = 0.0
        self.fetching = False

    def need(self, now: float) -> Use | Fetch | Hold:
        """What a try that needs a token does."""
        usable = self.token and now < self.expires_at - EXPIRY_MARGIN_MS
        if usable and now < self.renew_at:
            return Use(self.token)
        if self.fetching:
            return Use(self.token) if usable else Hold()
        if now < self.next_fetch:
            return Use(self.token) if usable else Hold(self.next_fetch)
        self.fetching = True
        return Use(self.token, True) if usable else Fetch()

    def fetched(self, now: float, token: str, lifetime_ms: float | None) -> None:
        """A fetch succeeded. lifetime_ms: None if the endpoint did not state it."""
        lifetime = DEFAULT_LIFETIME_MS if lifetime_ms is None else lifetime_ms
        self.fetching, self.token, self.pause_ms, self.next_fetch = False, token, 0.0, 0.0
        self.expires_at = now + lifetime
        self.renew_at = now + lifetime * RENEW_AGE_RATIO * (1 - RENEW_JITTER * self.draw())

    def failed(self, now: float) -> None:
        """A fetch failed; the next one waits for a jittered pause."""
        self.fetching = False
        self.pause_ms = next_pause(self.pause_ms, PAUSE_BASE_MS, PAUSE_MAX_MS, self.draw)
        self.next_fetch = now + self.pause_ms

    def rejected(self, token: str) -> None:
        """A gateway rejected this token; ignored if the token has been replaced in the meantime."""
        if token == self.token:
            self.token = ""
