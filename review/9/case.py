"""An ingress is restarted while discovery is down; a server began to drain just before the outage."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import LAG_S, OPEN_PLAN, SLACK_S, Backend, Ingress, Request, Stage, answer, play, settings, trouble

OUTAGE_S = 8.0
GRACE_S = 0.25
TOLD_S = 6.0  # the latest time that any page gives; for a new process the agent's list counts at once
SPACING_S = 0.025
CLASSES = [
    {"name": "quote", "aim": 1500.0, "hard_limit": 6000.0, "points": 3.0, "idempotency": "pure"},
    {"name": "switch", "aim": 3000.0, "hard_limit": 8000.0, "points": 9.0, "idempotency": "side_effect"},
]
DRAINING = 3  # of nine


async def act(stage: Stage) -> list[str]:
    """Ingress n0 is killed, servers begin to drain, discovery goes down, and n0 starts again."""
    came: list[tuple[float, str, str]] = []
    by_n0: set[str] = set()

    async def handler(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        came.append((request.came_at, backend.name, request.call))
        await asyncio.sleep(0.15)
        return answer(200, request.call.encode())

    await stage.open([handler] * 9)
    config = settings(CLASSES, [OPEN_PLAN], safety={"stop_sending_within": GRACE_S * 1000})
    last_had = stage.discovery.whole()
    first, other = (stage.ingress(i, config, last_had) for i in range(2))
    for ingress in (first, other):
        await ingress.ready()
    tasks: list[asyncio.Task[int]] = []

    async def send(seconds: float, *ingresses: int) -> None:
        until = stage.record.now() + seconds
        while stage.record.now() < until:
            i = len(tasks)
            ingress = (first, other)[ingresses[i % len(ingresses)]]
            tasks.append(asyncio.create_task(ask(ingress, i)))
            await asyncio.sleep(SPACING_S)

    async def ask(ingress: Ingress, i: int) -> int:
        post = i % 4 == 3
        call, result = await stage.ask(
            ingress, "switch" if post else "quote", "free", budget_s=6.0, customer=i % 50, post=post
        )
        if ingress is first:
            by_n0.add(call)
        return result.status

    await send(2.0, 0, 1)
    await asyncio.gather(*tasks)
    first.end()
    stage.record("killed", ingress=first.name)
    drained_at = stage.record.now()
    for backend in stage.backends[:DRAINING]:
        backend.lifecycle = "leaving"
    stage.discovery.change(*stage.backends[:DRAINING])
    await send(0.7, 1)
    down_at = stage.record.now()
    if trouble():
        stage.discovery.go_down()
    started_at = stage.record.now()
    first.start()
    ready = asyncio.create_task(first.ready())
    while not ready.done():
        await send(0.1, 1)
    await ready
    ready_after = stage.record.now() - started_at
    while stage.record.now() < down_at + OUTAGE_S:
        await send(0.2, 0, 1)
    if trouble():
        stage.discovery.come_back()
    await send(2.0, 0, 1)
    statuses = await asyncio.gather(*tasks)
    served = statuses.count(200)
    stage.record("statuses", served=served, of=len(statuses), n0_ready_after_s=f"{ready_after:.3f}")
    if served < len(statuses) / 2:
        raise RuntimeError(f"only {served} of {len(statuses)} requests were served")
    draining = {backend.name for backend in stage.backends[:DRAINING]}
    strict = started_at + GRACE_S + SLACK_S + LAG_S
    lenient = max(strict, drained_at + TOLD_S + GRACE_S + SLACK_S + LAG_S)
    late = [(at, name, call) for at, name, call in came if name in draining and call in by_n0 and at > strict]
    stage.record("sends to draining servers", by_n0_after_its_start=len(late))
    return [
        f"{call} came to {name} {at - drained_at:.3f} s after the agent had been told that it drains"
        for at, name, call in late
        if at > lenient
    ]


play(Path(__file__), act)
