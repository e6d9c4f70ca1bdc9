"""Recovery snapshots: size, write and load times, the longest pause of the event loop, and their benefit.

The pause is how late a timer that is due each millisecond fires while a snapshot is written; the disk is
written by a thread. The benefit is measured in simulated time, with the same seed with and without the files:
an instance is killed and restarted repeatedly, and retry times that overlap with those that it gave to the
same customer before (the appointments) are counted.
"""

from __future__ import annotations

import argparse
import gc
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import gevent
import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from tamarindfold import Gateway
from tamarindfold.ds.scheduler import Job, Scheduler
from tamarindfold.ingress.background import Background, precise_ms
from tamarindfold.interface import (
    AttemptEnded,
    BackendEntry,
    Effect,
    FleetUpdate,
    ListKind,
    Outcome,
    Plan,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from tamarindfold.recovery.driver import Recorder

START = 1_800_000_000_000.0
PLAN = Plan(2, 4, ceiling_rate=3, ceiling_burst=6, name="corner")
SETTINGS = Settings(
    gateways=3,
    index=0,
    max_attempts=3,
    classes=(RequestClass(1500, 6000, 3, Effect.SAFE, name="quote"),),
    plans=(PLAN,),
    start_capacity=0.2,
    cold_ms=15_000,
    fall_multiple=2,
    overload_ms=1000,
    drain_grace_ms=250,
    marks_retry=True,
)
SIZES = (1_000, 10_000, 100_000, 1_000_000)


def start_gateway(folder: Path, clock: Any) -> tuple[Gateway, Recorder]:
    """A gateway restored from the files in the folder, if there are any, and its recorder."""
    gateway = Gateway(SETTINGS, 5)
    recorder = Recorder(folder, 0, gateway, 600_000, 2_000, clock, lambda *_, **__: None)
    restored = recorder.load()
    if restored is not None:
        gateway.handle(clock(), restored)
    gateway.handle(clock(), FleetUpdate(ListKind.FULL, [BackendEntry(n) for n in range(1, 5)]))
    return gateway, recorder


def arrival(number: int, customer: int) -> RequestArrived:
    return RequestArrived(number, customer, 0, 0, 1.0, 0, 3, 4000.0)


def snapshot_costs(customers: int, folder: Path) -> dict[str, float]:
    """Write and load a snapshot of this many customers, each with an outstanding retry time."""
    gateway, recorder = start_gateway(folder, lambda: START)
    for number in range(customers):
        gateway.customer_for(START, arrival(number, number)).schedule_return(START, 1.0, 0.0)
        gateway.customers[number].end_of_queue_time = START + 60_000
        recorder.tracked[number] = None
    gc.collect()
    gc.freeze()
    max_delay_s = [0.0]

    def measure_delays() -> None:
        while True:
            due = time.perf_counter() + 0.001
            gevent.sleep(0.001)
            max_delay_s[0] = max(max_delay_s[0], time.perf_counter() - due)

    delay_greenlet = gevent.spawn(measure_delays)
    gevent.sleep(0.2)
    idle_delay_s, max_delay_s[0] = max_delay_s[0], 0.0
    background = Background(1.0, lambda *_, **__: None)
    background.scheduler = Scheduler(0.5, max_saved_ms=5.0)
    job = background.scheduler.add(Job("snapshot", recorder.snapshot, 0.0, 0), precise_ms())
    started_at = time.perf_counter()
    background.start()
    while not recorder.counts["snapshots"]:
        gevent.sleep(0.005)
    write_s = time.perf_counter() - started_at
    background.stop()
    delay_greenlet.kill()
    started_at = time.perf_counter()
    start_gateway(folder, lambda: START + 1)
    load_s = time.perf_counter() - started_at
    gc.unfreeze()
    return {
        "longest_pause_ms": round(max_delay_s[0] * 1000, 2),
        "pause_without_ms": round(idle_delay_s * 1000, 2),
        "longest_slice_ms": round(job.longest_slice_ms, 2),
        "snapshot_bytes": recorder.counts["bytes"],
        "write_ms": round(write_s * 1000, 1),
        "load_ms": round(load_s * 1000, 1),
    }


def overlaps(keep_files: bool, folder: Path, seed: int = 7) -> dict[str, int]:
    """Count overlapping retry times in 60 s of refusals for 40 customers, with a restart every 5 s.

    keep_files: the snapshots and journals survive each restart.
    """
    random, now, number = Random(seed), START, 0
    clock = lambda: now  # noqa: E731 - the simulated time
    gateway, recorder = start_gateway(folder, clock)
    latest_given: dict[int, float] = {}  # by customer: the latest retry time that it was given
    overlapping = appointments = 0
    killed_at = snapshot_at = now
    while now < START + 60_000:
        now += random.expovariate(1 / 4)
        number, customer = number + 1, random.randrange(40)
        for action in gateway.handle(now, arrival(number, customer)):
            if isinstance(action, Refuse):
                retry_at = now + action.retry_after_ms
                recorder.record_refusal(customer, 0, 3, retry_at)
                appointments += 1
                overlapping += retry_at <= latest_given.get(customer, 0.0)
                latest_given[customer] = max(latest_given.get(customer, 0.0), retry_at)
            elif isinstance(action, Send):
                recorder.record_spent_units(customer, 0, 3, 1.0)
                gateway.handle(now, AttemptEnded(number, 0, action.backend, Outcome.OK, 10.0, True))
        recorder.flush()
        if now - snapshot_at > 1_000:
            snapshot_at = now
            for pause_ms in recorder.snapshot():
                gevent.sleep((pause_ms or 0.0) / 1000)
        if now - killed_at > 5_000:
            killed_at = now
            if not keep_files:
                for path in folder.glob("recovery-*"):
                    path.unlink()
            gateway, recorder = start_gateway(folder, clock)
    return {"appointments": appointments, "overlapping": overlapping}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--most", type=int, default=SIZES[-1], help="the largest number of customers")
    args = parser.parse_args()
    result: dict[str, Any] = {}
    for customers in (size for size in SIZES if size <= args.most):
        with tempfile.TemporaryDirectory() as name:
            figures = snapshot_costs(customers, Path(name))
        for key, value in figures.items():
            result.setdefault(key, {})[str(customers)] = value
        print(customers, figures, flush=True)
    result["overlapping_appointments"] = {}
    for label, keep_files in (("without", False), ("with", True)):
        with tempfile.TemporaryDirectory() as name:
            result["overlapping_appointments"][label] = overlaps(keep_files, Path(name))
    print(result["overlapping_appointments"])
    if args.json:
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
