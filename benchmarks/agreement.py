"""What agreement takes and what it keeps: processes on loopback with faults between them, and simulated time.

`python benchmarks/agreement.py [--json] [--quick]`. Contradictions are read from histories of probes, beside
the same faults with an instance whose lease never ends. The machine is noisy; figures are of one run.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
import timeit
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import gevent
import msgspec

from tamarindfold.agreement.operator_client import NoAnswer
from tamarindfold.choice import Gateway
from tamarindfold.ingress.core import Core
from tamarindfold.interface import Effect, Plan, RequestClass, Settings
from tamarindfold.modelcheck import leases
from tamarindfold.modelcheck.agreement import check
from tamarindfold.modelcheck.simulated import SimulatedFleet
from tamarindfold.rehearsal.agreed import AgreedFleet
from tamarindfold.rehearsal.relay import LinkFault

WINDOW_MS = 2_000.0
TERMS = {"window_ms": WINDOW_MS, "unled_ms": 1_500, "least_share": 0.01}
ENDLESS = "a lease never ends"


def percentile(values: list[float], part: float) -> float:
    """The value that this part of all do not pass."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


@contextmanager
def fleet(instances: int, **how: Any) -> Iterator[AgreedFleet]:
    """A fleet of processes that serves."""
    with tempfile.TemporaryDirectory() as folder:
        made = AgreedFleet(Path(folder), instances=instances, terms=TERMS, **how)
        try:
            made.start()
            yield made
        finally:
            made.stop()


def fault(**fields: Any) -> LinkFault:
    """A fault of a link."""
    return msgspec.convert(fields, LinkFault)


def commits(changes: int) -> list[float]:
    """Milliseconds from a proposal to its being on a majority's disks, as an operator sees it."""
    took = []
    with fleet(3) as f:
        for rate in range(changes):
            changed = f.document | {"plans": [{"name": "corner", "rate": 5 + rate % 3, "burst": 20}]}
            base = f.keepers.look()
            began = time.perf_counter()
            f.keepers.propose(changed, base.newest if base else 0)
            took.append((time.perf_counter() - began) * 1000)
    return took


def spreads(instances: int, changes: int) -> tuple[list[float], list[float]]:
    """Milliseconds from a version's first sight at any instance to its first at the last one; and from the
    proposal to that. Probes come every 20 ms, at 40 instances every 100 ms: so coarse the figures are."""
    with fleet(instances) as f:
        for rate in range(changes):
            version = f.propose(plans=[{"name": "corner", "rate": 5 + rate % 3, "burst": 20}])
            f.keepers.until(lambda v=version: f.all_show(v))  # type: ignore[misc]
        history = f.history()
        last: dict[int, dict[int, float]] = {}
        for entry in history:
            if entry["what"] == "mark" and entry["status"] == 401:
                last.setdefault(entry["mark"], {}).setdefault(entry["index"], entry["t"])
        took = [
            max(last[e["version"]].values()) - e["began"]
            for e in history
            if e["what"] == "proposed" and e["version"] > 1
        ]
        return [spread for version, spread in f.contradictions().spread_ms.items() if version > 1], took


def resumes(times: int) -> list[float]:
    """Milliseconds from the leader's death to the next version on a majority's disks."""
    took = []
    with fleet(1) as f:
        for _ in range(times):
            leader = f.keepers.leader()
            base = f.keepers.look()
            f.keepers.kill(leader)
            began = time.perf_counter()
            f.keepers.propose(f.document, base.newest if base else 0)
            took.append((time.perf_counter() - began) * 1000)
            f.keepers.restart([leader])
            f.keepers.until(lambda: len(f.keepers.voting()) == 3 and f.keepers.leader() >= 0)
    return took


def _cut(way: str) -> Callable[[AgreedFleet], None]:
    return lambda f: f.keepers.cut_off("instance 2", way)


def _stop(f: AgreedFleet) -> None:
    f.halt(2)
    gevent.spawn_later(4.5, f.wake, 2)


def _slow(f: AgreedFleet) -> None:
    f.keepers.spoil("instance 2", "*", fault(kind="delay", delay_ms=200, jitter_ms=300))


def _stall(f: AgreedFleet) -> None:
    f.keepers.spoil("instance 2", "*", fault(kind="stall", for_ms=4_000))


FAULTS: dict[str, Callable[[AgreedFleet], None]] = {
    "cut": _cut("both"),
    "cut there": _cut("there"),
    "cut back": _cut("back"),
    "stopped": _stop,
    "slow": _slow,
    "stalled": _stall,
}


def contradiction(name: str, endless: bool) -> float:
    """The longest contradiction that a history shows: a version changes while one instance has this fault."""
    how: dict[str, Any] = {"faulty": {"instance 2": ENDLESS}} if endless else {}
    how["skews"] = {} if endless else {"instance 2": (5_000.0, -0.01)}
    with fleet(3, **how) as f:
        FAULTS[name](f)
        version = f.propose(plans=[{"name": "corner", "rate": 9, "burst": 20}])
        f.keepers.until(lambda: f.all_show(version, (0, 1)))
        gevent.sleep(2 * WINDOW_MS / 1000)
        return f.contradictions().max_ms


def simulated(instances: int, changes: int) -> dict[str, float]:
    """Simulated time: links of 0.2 to 2 ms, 0.3 ms of a keeper's work for an answer, 1 ms for its disk."""

    def document(rate: float) -> Any:
        made = leases.document(rate)
        terms = msgspec.structs.replace(
            made.terms, most_instances=400, window_ms=WINDOW_MS, unled_ms=5_000, least_share=1e-4
        )
        return msgspec.structs.replace(made, terms=terms)

    sim = SimulatedFleet(instances, 3, 1, (0.2, 2.0), 0.3, 1.0)
    sim.run(lambda: any(k.leads for k in sim.keepers), 5_000)
    sim.propose(1, document(8.0))
    sim.run(lambda: sim.leased_count == instances, 30_000)
    acting_ms, spread, took = sim.now, [], []
    for version in range(2, changes + 2):
        began = sim.now
        sim.propose(version, document(6.0 + version % 3))
        sim.run(lambda v=version: len(sim.applied_at.get(v, ())) == instances, 20_000)  # type: ignore[misc]
        spread.append(max(sim.applied_at[version]) - min(sim.applied_at[version]))
        took.append(sim.now - began)
        sim.check_total_share()
    sim.partitioned = set(
        range(0, instances, 10)
    )  # a tenth reaches no keeper any more, and a version is changed
    sim.propose(changes + 2, document(9.0))
    for _ in range(60):
        sim.run(lambda: False, 200.0)
        sim.check_total_share()
    sim.partitioned = set()
    sim.run(lambda: sim.leased_count == instances, 30_000)
    sim.check_total_share()
    return {
        "all_acting_ms": acting_ms,
        "spread_ms_max": max(spread),
        "in_force_ms_max": max(took),
        "sum_over_whole_max": round(sim.max_excess_share, 9),
    }


class _Before(Core):
    """Without the look at the lease."""

    def on_loop_turn(self, heartbeat: bool = True) -> None:
        now = self.clock()
        gone = now - self.last_turn_ms
        if gone > self.stall_ms and self.resumed.is_set():
            raise AssertionError("no standstill here")
        if heartbeat or gone > self.stall_ms:
            self.last_turn_ms = now


def added_ns() -> float:
    """Nanoseconds that the look at the lease takes, once for each event that is handed to the module."""
    gateway = Gateway(
        Settings(1, 0, (RequestClass(100, 1000, 1, Effect.SAFE),), (Plan(0, 0),), 1, 1.0, 0.0, 1.0, 1.0, 0.0),
        1,
    )
    made = [kind(gateway, lambda: 0.0, lambda *_, **__: None) for kind in (Core, _Before)]
    made[0].lease_until_ms = 1e18
    number = 200_000
    took = [min(timeit.repeat(partial(core.on_loop_turn, False), number=number, repeat=9)) for core in made]
    return (took[0] - took[1]) / number * 1e9


def main() -> None:
    """Entry point."""
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--json", action="store_true")
    words.add_argument("--quick", action="store_true", help="fewer repeats, at most 10 instances")
    asked = words.parse_args()
    quick = asked.quick

    def say(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    out: dict[str, Any] = {}
    say("commits ...")
    took = commits(10 if quick else 60)
    for part in (50, 99):
        out[f"commit_ms_p{part}"] = round(percentile(took, part / 100), 1)
    out["in_force_spread_ms"] = {}
    for instances in (3, 10) if quick else (3, 10, 40):
        say(f"in force at {instances} processes ...")
        found, whole = spreads(instances, 4 if quick else 12)
        out["in_force_spread_ms"][str(instances)] = {
            "p99": round(percentile(found, 0.99), 1),
            "max": round(max(found), 1),
            "changes": len(found),
            "proposal_to_everywhere_p50": round(percentile(whole, 0.5), 1),
            "proposal_to_everywhere_max": round(max(whole), 1),
        }
    say("350 in simulated time ...")
    out["simulated_350"] = simulated(350, 10)
    out["sum_over_whole_max"] = out["simulated_350"]["sum_over_whole_max"]
    out["contradiction_ms_max"], out["contradiction_ms_max_without_leases"] = {}, {}
    for name in list(FAULTS)[:2] if quick else FAULTS:
        say(f"contradiction: {name} ...")
        out["contradiction_ms_max"][name] = round(contradiction(name, False), 1)
        out["contradiction_ms_max_without_leases"][name] = round(contradiction(name, True), 1)
    out["window_ms"] = WINDOW_MS
    say("leaders lost ...")
    try:
        back = resumes(2 if quick else 8)
    except NoAnswer as error:
        sys.exit(f"no leader came: {error}")
    out["resume_ms_after_keeper_loss_p99"] = round(percentile(back, 0.99), 1)
    # a request hands the module some four events (arrival, count, its answer, the attempt's end)
    out["us_per_request_added"] = round(4 * added_ns() / 1000, 3)
    say("model check ...")
    model = check(0.1 if quick else 0.5, 1, 8)
    out |= {k: model[k] for k in ("model_states", "model_states_per_s", "planted", "planted_found", "passed")}
    print(json.dumps(out, indent=2) if asked.json else "\n".join(f"{k}: {v}" for k, v in out.items()))
    sys.exit(0 if model["passed"] else 1)


if __name__ == "__main__":
    main()
