"""The report of a run: verdicts and figures, as an object for report.json and as lines for a terminal."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from tamarindfold.rehearsal.judge import Verdict
from tamarindfold.rehearsal.observations import Observations
from tamarindfold.rehearsal.scenario import Scenario

RULE_COUNT = 5  # the first verdicts are on the rules, the remaining ones on further checks


def _entry(verdict: Verdict) -> dict[str, Any]:
    return {
        "rule": verdict.rule,
        "passed": verdict.passed,
        "looked_at": verdict.examined,
        "breaches": verdict.breaches,
        "first": verdict.first_breach,
    } | verdict.details


def latencies(observations: Observations) -> dict[str, dict[str, float]]:
    """Percentiles of the time from sending a try to its served answer, by class."""
    by_class: dict[str, HdrHistogram] = {}
    for client_try in observations.tries.values():
        if client_try.answers and client_try.answers[0]["outcome"] == "served":
            histogram = by_class.setdefault(client_try.sent["cls"], HdrHistogram(1, 60_000_000, 3))
            histogram.record_value(max(1, int((client_try.answers[0]["t"] - client_try.sent["t"]) * 1000)))
    return {
        cls: {f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)}
        for cls, histogram in sorted(by_class.items())
    }


def outcomes(observations: Observations) -> dict[str, int]:
    """The number of tries by outcome."""
    counts: dict[str, int] = {}
    for client_try in observations.tries.values():
        outcome = client_try.answers[0]["outcome"] if client_try.answers else "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    return dict(sorted(counts.items()))


def served_ratio(observations: Observations) -> float:
    """The ratio of calls that were served at one of their tries."""
    calls: dict[int, bool] = {}
    for client_try in observations.tries.values():
        served = bool(client_try.answers) and client_try.answers[0]["outcome"] == "served"
        calls[client_try.sent["call"]] = calls.get(client_try.sent["call"], False) or served
    return sum(calls.values()) / max(1, len(calls))


def overspend(scenario: Scenario, observations: Observations) -> dict[str, float]:
    """By plan: the highest overspend of a customer over the run, as a ratio of the units granted."""
    spent: dict[tuple[str, str], float] = {}
    for client_try in observations.tries.values():
        if client_try.attempts:
            key = client_try.sent["plan"], client_try.sent["customer"]
            spent[key] = spent.get(key, 0.0) + client_try.sent["units"]
    worst: dict[str, float] = {}
    for (plan, _), units in spent.items():
        limits = observations.plans[plan]
        if limits["rate"]:
            granted = limits["burst"] + limits["rate"] * scenario.duration_ms / 1000
            worst[plan] = round(max(worst.get(plan, 0.0), units / granted - 1), 3)
    return worst


def build_report(
    scenario: Scenario,
    observations: Observations,
    verdicts: list[Verdict],
    exits: dict[str, int | None],
    skipped: int,
) -> dict[str, Any]:
    """The report. exits: exit status by gateway. skipped: number of calls that were not sent."""
    passed = all(v.passed for v in verdicts) and all(status == 0 for status in exits.values())
    return {
        "day": scenario.name,
        "seed": scenario.seed,
        "passed": passed,
        "rules": [_entry(v) for v in verdicts[:RULE_COUNT]],
        "checks": [_entry(v) for v in verdicts[RULE_COUNT:]],
        "gateway_exits": exits,
        "tries": outcomes(observations),
        "not_sent": skipped,
        "calls_served": round(served_ratio(observations), 4),
        "latency": latencies(observations),
        "overspend": overspend(scenario, observations),
    }


def format_lines(report: dict[str, Any]) -> list[str]:
    """The report as lines for a terminal."""
    out = [f"{report['day']}: {'passed' if report['passed'] else 'FAILED'}"]
    for rule in report["rules"] + report["checks"]:
        first = rule["first"]
        out.append(
            f"  {'pass' if rule['passed'] else 'FAIL'}  {rule['rule']}: {rule['breaches']} of "
            f"{rule['looked_at']} broken" + (f"; first {first}" if first else "")
        )
    out.append(
        "  tries: "
        + ", ".join(f"{count} {outcome}" for outcome, count in report["tries"].items())
        + f"; {100 * report['calls_served']:.1f}% of requests served"
    )
    for cls, percentiles in report["latency"].items():
        out.append(
            f"  {cls}: " + ", ".join(f"{name[:-3]} {value:.0f} ms" for name, value in percentiles.items())
        )
    if bad := {name: status for name, status in report["gateway_exits"].items() if status != 0}:
        out.append(f"  gateways with an exit status other than 0: {bad}")
    return out
