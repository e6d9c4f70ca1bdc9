"""The gateway's headers as a client writes and reads them. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC
from email.utils import parsedate_to_datetime

MAX_WAIT_MS = 7 * 86_400_000.0  # longer waits are capped: they are invalid or a date in the far future
DEFAULT_WAIT_MS = 1_000.0  # for a refusal that does not state a wait
MAX_DIGITS = 12  # longer numbers exceed MAX_WAIT_MS in any case


def wait_ms(headers: Mapping[str, str], wall_ms: float) -> float:
    """How long a refusal asks the client to wait. Header names are in lower case.

    From tamarind-retry-after-ms, else from Retry-After (RFC 9110 section 10.2.3) in seconds or as a date,
    else DEFAULT_WAIT_MS.
    """
    from_own_header = _parse_count(headers.get("tamarind-retry-after-ms", ""), 1.0)
    if from_own_header is not None:
        return from_own_header
    text = headers.get("retry-after", "").strip()
    from_seconds = _parse_count(text, 1000.0)
    if from_seconds is not None:
        return from_seconds
    try:
        date = parsedate_to_datetime(text)
    except ValueError:
        return DEFAULT_WAIT_MS
    if date.tzinfo is None:
        date = date.replace(tzinfo=UTC)
    return min(MAX_WAIT_MS, max(0.0, date.timestamp() * 1000 - wall_ms))


def _parse_count(text: str, unit_ms: float) -> float | None:
    text = text.strip()
    if not text.isascii() or not text.isdigit():
        return None
    return MAX_WAIT_MS if len(text) > MAX_DIGITS else min(MAX_WAIT_MS, int(text) * unit_ms)


def headers(
    name: str, time_left_ms: float, retry: bool, units: float | None, key: str, token: str
) -> dict[str, str]:
    """The headers of one try."""
    fields = {"tamarind-request": name, "tamarind-time-left": str(max(1, int(time_left_ms)))}
    if token:
        fields["authorization"] = f"Bearer {token}"
    if units is not None:
        fields["tamarind-units"] = f"{units:g}"
    if retry:
        fields["tamarind-retry"] = "1"
    if key:
        fields["idempotency-key"] = key
    return fields
