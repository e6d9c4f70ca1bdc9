"""Answers to the platform's clients: 200 is served, 429 and 503 are refusals, all else has failed."""

from __future__ import annotations

from tamarindfold.http1 import write

_NOT_REFUSALS = {429: 400, 503: 500}  # a request that was not taken must not be told that it was refused
READY = b"ready\n"


def ready(why_not: str, keep_alive: bool) -> bytes:
    """Whether requests can be decided."""
    return write.response(503 if why_not else 200, (), why_not.encode() or READY, keep_alive)


def rejected(status: int, detail: str, keep_alive: bool) -> bytes:
    """A request that could not be taken."""
    return write.response(_NOT_REFUSALS.get(status, status), (), detail.encode() + b"\n", keep_alive)


def served(body: bytes, keep_alive: bool) -> bytes:
    """A backend's answer."""
    return write.response(200, (), body, keep_alive)


def refused(over_quota: bool, retry_after_ms: float | None, keep_alive: bool) -> bytes:
    """A refusal; whole seconds would undo the spacing of the times to come back, so they are decimal."""
    after = () if retry_after_ms is None else ((b"retry-after", b"%.3f" % (max(0.0, retry_after_ms) / 1000)),)
    return write.response(429 if over_quota else 503, after, b"", keep_alive)


def failed(late: bool, keep_alive: bool) -> bytes:
    """No promise about what ran."""
    return write.response(504 if late else 502, (), b"", keep_alive)
