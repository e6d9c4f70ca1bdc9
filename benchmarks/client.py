"""The client library against plain clients: reconnects after a mass restart, goodput, overhead.

Reconnects and goodput are simulated time through the library's own core, with the same seeds for both sides;
the overhead is measured over loopback against bare httpx in the same run.
"""

from __future__ import annotations

import argparse
import heapq
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import httpx
import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from tamarindfold.choice import Gateway
from tamarindfold.client.blocking import Client
from tamarindfold.client.budget import RetryBudget
from tamarindfold.client.core import Answered, CallSpec, Call, Outcome, Result, Rules, Wait, Woke
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.shared import Settings as ClientSettings
from tamarindfold.client.jitter import ReconnectSchedule
from tamarindfold.interface import (
    AttemptEnded,
    BackendEntry,
    Effect,
    Fail,
    FleetUpdate,
    ListKind,
    Plan,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from tamarindfold.interface import Outcome as How

SLOT_MS = 100.0


# ---- reconnects


def reconnects(clients: int, gateways: int, down_ms: float, seed: int) -> tuple[list[float], list[float]]:
    """When clients with kept connections try again after all gateways restarted: the library's, and plain
    ones that come back at once and then every second."""
    library, plain = [], []
    names = [f"g{i}" for i in range(gateways)]
    for i in range(clients):
        random = Random(f"{seed}/{i}")
        own = ReconnectSchedule(f"till-{i}", 5_000, 200, 30_000, random.random)
        gateway = Gateways(names, f"till-{i}", random.random).order[0]
        now = own.connection_lost(random.random() * 50, gateway)  # the restart reaches all within 50 ms
        while True:
            library.append(now)
            if now >= down_ms:
                break
            now = own.connection_lost(now, gateway)
        now = Random(f"{seed}/{i}").random() * 50
        while True:
            plain.append(now)
            if now >= down_ms:
                break
            now += 1_000
    return library, plain


def peak(times: list[float]) -> int:
    """The most in any one slot."""
    return max(Counter(int(at // SLOT_MS) for at in times).values())


def plot(library: list[float], plain: list[float], path: Path) -> None:
    """Both as rates over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for times, label in ((plain, "plain"), (library, "library")):
        counts = Counter(int(at // SLOT_MS) for at in times)
        last = max(counts)
        at = [k * SLOT_MS / 1000 for k in range(last + 1)]
        axes.step(at, [counts[k] for k in range(last + 1)], label=label)
    axes.set_xlabel("seconds after the restart")
    axes.set_ylabel("connects per 100 ms")
    axes.set_yscale("symlog")
    axes.legend()
    figure.savefig(path, dpi=120)


# ---- goodput


class World:
    """One gateway's decisions before servers with queues, in simulated time; clients come as events."""

    def __init__(self, servers: int, work_ms: float, seed: int) -> None:
        cls = RequestClass(1500, 4000, 3, Effect.SAFE)
        settings = Settings(1, 0, (cls,), (Plan(0, 0),), 3, 0.2, 10_000, 2, 1000, 250, marks_retry=True)
        self.gateway = Gateway(settings, seed)
        self.gateway.handle(0.0, FleetUpdate(ListKind.FULL, [BackendEntry(i + 1) for i in range(servers)]))
        self.free = dict.fromkeys(range(1, servers + 1), 0.0)
        self.work_ms, self.random = work_ms, Random(seed)
        self.heap: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = self.requests = 0
        self.waiting: dict[int, Callable[[float, Any], None]] = {}
        self.sent: dict[int, int] = {}

    def at(self, when: float, call: Callable[[float], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.heap, (when, self.numbers, call))

    def run(self) -> None:
        while self.heap:
            now, _, call = heapq.heappop(self.heap)
            call(now)

    def arrive(self, now: float, left_ms: float, retry: bool, told: Callable[[float, Any], None]) -> None:
        self.requests += 1
        number = self.requests
        self.waiting[number], self.sent[number] = told, 0
        event = RequestArrived(number, 1, 0, 0, 1.0, 0, 1, left_ms, retry)
        self._act(now, self.gateway.handle(now, event), left_ms)

    def _act(self, now: float, actions: list[Any], left_ms: float) -> None:
        for action in actions:
            match action:
                case Send(request, backend):
                    attempt, self.sent[request] = self.sent[request], self.sent[request] + 1
                    start = max(now, self.free[backend])
                    done = start + self.work_ms * self.random.expovariate(1.0)
                    self.free[backend] = done
                    if done - now > left_ms:
                        self.at(
                            now + left_ms,
                            lambda at, r=request, b=backend, n=attempt: self._ended(
                                at, r, n, b, How.TIMEOUT, left_ms
                            ),
                        )
                    else:
                        self.at(
                            done,
                            lambda at, r=request, b=backend, n=attempt, t=done - now: self._ended(
                                at, r, n, b, How.OK, t
                            ),
                        )
                case Refuse(request, wait):
                    self._tell(
                        now,
                        request,
                        Answered(
                            503,
                            {"tamarind-outcome": "refused", "tamarind-retry-after-ms": str(int(wait) + 1)},
                        ),
                    )
                case Fail(request):
                    self._tell(now, request, Answered(504, {"tamarind-outcome": "failed"}))

    def _ended(self, now: float, request: int, attempt: int, backend: int, how: How, took: float) -> None:
        over = how is How.OK
        actions = self.gateway.handle(now, AttemptEnded(request, attempt, backend, how, took, over))
        if over:
            self._tell(now, request, Answered(200, {"tamarind-outcome": "served"}))
        self._act(now, actions, 1.0)

    def _tell(self, now: float, request: int, event: Answered) -> None:
        if (told := self.waiting.pop(request, None)) is not None:
            told(now, event)


def goodput(library: bool, seed: int, seconds: float = 40.0) -> tuple[float, float]:
    """Calls served within their deadline, of all, in a cold snap of three times what the servers bear; and
    tries a call."""
    world, random = World(8, 40.0, seed), Random(seed)
    served = calls = 0
    draw = Random(seed + 1).random
    shared = {}

    def one(now: float, customer: int) -> None:
        nonlocal calls
        calls += 1
        deadline = now + 4_000
        if library:
            if customer not in shared:
                shared[customer] = (
                    Gateways(["g"], str(customer), draw),
                    RetryBudget(),
                    ReconnectSchedule(str(customer), 0, 200, 5000, draw),
                )
            gateways, budget, back = shared[customer]
            call = Call(Rules(4), CallSpec("safe", deadline), gateways, budget, back, draw)
            by_core(now, call, call.start(now))
        else:
            plainly(now, deadline, 3)

    def by_core(now: float, call: Call, action: Any) -> None:
        nonlocal served
        if isinstance(action, Result):
            served += action.outcome is Outcome.SERVED
        elif isinstance(action, Wait):
            world.at(action.until_ms, lambda at: by_core(at, call, call.handle(at, Woke())))
        else:
            world.arrive(
                now,
                action.time_left_ms,
                action.retry,
                lambda at, event: by_core(at, call, call.handle(at, event)),
            )

    def plainly(now: float, deadline: float, retries: int) -> None:
        """Three retries at once, whatever was said: what many HTTP libraries do when told to retry."""

        def told(at: float, event: Answered) -> None:
            nonlocal served
            if event.status == 200:
                served += 1
            elif retries and at + 1 < deadline:
                world.at(at + 1, lambda later: plainly(later, deadline, retries - 1))

        world.arrive(now, deadline - now, False, told)

    now = 0.0
    while now < seconds * 1000:
        surge = 3.0 if 10_000 <= now < 25_000 else 0.7
        now += random.expovariate(surge * 8 / 40.0)
        customer = random.randrange(200)
        world.at(now, lambda at, customer=customer: one(at, customer))
    world.run()
    return served / calls, world.requests / calls


# ---- overhead


def overhead(count: int) -> dict[str, float]:
    """Microseconds a call, library and bare httpx, against a tariff stand-in."""
    child = subprocess.Popen(
        [sys.executable, "-m", "tamarindfold.cli.main", "standin", "tariff"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        assert child.stdout is not None
        base = "http://" + msgspec.json.decode(child.stdout.readline())["address"]
        rounds: dict[str, list[float]] = {"library": [], "bare": []}
        headers = {"authorization": "Bearer x", "tamarind-class": "none"}
        with httpx.Client() as bare, Client(ClientSettings([base], token="x")) as client:
            for _ in range(5):
                for name, call in (
                    ("bare", lambda: bare.get(base + "/q", headers=headers)),
                    (
                        "library",
                        lambda: client.call("GET", "/q", effect="safe", deadline_ms=5000, headers=headers),
                    ),
                ):
                    call()
                    spent = time.process_time()
                    for _ in range(count):
                        call()
                    rounds[name].append((time.process_time() - spent) / count * 1e6)
        return {name: median(times) for name, times in rounds.items()}
    finally:
        child.terminate()
        child.wait()


def ratio(ours: list[tuple[float, float]], theirs: list[tuple[float, float]], which: int) -> float:
    """The sum of one figure over another side's."""
    return round(sum(run[which] for run in ours) / sum(run[which] for run in theirs), 3)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--plot", type=Path, help="where to draw the reconnects")
    parser.add_argument("--calls", type=int, default=150)
    args = parser.parse_args()
    library, plain = reconnects(6_000, 120, 2_000.0, 1)
    if args.plot:
        plot(library, plain, args.plot)
    seeds = range(5)
    with_library, without = [goodput(True, s) for s in seeds], [goodput(False, s) for s in seeds]
    cost = overhead(args.calls)
    result = {
        "reconnect_peak_ratio": round(peak(library) / peak(plain), 4),
        "reconnect_peaks": {"library": peak(library), "plain": peak(plain)},
        "goodput_ratio_to_plain_retry": ratio(with_library, without, 0),
        "tries_ratio_to_plain_retry": ratio(with_library, without, 1),
        "goodput": {
            "library": [round(g, 3) for g, _ in with_library],
            "plain": [round(g, 3) for g, _ in without],
        },
        "overhead_ratio": round(cost["library"] / cost["bare"], 2),
        "overhead_us": {name: round(us) for name, us in cost.items()},
    }
    for name, value in result.items():
        print(f"{name}: {value}")
    if args.json:
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
