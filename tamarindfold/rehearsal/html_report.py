"""Renders the report of a run as a self-contained HTML page, and compares the numbers of two reports."""

from __future__ import annotations

import io
from collections import Counter
from collections.abc import Sequence
from html import escape
from typing import Any

import msgspec

from tamarindfold.rehearsal.observations import Observations

BIN_MS = 500.0
STYLE = """body{font:15px/1.45 sans-serif;max-width:70em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .6em;text-align:left}
.pass{color:#176b2c}.FAIL{color:#b00020;font-weight:bold}svg{width:100%;height:auto}pre{overflow:auto}"""


def rates_by_kind(
    occurrences: Sequence[tuple[float, str]], started_at: float, until: float
) -> dict[str, list[float]]:
    """Occurrences per second by kind, in bins of BIN_MS."""
    bins = max(1, int((until - started_at) / BIN_MS) + 1)
    out: dict[str, list[float]] = {}
    for at, kind in occurrences:
        if started_at <= at <= until:
            out.setdefault(kind, [0.0] * bins)[int((at - started_at) / BIN_MS)] += 1000 / BIN_MS
    return dict(sorted(out.items()))


def plots(observations: Observations) -> str:
    """Goodput by plan, tries not served by status, and attempts by server, with the events, as one SVG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    tries = observations.tries.values()
    started_at = min((client_try.sent["t"] for client_try in tries), default=0.0)
    until = max((client_try.sent["t"] for client_try in tries), default=started_at + 1)
    served, not_served = [], []
    for client_try in tries:
        for answer in client_try.answers[:1]:
            if answer["outcome"] == "served":
                served.append((answer["t"], str(client_try.sent["plan"])))
            else:
                not_served.append((answer["t"], f"{answer['outcome'] or 'proxy'} {answer['status']}"))
    attempts = [
        (attempt.received_at, attempt.server) for client_try in tries for attempt in client_try.attempts
    ]
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 8), sharex=True, layout="constrained")
    charts = (
        ("served per second, by plan", served),
        ("not served per second, by outcome", not_served),
        ("requests per second, by server", attempts),
    )
    for axis, (title, occurrences) in zip(axes, charts, strict=True):
        for kind, values in rates_by_kind(occurrences, started_at, until).items():
            axis.plot([i * BIN_MS / 1000 for i in range(len(values))], values, label=kind, linewidth=1)
        for event in (e for e in observations.run_events if e["what"] == "event"):
            axis.axvline((event["t"] - started_at) / 1000, color="#999", linewidth=0.6, linestyle=":")
        axis.set_title(title, fontsize=10, loc="left")
        if axis.get_legend_handles_labels()[0]:
            axis.legend(fontsize=7, ncols=4, loc="upper right")
    axes[-1].set_xlabel("seconds")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    pyplot.close(figure)
    svg = out.getvalue()
    return svg[svg.index("<svg") :]


def _table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    cells = "".join(f"<th>{escape(title)}</th>" for title in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{cells}</tr>{body}</table>"


def render(report: dict[str, Any], observations: Observations) -> str:
    """The page for a report."""
    started_at = min((client_try.sent["t"] for client_try in observations.tries.values()), default=0.0)
    rules = "".join(
        f"<tr><td class={'pass' if r['passed'] else 'FAIL'}>{'pass' if r['passed'] else 'FAIL'}</td>"
        f"<td>{escape(r['rule'])}</td><td>{r['breaches']}</td><td>{r['looked_at']}</td>"
        f"<td>{escape(str(r['first'] or ''))}</td></tr>"
        for r in report["rules"] + report["checks"]
    )
    events = [
        (f"{(e['t'] - started_at) / 1000:.1f} s", e["do"], e["target"])
        for e in observations.run_events
        if e["what"] == "event"
    ]
    statuses = Counter(
        str(client_try.answers[0]["status"]) if client_try.answers else "none"
        for client_try in observations.tries.values()
    )
    latency = [
        (cls, *(f"{value:.1f}" for value in percentiles.values()))
        for cls, percentiles in report["latency"].items()
    ]
    verdict = "passed" if report["passed"] else "FAILED"
    return "".join(
        (
            f"<!doctype html><html lang=en><meta charset=utf-8>"
            f"<title>{escape(report['day'])}: {verdict}</title>",
            f"<style>{STYLE}</style><h1>{escape(report['day'])}: ",
            f"<span class={'pass' if report['passed'] else 'FAIL'}>{verdict}</span></h1>",
            f"<p>Seed {report['seed']}; {100 * report['calls_served']:.1f}% of requests served.</p>",
            "<table><tr><th></th><th>rule</th><th>broken</th><th>examined</th><th>first</th></tr>",
            rules,
            "</table>",
            plots(observations),
            "<h2>Tries</h2>",
            _table(("status", "tries"), sorted(statuses.items())),
            "<h2>Latency of served tries, ms</h2>",
            _table(("class", "p50", "p99", "p99.9"), latency),
            "<h2>Events</h2>",
            _table(("at", "what", "target"), events),
            "<h2>Figures</h2><pre>",
            escape(msgspec.json.format(msgspec.json.encode(report), indent=2).decode()),
            "</pre></html>",
        )
    )


def flatten_numbers(report: dict[str, Any], prefix: str = "") -> dict[str, float]:
    """All numbers of a report, by their dotted path."""
    out: dict[str, float] = {}
    for name, value in report.items():
        if isinstance(value, bool | int | float):
            out[prefix + name] = float(value)
        elif isinstance(value, dict) and name != "first":
            out |= flatten_numbers(value, f"{prefix}{name}.")
        elif isinstance(value, list):
            for entry in value:
                if isinstance(entry, dict) and "rule" in entry:
                    verdict = {key: value for key, value in entry.items() if key != "first"}
                    out |= flatten_numbers(verdict, f"{prefix}{entry['rule']}.")
    return out


def compare_reports(a: dict[str, Any], b: dict[str, Any]) -> list[str]:
    """The numbers that differ between two reports, a line each: path, both values, and their ratio."""
    left, right = flatten_numbers(a), flatten_numbers(b)
    out = []
    for name in sorted(left.keys() | right.keys()):
        left_value, right_value = left.get(name), right.get(name)
        if left_value == right_value:
            continue
        ratio = f"{right_value / left_value:.3f}" if left_value and right_value is not None else "-"
        first, second = ("-" if value is None else f"{value:g}" for value in (left_value, right_value))
        out.append(f"{name:<44} {first:>12} {second:>12} {ratio:>8}")
    return out
