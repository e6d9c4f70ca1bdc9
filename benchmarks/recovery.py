"""Snapshots: size, time, the longest pause of the request path; appointments with and without them.

The pause is how late a beat that is due each millisecond runs while a snapshot is written. What the disk
takes is in a thread. Overlaps are played in simulated time, same seed, one instance killed and started again,
its files on or off.
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


def life(folder: Path, clock: Any) -> tuple[Gateway, Recorder]:
    """A gateway and its memory."""
    gateway = Gateway(SETTINGS, 5)
    recorder = Recorder(folder, 0, gateway, 600_000, 2_000, clock, lambda *_, **__: None)
    restored = recorder.load()
    if restored is not None:
        gateway.handle(clock(), restored)
    gateway.handle(clock(), FleetUpdate(ListKind.FULL, [BackendEntry(n) for n in range(1, 5)]))
    return gateway, recorder


def arrived(number: int, customer: int) -> RequestArrived:
    return RequestArrived(number, customer, 0, 0, 1.0, 0, 3, 4000.0)


def writing(customers: int, folder: Path) -> dict[str, float]:
    """One snapshot of so many customers with a promise each, beside a beat."""
    gateway, recorder = life(folder, lambda: START)
    for number in range(customers):
        gateway.customer_for(START, arrived(number, number)).schedule_return(START, 1.0, 0.0)
        gateway.customers[number].end_of_queue_time = START + 60_000
        recorder.tracked[number] = None
    gc.collect()
    gc.freeze()
    late = [0.0]

    def beat() -> None:
        while True:
            due = time.perf_counter() + 0.001
            gevent.sleep(0.001)
            late[0] = max(late[0], time.perf_counter() - due)

    beating = gevent.spawn(beat)
    gevent.sleep(0.2)
    quiet, late[0] = late[0], 0.0
    background = Background(1.0, lambda *_, **__: None)
    background.scheduler = Scheduler(0.5, max_saved_ms=5.0)
    job = background.scheduler.add(Job("snapshot", recorder.snapshot, 0.0, 0), precise_ms())
    began = time.perf_counter()
    background.start()
    while not recorder.counts["snapshots"]:
        gevent.sleep(0.005)
    took = time.perf_counter() - began
    background.stop()
    beating.kill()
    began = time.perf_counter()
    life(folder, lambda: START + 1)
    loading = time.perf_counter() - began
    gc.unfreeze()
    return {
        "longest_pause_ms": round(late[0] * 1000, 2),
        "pause_without_ms": round(quiet * 1000, 2),
        "longest_slice_ms": round(job.longest_slice_ms, 2),
        "snapshot_bytes": recorder.counts["bytes"],
        "write_ms": round(took * 1000, 1),
        "load_ms": round(loading * 1000, 1),
    }


def overlaps(files: bool, folder: Path, seed: int = 7) -> dict[str, int]:
    """60 s of refusals for 40 customers, a kill every 5 s; appointments in a queue given out before."""
    draw, now, number = Random(seed), START, 0
    clock = lambda: now  # noqa: E731 - the simulated time
    gateway, recorder = life(folder, clock)
    given_out: dict[int, float] = {}
    found = appointments = 0
    killed = walked = now
    while now < START + 60_000:
        now += draw.expovariate(1 / 4)
        number, customer = number + 1, draw.randrange(40)
        for action in gateway.handle(now, arrived(number, customer)):
            if isinstance(action, Refuse):
                back = now + action.retry_after_ms
                recorder.record_refusal(customer, 0, 3, back)
                appointments += 1
                found += back <= given_out.get(customer, 0.0)
                given_out[customer] = max(given_out.get(customer, 0.0), back)
            elif isinstance(action, Send):
                recorder.record_spent_units(customer, 0, 3, 1.0)
                gateway.handle(now, AttemptEnded(number, 0, action.backend, Outcome.OK, 10.0, True))
        recorder.flush()
        if now - walked > 1_000:
            walked = now
            for pause_ms in recorder.snapshot():
                gevent.sleep((pause_ms or 0.0) / 1000)
        if now - killed > 5_000:
            killed = now
            if not files:
                for path in folder.glob("recovery-*"):
                    path.unlink()
            gateway, recorder = life(folder, clock)
    return {"appointments": appointments, "overlapping": found}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--most", type=int, default=SIZES[-1], help="no more customers than this")
    args = parser.parse_args()
    result: dict[str, Any] = {}
    for customers in (size for size in SIZES if size <= args.most):
        with tempfile.TemporaryDirectory() as name:
            figures = writing(customers, Path(name))
        for key, value in figures.items():
            result.setdefault(key, {})[str(customers)] = value
        print(customers, figures, flush=True)
    result["overlapping_appointments"] = {}
    for word, files in (("without", False), ("with", True)):
        with tempfile.TemporaryDirectory() as name:
            result["overlapping_appointments"][word] = overlaps(files, Path(name))
    print(result["overlapping_appointments"])
    if args.json:
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
