"""Reports of what became of permitted requests: a JSON object, or one a line as log shippers send. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from tamarindfold.http1.requests import Rejected

MOST_LINES = 1_000
MOST_MS = 1e9


@dataclass(frozen=True, slots=True)
class Report:
    """What a proxy, or its log shipper, says of a request that it let pass."""

    request: str
    status: int  # the server's; 0: it gave no answer
    elapsed_ms: float
    units: float = 0.0
    never_ran: bool = False  # nothing was written to the server, or it turned the request away unexamined
    instance: int | None = None  # which instance permitted it, as the permit's tamarind-instance told


_decoder = msgspec.json.Decoder(Report)


def read(body: bytes) -> list[Report]:
    """The reports of a body; Rejected(400) names the line where one is none, and then none is taken."""
    lines = [line for line in body.split(b"\n") if line.strip()]
    if not lines:
        raise Rejected(400, "report: empty")
    if len(lines) > MOST_LINES:
        raise Rejected(413, f"report: over {MOST_LINES} lines")
    found = []
    for number, line in enumerate(lines, 1):
        try:
            report = _decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise Rejected(400, f"report: line {number}: {error}") from None
        if not (report.status == 0 or 100 <= report.status < 600):
            raise Rejected(400, f"report: line {number}: no such status: {report.status}")
        if not 0 <= report.elapsed_ms < MOST_MS or not 0 <= report.units < MOST_MS:
            raise Rejected(400, f"report: line {number}: elapsed_ms and units are numbers from 0")
        found.append(report)
    return found
