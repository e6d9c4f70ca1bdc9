"""Agreement on settings: commit, rollout and failover times, and contradictions under faults.

`python benchmarks/agreement.py [--json] [--quick]`. Fleets of real processes run on loopback with relays that
inject faults; larger fleets run in simulated time. A contradiction is an instance that acts on an old version
while another acts on a newer one. It is measured by probes, with leases and, for comparison, with an instance
whose lease never ends. Figures are of a single run and vary with the load of the machine.
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
from tamarindfold.rehearsal.managed_fleet import ManagedFleet
from tamarindfold.rehearsal.relay import LinkFault

WINDOW_MS = 2_000.0
EVENTS_PER_REQUEST = 4  # for the decision module: arrival, count, its answer, the end of the attempt
TERMS = {"window_ms": WINDOW_MS, "unled_ms": 1_500, "least_share": 0.01}
ENDLESS_LEASE = "a lease never ends"  # a fault that the program of an instance accepts


def percentile(values: list[float], fraction: float) -> float:
    """The value at this fraction of the sorted values; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


@contextmanager
def running_fleet(instances: int, **options: Any) -> Iterator[ManagedFleet]:
    """A fleet of processes, started and serving; stopped at the end."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ManagedFleet(Path(folder), instances=instances, terms=TERMS, **options)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.stop()


def link_fault(**fields: Any) -> LinkFault:
    return msgspec.convert(fields, LinkFault)


def commit_times_ms(changes: int) -> list[float]:
    """Times from a proposal until it is on the disks of a majority, as an operator sees them."""
    durations_ms = []
    with running_fleet(3) as fleet:
        for rate in range(changes):
            changed = fleet.document | {"plans": [{"name": "corner", "rate": 5 + rate % 3, "burst": 20}]}
            base = fleet.keepers.read_state()
            started_at = time.perf_counter()
            fleet.keepers.propose(changed, base.newest if base else 0)
            durations_ms.append((time.perf_counter() - started_at) * 1000)
    return durations_ms


def rollout_times_ms(instances: int, changes: int) -> tuple[list[float], list[float]]:
    """Times from the first to the last instance that acts on a version; and from its proposal to the last.

    The resolution is the probe interval: 20 ms, at 40 instances 100 ms.
    """
    with running_fleet(instances) as fleet:
        for rate in range(changes):
            version = fleet.propose(plans=[{"name": "corner", "rate": 5 + rate % 3, "burst": 20}])
            fleet.keepers.wait_until(lambda v=version: fleet.all_act_on(v))  # type: ignore[misc]
        history = fleet.history()
        first_seen: dict[int, dict[int, float]] = {}  # by version and instance
        for entry in history:
            if entry["what"] == "mark" and entry["status"] == 401:
                first_seen.setdefault(entry["mark"], {}).setdefault(entry["index"], entry["t"])
        from_proposal_ms = [
            max(first_seen[e["version"]].values()) - e["began"]
            for e in history
            if e["what"] == "proposed" and e["version"] > 1
        ]
        return [
            spread for version, spread in fleet.find_stale_versions().rollout_ms.items() if version > 1
        ], from_proposal_ms


def failover_times_ms(times: int) -> list[float]:
    """Times from killing the leader until the next version is on the disks of a majority."""
    durations_ms = []
    with running_fleet(1) as fleet:
        for _ in range(times):
            leader = fleet.keepers.leader()
            base = fleet.keepers.read_state()
            fleet.keepers.kill(leader)
            started_at = time.perf_counter()
            fleet.keepers.propose(fleet.document, base.newest if base else 0)
            durations_ms.append((time.perf_counter() - started_at) * 1000)
            fleet.keepers.restart([leader])
            fleet.keepers.wait_until(
                lambda: len(fleet.keepers.voting_keepers()) == 3 and fleet.keepers.leader() >= 0
            )
    return durations_ms


def _cut_links(way: str) -> Callable[[ManagedFleet], None]:
    return lambda fleet: fleet.keepers.isolate("instance 2", way)


def _suspend(fleet: ManagedFleet) -> None:
    fleet.suspend(2)
    gevent.spawn_later(4.5, fleet.resume, 2)


def _delay_links(fleet: ManagedFleet) -> None:
    fleet.keepers.inject("instance 2", "*", link_fault(kind="delay", delay_ms=200, jitter_ms=300))


def _stall_links(fleet: ManagedFleet) -> None:
    fleet.keepers.inject("instance 2", "*", link_fault(kind="stall", for_ms=4_000))


# each affects instance 2
FAULTS: dict[str, Callable[[ManagedFleet], None]] = {
    "cut": _cut_links("both"),
    "cut there": _cut_links("there"),
    "cut back": _cut_links("back"),
    "stopped": _suspend,
    "slow": _delay_links,
    "stalled": _stall_links,
}


def longest_contradiction_ms(name: str, endless_lease: bool) -> float:
    """The longest contradiction when a version changes while instance 2 has this fault.

    endless_lease: the lease of instance 2 never ends; else its wall clock is 5 s ahead
    and its clocks run 1% slow.
    """
    options: dict[str, Any] = {"faulty": {"instance 2": ENDLESS_LEASE}} if endless_lease else {}
    options["skews"] = {} if endless_lease else {"instance 2": (5_000.0, -0.01)}
    with running_fleet(3, **options) as fleet:
        FAULTS[name](fleet)
        version = fleet.propose(plans=[{"name": "corner", "rate": 9, "burst": 20}])
        fleet.keepers.wait_until(lambda: fleet.all_act_on(version, (0, 1)))
        gevent.sleep(2 * WINDOW_MS / 1000)
        return fleet.find_stale_versions().max_overlap_ms


def simulate(instances: int, changes: int) -> dict[str, float]:
    """Rollouts and a partition in simulated time.

    Links delay messages by 0.2 to 2 ms; a keeper takes 0.3 ms to answer and 1 ms to sync its disk.
    """

    def document(rate: float) -> Any:
        base = leases.document(rate)
        terms = msgspec.structs.replace(
            base.terms, most_instances=400, window_ms=WINDOW_MS, unled_ms=5_000, least_share=1e-4
        )
        return msgspec.structs.replace(base, terms=terms)

    sim = SimulatedFleet(instances, 3, 1, (0.2, 2.0), 0.3, 1.0)
    sim.run(lambda: any(k.leads for k in sim.keepers), 5_000)
    sim.propose(1, document(8.0))
    sim.run(lambda: sim.leased_count == instances, 30_000)
    acting_ms, spreads, durations_ms = sim.now, [], []
    for version in range(2, changes + 2):
        started_at = sim.now
        sim.propose(version, document(6.0 + version % 3))
        sim.run(lambda v=version: len(sim.applied_at.get(v, ())) == instances, 20_000)  # type: ignore[misc]
        spreads.append(max(sim.applied_at[version]) - min(sim.applied_at[version]))
        durations_ms.append(sim.now - started_at)
        sim.check_total_share()
    # a tenth of the instances loses the connection to all keepers before the next version
    sim.partitioned = set(range(0, instances, 10))
    sim.propose(changes + 2, document(9.0))
    for _ in range(60):
        sim.run(lambda: False, 200.0)
        sim.check_total_share()
    sim.partitioned = set()
    sim.run(lambda: sim.leased_count == instances, 30_000)
    sim.check_total_share()
    return {
        "all_acting_ms": acting_ms,
        "spread_ms_max": max(spreads),
        "in_force_ms_max": max(durations_ms),
        "sum_over_whole_max": round(sim.max_excess_share, 9),
    }


class _CoreWithoutLeaseCheck(Core):
    """The core without its check of the lease, for comparison."""

    def on_loop_turn(self, heartbeat: bool = True) -> None:
        now = self.clock()
        elapsed_ms = now - self.last_turn_ms
        if elapsed_ms > self.stall_ms and self.resumed.is_set():
            raise AssertionError("the benchmark's clock stands still: there can be no stall")
        if heartbeat or elapsed_ms > self.stall_ms:
            self.last_turn_ms = now


def lease_check_ns() -> float:
    """Nanoseconds that the check of the lease takes; it runs for each event for the decision module."""
    gateway = Gateway(
        Settings(1, 0, (RequestClass(100, 1000, 1, Effect.SAFE),), (Plan(0, 0),), 1, 1.0, 0.0, 1.0, 1.0, 0.0),
        1,
    )
    cores = [cls(gateway, lambda: 0.0, lambda *_, **__: None) for cls in (Core, _CoreWithoutLeaseCheck)]
    cores[0].lease_until_ms = 1e18
    number = 200_000
    durations_s = [
        min(timeit.repeat(partial(core.on_loop_turn, False), number=number, repeat=9)) for core in cores
    ]
    return (durations_s[0] - durations_s[1]) / number * 1e9


def main() -> None:
    """Run all measurements; exit with status 1 if the model check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--quick", action="store_true", help="fewer repeats, at most 10 processes")
    args = parser.parse_args()
    quick = args.quick

    def show_progress(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    out: dict[str, Any] = {}
    show_progress("commit times ...")
    commit_ms = commit_times_ms(10 if quick else 60)
    for percent in (50, 99):
        out[f"commit_ms_p{percent}"] = round(percentile(commit_ms, percent / 100), 1)
    out["in_force_spread_ms"] = {}
    for instances in (3, 10) if quick else (3, 10, 40):
        show_progress(f"rollout times with {instances} processes ...")
        rollout_ms, from_proposal_ms = rollout_times_ms(instances, 4 if quick else 12)
        out["in_force_spread_ms"][str(instances)] = {
            "p99": round(percentile(rollout_ms, 0.99), 1),
            "max": round(max(rollout_ms), 1),
            "changes": len(rollout_ms),
            "proposal_to_everywhere_p50": round(percentile(from_proposal_ms, 0.5), 1),
            "proposal_to_everywhere_max": round(max(from_proposal_ms), 1),
        }
    show_progress("350 instances in simulated time ...")
    out["simulated_350"] = simulate(350, 10)
    out["sum_over_whole_max"] = out["simulated_350"]["sum_over_whole_max"]
    out["contradiction_ms_max"], out["contradiction_ms_max_without_leases"] = {}, {}
    for name in list(FAULTS)[:2] if quick else FAULTS:
        show_progress(f"contradictions with fault {name} ...")
        out["contradiction_ms_max"][name] = round(longest_contradiction_ms(name, False), 1)
        out["contradiction_ms_max_without_leases"][name] = round(longest_contradiction_ms(name, True), 1)
    out["window_ms"] = WINDOW_MS
    show_progress("failover times ...")
    try:
        failover_ms = failover_times_ms(2 if quick else 8)
    except NoAnswer as error:
        sys.exit(f"no leader was elected: {error}")
    out["resume_ms_after_keeper_loss_p99"] = round(percentile(failover_ms, 0.99), 1)
    out["us_per_request_added"] = round(EVENTS_PER_REQUEST * lease_check_ns() / 1000, 3)
    show_progress("model check ...")
    model = check(0.1 if quick else 0.5, 1, 8)
    out |= {k: model[k] for k in ("model_states", "model_states_per_s", "planted", "planted_found", "passed")}
    print(json.dumps(out, indent=2) if args.json else "\n".join(f"{k}: {v}" for k, v in out.items()))
    sys.exit(0 if model["passed"] else 1)


if __name__ == "__main__":
    main()
