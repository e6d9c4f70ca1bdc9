"""An ingress stands still now and then, and servers begin to drain meanwhile."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import OPEN_PLAN, SLACK_S, Backend, Request, Stage, answer, play, settings, trouble

STALLS = 12
GRACE_S = 0.25
SPACING_S = 0.02
CLASSES = [
    {"name": "quote", "aim": 1500.0, "hard_limit": 6000.0, "points": 3.0, "idempotency": "pure"},
    {"name": "switch", "aim": 3000.0, "hard_limit": 8000.0, "points": 9.0, "idempotency": "side_effect"},
]


async def act(stage: Stage) -> list[str]:
    """One of two ingresses stands still every three seconds; during each stall a server begins to drain."""
    came: list[tuple[float, str, str]] = []
    drained: dict[str, float] = {}

    async def handler(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        came.append((request.came_at, backend.name, request.call))
        await asyncio.sleep(0.15)
        return answer(200, request.call.encode())

    await stage.open([handler] * 20)
    config = settings(CLASSES, [OPEN_PLAN], safety={"stop_sending_within": GRACE_S * 1000})
    ingresses = [stage.ingress(i, config) for i in range(2)]
    for ingress in ingresses:
        await ingress.ready()
    tasks: list[asyncio.Task[tuple[str, object]]] = []

    async def send(seconds: float) -> None:
        until = stage.record.now() + seconds
        while stage.record.now() < until:
            i = len(tasks)
            post = i % 4 == 3
            asked = stage.ask(
                ingresses[i % 2],
                "switch" if post else "quote",
                "free",
                budget_s=6.0,
                customer=i % 50,
                post=post,
            )
            tasks.append(asyncio.create_task(asked))
            await asyncio.sleep(SPACING_S)

    await send(2.0)
    draw = random.Random(47)
    for stall in range(STALLS):
        stall_s, every_s, told_s = draw.uniform(1.5, 2.0), draw.uniform(2.5, 3.9), draw.uniform(0.1, 1.2)
        if trouble():
            ingresses[0].signal(signal.SIGSTOP)
        await send(told_s)
        backend = stage.backends[stall]
        backend.lifecycle = "leaving"
        drained[backend.name] = stage.record.now()
        stage.discovery.change(backend)
        await send(stall_s - told_s)
        if trouble():
            ingresses[0].signal(signal.SIGCONT)
        await send(every_s - stall_s)
    results = await asyncio.gather(*tasks)
    served = sum(result.status == 200 for _, result in results)
    stage.record("statuses", served=served, of=len(results))
    if served < len(results) / 2:
        raise RuntimeError(f"only {served} of {len(results)} requests were served")
    return [
        f"{call} came to {name} {at - drained[name]:.3f} s after discovery had told that it drains"
        for at, name, call in came
        if name in drained and at > drained[name] + GRACE_S + SLACK_S
    ]


play(Path(__file__), act)
