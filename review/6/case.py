"""A keyed request whose answer is reset on the way, after the servers have forgotten its key."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import HELD_S, LAG_S, SLACK_S, Backend, Request, Stage, answer, play, reset, settings, trouble

WINDOW_S = 3.0  # how long a repeat is dropped, from the first attempt that may have run
RESET_AFTER_S = 3.4  # from the request's last byte; the client waits for 4 s
CLASSES = [
    {"name": "ledger-read", "aim": 1500.0, "hard_limit": 4000.0, "points": 2.0, "idempotency": "pure"},
    {
        "name": "payment-book",
        "aim": 1000.0,
        "hard_limit": 4000.0,
        "points": 5.0,
        "idempotency": "token",
        "group": "all",
        "dedup_window": WINDOW_S * 1000,
    },
]
PLANS = [{"name": "plus", "per_second": 22.0, "peak_units": 59.0, "over_worth": 0.0, "excess_cost": 0.6}]
REQUESTS = 24
SPOILT_EVERY = 6  # one payment in so many loses its answer


async def act(stage: Stage) -> list[str]:
    """Send payments; every sixth one runs at once, and its answer breaks off and is reset on the way."""
    runs: dict[str, list[float]] = {}  # when the effect of a payment happened
    remembered: dict[str, float] = {}  # keys that the servers share, and when the first attempt came
    payments = 0

    async def handler(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        nonlocal payments
        if request.method == "GET":
            await asyncio.sleep(0.02)
            return answer(200, request.call.encode())
        first = remembered.get(request.call)
        if first is not None and request.came_at - first <= WINDOW_S + HELD_S + SLACK_S + LAG_S:
            stage.record("repeat dropped", id=request.call, backend=backend.name)
            return answer(200, request.call.encode())
        remembered.setdefault(request.call, request.came_at)
        runs.setdefault(request.call, []).append(request.came_at)
        stage.record("ran", id=request.call, backend=backend.name)
        payments += first is None
        await asyncio.sleep(0.05)
        if trouble() and first is None and payments % SPOILT_EVERY == 0:
            # an answer without a length: it breaks off in the middle, and its connection is reset
            writer.write(b"HTTP/1.1 200 Answer\r\n\r\n" + request.call.encode()[:8])
            await writer.drain()
            await asyncio.sleep(max(0.0, request.came_at + RESET_AFTER_S - stage.record.now()))
            stage.record("answer reset", id=request.call, backend=backend.name)
            reset(writer)
            return None
        return answer(200, request.call.encode())

    await stage.open([handler] * 6)
    config = settings(CLASSES, PLANS)
    ingresses = [stage.ingress(i, config) for i in range(2)]
    for ingress in ingresses:
        await ingress.ready()
    tasks = []
    for i in range(REQUESTS):
        ingress = ingresses[i % 2]
        tasks.append(stage.ask(ingress, "payment-book", "plus", budget_s=4.0, customer=i, post=True))
        tasks.append(stage.ask(ingress, "ledger-read", "plus", budget_s=4.0, customer=i))
        tasks[-2:] = [asyncio.create_task(task) for task in tasks[-2:]]
        await asyncio.sleep(0.2)
    results = await asyncio.gather(*tasks)
    served = sum(result.status == 200 for _, result in results)
    if served < len(results) / 2:
        raise RuntimeError(f"only {served} of {len(results)} requests were served")
    return [
        f"{call} ran {len(times)} times, {times[-1] - times[0]:.3f} s apart"
        for call, times in runs.items()
        if len(times) > 1
    ]


play(Path(__file__), act)
