"""The client library against plain clients: reconnects after a mass restart, goodput and CPU overhead.

Reconnects and goodput are simulated with the library's own core, with the same seeds for both sides. The
overhead is measured over loopback against httpx alone in the same run.
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
from tamarindfold.client.core import Answered, Call, CallSpec, Outcome, Result, Rules, Wait, Woke
from tamarindfold.client.gateways import Gateways
from tamarindfold.client.jitter import ReconnectSchedule
from tamarindfold.client.shared import Settings as ClientSettings
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
from tamarindfold.interface import Outcome as AttemptOutcome

SLOT_MS = 100.0  # reconnects are counted per slot
RESTART_SPREAD_MS = 50  # the restart reaches all clients within this time
PLAIN_PAUSE_MS = 1_000  # between the reconnects of a plain client
CALL_DEADLINE_MS = 4_000
SERVERS = 8
WORK_MS = 40.0  # mean work of a request
SURGE_LOAD = 3.0  # offered load, relative to the capacity of the servers
NORMAL_LOAD = 0.7


# ---- reconnects


def reconnect_times(
    clients: int, gateways: int, down_ms: float, seed: int
) -> tuple[list[float], list[float]]:
    """When clients reconnect after all gateways restarted and are down for down_ms.

    First those of the library, then of plain clients that reconnect at once and then every second.
    """
    library, plain = [], []
    names = [f"g{i}" for i in range(gateways)]
    for i in range(clients):
        random = Random(f"{seed}/{i}")
        schedule = ReconnectSchedule(f"till-{i}", 5_000, 200, 30_000, random.random)
        gateway = Gateways(names, f"till-{i}", random.random).order[0]
        now = schedule.connection_lost(random.random() * RESTART_SPREAD_MS, gateway)
        while True:
            library.append(now)
            if now >= down_ms:
                break
            now = schedule.connection_lost(now, gateway)
        now = Random(f"{seed}/{i}").random() * RESTART_SPREAD_MS
        while True:
            plain.append(now)
            if now >= down_ms:
                break
            now += PLAIN_PAUSE_MS
    return library, plain


def peak(times: list[float]) -> int:
    """The largest number of events in a slot."""
    return max(Counter(int(at // SLOT_MS) for at in times).values())


def plot(library: list[float], plain: list[float], path: Path) -> None:
    """Draw both as rates over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for times, label in ((plain, "plain"), (library, "library")):
        counts = Counter(int(at // SLOT_MS) for at in times)
        last = max(counts)
        seconds = [slot * SLOT_MS / 1000 for slot in range(last + 1)]
        axes.step(seconds, [counts[slot] for slot in range(last + 1)], label=label)
    axes.set_xlabel("seconds after the restart")
    axes.set_ylabel("connects per 100 ms")
    axes.set_yscale("symlog")
    axes.legend()
    figure.savefig(path, dpi=120)


# ---- goodput


class SimulatedGateway:
    """The decisions of one gateway in front of servers with queues, in simulated time."""

    def __init__(self, servers: int, work_ms: float, seed: int) -> None:
        cls = RequestClass(1500, 4000, 3, Effect.SAFE)
        settings = Settings(1, 0, (cls,), (Plan(0, 0),), 3, 0.2, 10_000, 2, 1000, 250, marks_retry=True)
        self.gateway = Gateway(settings, seed)
        self.gateway.handle(0.0, FleetUpdate(ListKind.FULL, [BackendEntry(i + 1) for i in range(servers)]))
        self.free_at = dict.fromkeys(range(1, servers + 1), 0.0)  # when a server has finished its queue
        self.work_ms, self.random = work_ms, Random(seed)
        self.heap: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_count = self.requests = 0
        self.waiting: dict[int, Callable[[float, Any], None]] = {}  # callbacks by request
        self.attempts: dict[int, int] = {}  # attempts sent, by request

    def schedule(self, at: float, call: Callable[[float], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.heap, (at, self.event_count, call))

    def run(self) -> None:
        while self.heap:
            now, _, call = heapq.heappop(self.heap)
            call(now)

    def arrive(
        self, now: float, left_ms: float, retry: bool, on_answer: Callable[[float, Any], None]
    ) -> None:
        self.requests += 1
        number = self.requests
        self.waiting[number], self.attempts[number] = on_answer, 0
        event = RequestArrived(number, 1, 0, 0, 1.0, 0, 1, left_ms, retry)
        self._act(now, self.gateway.handle(now, event), left_ms)

    def _act(self, now: float, actions: list[Any], left_ms: float) -> None:
        for action in actions:
            match action:
                case Send(request, backend):
                    attempt, self.attempts[request] = self.attempts[request], self.attempts[request] + 1
                    start = max(now, self.free_at[backend])
                    done = start + self.work_ms * self.random.expovariate(1.0)
                    self.free_at[backend] = done
                    if done - now > left_ms:
                        self.schedule(
                            now + left_ms,
                            lambda at, r=request, b=backend, n=attempt: self._ended(
                                at, r, n, b, AttemptOutcome.TIMEOUT, left_ms
                            ),
                        )
                    else:
                        self.schedule(
                            done,
                            lambda at, r=request, b=backend, n=attempt, t=done - now: self._ended(
                                at, r, n, b, AttemptOutcome.OK, t
                            ),
                        )
                case Refuse(request, wait):
                    self._answer(
                        now,
                        request,
                        Answered(
                            503,
                            {"tamarind-outcome": "refused", "tamarind-retry-after-ms": str(int(wait) + 1)},
                        ),
                    )
                case Fail(request):
                    self._answer(now, request, Answered(504, {"tamarind-outcome": "failed"}))

    def _ended(
        self, now: float, request: int, attempt: int, backend: int, outcome: AttemptOutcome, elapsed_ms: float
    ) -> None:
        answered = outcome is AttemptOutcome.OK
        actions = self.gateway.handle(
            now, AttemptEnded(request, attempt, backend, outcome, elapsed_ms, answered)
        )
        if answered:
            self._answer(now, request, Answered(200, {"tamarind-outcome": "served"}))
        self._act(now, actions, 1.0)

    def _answer(self, now: float, request: int, event: Answered) -> None:
        if (on_answer := self.waiting.pop(request, None)) is not None:
            on_answer(now, event)


def goodput(library: bool, seed: int, seconds: float = 40.0) -> tuple[float, float]:
    """The fraction of calls that are served within their deadline, and the tries per call.

    From 10 s to 25 s the offered load is three times the capacity of the servers.
    """
    simulated, random = SimulatedGateway(SERVERS, WORK_MS, seed), Random(seed)
    served = calls = 0
    draw = Random(seed + 1).random
    customers = {}  # what the calls of a customer share

    def start_call(now: float, customer: int) -> None:
        nonlocal calls
        calls += 1
        deadline = now + CALL_DEADLINE_MS
        if library:
            if customer not in customers:
                customers[customer] = (
                    Gateways(["g"], str(customer), draw),
                    RetryBudget(),
                    ReconnectSchedule(str(customer), 0, 200, 5000, draw),
                )
            gateways, budget, reconnects = customers[customer]
            call = Call(Rules(4), CallSpec("safe", deadline), gateways, budget, reconnects, draw)
            carry_out(now, call, call.start(now))
        else:
            call_plainly(now, deadline, 3)

    def carry_out(now: float, call: Call, action: Any) -> None:
        nonlocal served
        if isinstance(action, Result):
            served += action.outcome is Outcome.SERVED
        elif isinstance(action, Wait):
            simulated.schedule(action.until_ms, lambda at: carry_out(at, call, call.handle(at, Woke())))
        else:
            simulated.arrive(
                now,
                action.time_left_ms,
                action.retry,
                lambda at, event: carry_out(at, call, call.handle(at, event)),
            )

    def call_plainly(now: float, deadline: float, retries: int) -> None:
        """Retry at once, whatever the answer was, as many HTTP libraries do when configured to retry."""

        def on_answer(at: float, event: Answered) -> None:
            nonlocal served
            if event.status == 200:
                served += 1
            elif retries and at + 1 < deadline:
                simulated.schedule(at + 1, lambda later: call_plainly(later, deadline, retries - 1))

        simulated.arrive(now, deadline - now, False, on_answer)

    now = 0.0
    while now < seconds * 1000:
        load = SURGE_LOAD if 10_000 <= now < 25_000 else NORMAL_LOAD
        now += random.expovariate(load * SERVERS / WORK_MS)
        customer = random.randrange(200)
        simulated.schedule(now, lambda at, customer=customer: start_call(at, customer))
    simulated.run()
    return served / calls, simulated.requests / calls


# ---- overhead


def overhead(count: int) -> dict[str, float]:
    """CPU microseconds per call to a stand-in server, with the library and with httpx alone."""
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
                    cpu_before_s = time.process_time()
                    for _ in range(count):
                        call()
                    rounds[name].append((time.process_time() - cpu_before_s) / count * 1e6)
        return {name: median(times) for name, times in rounds.items()}
    finally:
        child.terminate()
        child.wait()


def ratio(ours: list[tuple[float, float]], theirs: list[tuple[float, float]], which: int) -> float:
    """The sum of one figure of our runs, divided by the sum of theirs. which: the index of the figure."""
    return round(sum(run[which] for run in ours) / sum(run[which] for run in theirs), 3)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--plot", type=Path, help="file for a plot of the reconnects")
    parser.add_argument("--calls", type=int, default=150)
    args = parser.parse_args()
    library, plain = reconnect_times(6_000, 120, 2_000.0, 1)
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
