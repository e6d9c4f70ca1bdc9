"""A complete run: starts the fleet, drives load and events, stops the fleet, and judges what was recorded."""

from __future__ import annotations

import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec

from tamarindfold.rehearsal import html_report, report
from tamarindfold.rehearsal.fleet import RunningFleet
from tamarindfold.rehearsal.judge import judge
from tamarindfold.rehearsal.load import LoadGenerator
from tamarindfold.rehearsal.observations import load_observations
from tamarindfold.rehearsal.scenario import Scenario, ScenarioEvent


def run_scenario(scenario: Scenario, out: Path, print_line: Callable[[str], None]) -> dict[str, Any]:
    """Run a scenario and return its report, which is also written to report.json. All processes are ended."""
    out.mkdir(parents=True, exist_ok=True)
    for old in (out / "ledgers").glob("*.jsonl"):
        old.unlink()
    shutil.rmtree(out / "state", ignore_errors=True)
    fleet = RunningFleet(scenario, out)
    fleet.gateway_config(0)  # reports an invalid configuration before any process is started
    try:
        fleet.start()
        print_line(
            f"{len(fleet.gateways)} gateways, {len(fleet.servers)} servers up; "
            f"running for {scenario.duration_ms / 1000:g} s"
        )
        load = LoadGenerator(scenario, fleet)
        started_at = fleet.clock()

        def apply_event(event: ScenarioEvent) -> None:
            target = event.target or event.customers or "all"
            fault = event.fault.kind if event.fault else ""
            print_line(f"{(fleet.clock() - started_at) / 1000:5.1f} s  {event.do} {target} {fault}".rstrip())
            if event.do == "surge":
                load.surge(event)
            else:
                fleet.apply_event(event)

        events = [gevent.spawn_later(event.at_ms / 1000, apply_event, event) for event in scenario.events]
        load.run()
        gevent.joinall(events, raise_error=True)
        exits = fleet.stop()
        fleet.ledger.record(fleet.clock(), "end", exits=exits, not_sent=load.skipped_calls)
    finally:
        fleet.stop()
    return judge_run(scenario, out)


def judge_run(scenario: Scenario, out: Path) -> dict[str, Any]:
    """Judge a run by its ledgers, and write report.json and report.html; ValueError if it did not finish."""
    observations = load_observations(scenario, out)
    end = next((entry for entry in observations.run_events if entry["what"] == "end"), None)
    if end is None:
        raise ValueError("the run did not finish: its ledger has no entry 'end'")
    result = report.build_report(
        scenario, observations, judge(scenario, observations), end["exits"], end["not_sent"]
    )
    (out / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
    (out / "report.html").write_text(html_report.render(result, observations), encoding="utf-8")
    return result
