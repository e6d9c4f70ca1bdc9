"""A whole day: fleet up, load and events, fleet down, verdict."""

from __future__ import annotations

import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from tamarindfold.rehearsal import page, report
from tamarindfold.rehearsal.day import Day, Event
from tamarindfold.rehearsal.evidence import collect
from tamarindfold.rehearsal.fleet import RunningFleet
from tamarindfold.rehearsal.judge import judge
from tamarindfold.rehearsal.load import Load


def play(day: Day, out: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Run the day; the report, which also stands in report.json. Leaves no process behind."""
    out.mkdir(parents=True, exist_ok=True)
    for old in (out / "ledgers").glob("*.jsonl"):
        old.unlink()
    shutil.rmtree(out / "state", ignore_errors=True)
    fleet = RunningFleet(day, out)
    fleet.gateway_config(0)  # a bad configuration is told before anything is started
    try:
        fleet.start()
        say(
            f"{len(fleet.gateways)} gateways, {len(fleet.servers)} servers up; "
            f"{day.duration_ms / 1000:g} s to play"
        )
        load = Load(day, fleet)
        began = fleet.clock()

        def happen(event: Event) -> None:
            whom = event.target or event.customers or "all"
            fault = event.fault.kind if event.fault else ""
            say(f"{(fleet.clock() - began) / 1000:5.1f} s  {event.do} {whom} {fault}".rstrip())
            if event.do == "surge":
                load.surge(event)
            else:
                fleet.happen(event)

        events = [gevent.spawn_later(event.at_ms / 1000, happen, event) for event in day.events]
        load.run()
        gevent.joinall(events, raise_error=True)
        exits = fleet.stop()
        fleet.ledger.record(fleet.clock(), "end", exits=exits, not_sent=load.skipped)
    finally:
        fleet.stop()
    return verdict(day, out)


def verdict(day: Day, out: Path) -> dict[str, Any]:
    """Judge the ledgers that a run left, and write report.json; ValueError where the run did not end."""
    evidence = collect(day, out)
    end = next((entry for entry in evidence.run if entry["what"] == "end"), None)
    if end is None:
        raise ValueError("the run did not come to its end")
    made = report.make(day, evidence, judge(day, evidence), end["exits"], end["not_sent"])
    (out / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(made), indent=2))
    (out / "report.html").write_text(page.make(made, evidence), encoding="utf-8")
    return made
