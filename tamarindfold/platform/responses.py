"""Responses to the platform's clients: 200 is served, 429 and 503 are refusals, all others are failures."""

from __future__ import annotations

from tamarindfold.http1 import write

# a request that was rejected before admission must not be mistaken for a refused one
_NON_REFUSAL_STATUS = {429: 400, 503: 500}
READY_BODY = b"ready\n"


def ready(not_ready_reason: str, keep_alive: bool) -> bytes:
    """Readiness: 200 if the reason is empty, else 503 with the reason."""
    return write.response(
        503 if not_ready_reason else 200, (), not_ready_reason.encode() or READY_BODY, keep_alive
    )


def rejected(status: int, detail: str, keep_alive: bool) -> bytes:
    """The request was invalid or could not be read."""
    return write.response(_NON_REFUSAL_STATUS.get(status, status), (), detail.encode() + b"\n", keep_alive)


def served(body: bytes, keep_alive: bool) -> bytes:
    """A backend's response body."""
    return write.response(200, (), body, keep_alive)


def refused(over_quota: bool, retry_after_ms: float | None, keep_alive: bool) -> bytes:
    """A refusal; retry-after has decimals, since whole seconds would make spaced-out retries coincide."""
    after = () if retry_after_ms is None else ((b"retry-after", b"%.3f" % (max(0.0, retry_after_ms) / 1000)),)
    return write.response(429 if over_quota else 503, after, b"", keep_alive)


def failed(late: bool, keep_alive: bool) -> bytes:
    """The request failed and may have run on a backend; late: whether its deadline passed."""
    return write.response(504 if late else 502, (), b"", keep_alive)
