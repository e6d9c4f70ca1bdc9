"""Reports on permitted requests: a JSON object, or one per line as log shippers send them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from tamarindfold.http1.requests import Rejected

MAX_LINES = 1_000
MAX_MEASURE = 1e9  # exclusive bound of elapsed_ms and units


@dataclass(frozen=True, slots=True)
class Report:
    """How a permitted request ended, from a proxy or its log shipper."""

    request: str
    status: int  # of the server's response; 0: no response
    elapsed_ms: float
    units: float = 0.0
    never_ran: bool = False  # nothing was written to the server, or it rejected the request unprocessed
    instance: int | None = None  # the instance that permitted it, from the permit's tamarind-instance header


_decoder = msgspec.json.Decoder(Report)


def parse_reports(body: bytes) -> list[Report]:
    """The reports of a body.

    Raises Rejected(400), naming the line, if any line is invalid, and Rejected(413) if there are too many.
    """
    lines = [line for line in body.split(b"\n") if line.strip()]
    if not lines:
        raise Rejected(400, "report: empty")
    if len(lines) > MAX_LINES:
        raise Rejected(413, f"report: over {MAX_LINES} lines")
    found = []
    for number, line in enumerate(lines, 1):
        try:
            report = _decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise Rejected(400, f"report: line {number}: {error}") from None
        if not (report.status == 0 or 100 <= report.status < 600):
            raise Rejected(400, f"report: line {number}: no such status: {report.status}")
        if not 0 <= report.elapsed_ms < MAX_MEASURE or not 0 <= report.units < MAX_MEASURE:
            raise Rejected(400, f"report: line {number}: elapsed_ms and units are numbers from 0")
        found.append(report)
    return found
