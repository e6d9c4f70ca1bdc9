"""The gateway's headers as a client writes and reads them (docs/operate-ingress.md). No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC
from email.utils import parsedate_to_datetime

MOST_WAIT_MS = 7 * 86_400_000.0  # a longer wait is nonsense or a date far off: as good as never
NO_WAIT_MS = 1_000.0  # a refusal that does not say how long


def wait_ms(headers: Mapping[str, str], wall_ms: float) -> float:
    """How long a refusal asks to stay away: our own header, else Retry-After (RFC 9110 section 10.2.3) in
    seconds or as a date, else NO_WAIT_MS. Names in lower case."""
    own = _count(headers.get("tamarind-retry-after-ms", ""), 1.0)
    if own is not None:
        return own
    text = headers.get("retry-after", "").strip()
    seconds = _count(text, 1000.0)
    if seconds is not None:
        return seconds
    try:
        date = parsedate_to_datetime(text)
    except ValueError:
        return NO_WAIT_MS
    if date.tzinfo is None:
        date = date.replace(tzinfo=UTC)
    return min(MOST_WAIT_MS, max(0.0, date.timestamp() * 1000 - wall_ms))


def _count(text: str, unit_ms: float) -> float | None:
    text = text.strip()
    if not text.isascii() or not text.isdigit():
        return None
    return MOST_WAIT_MS if len(text) > 12 else min(MOST_WAIT_MS, int(text) * unit_ms)


def headers(
    name: str, time_left_ms: float, retry: bool, units: float | None, key: str, token: str
) -> dict[str, str]:
    """The headers of one try."""
    out = {"tamarind-request": name, "tamarind-time-left": str(max(1, int(time_left_ms)))}
    if token:
        out["authorization"] = f"Bearer {token}"
    if units is not None:
        out["tamarind-units"] = f"{units:g}"
    if retry:
        out["tamarind-retry"] = "1"
    if key:
        out["idempotency-key"] = key
    return out
