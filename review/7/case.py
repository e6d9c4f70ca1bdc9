"""Keyed requests are repeated over connections that come up late."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import (
    HELD_S,
    HOST,
    LAG_S,
    SLACK_S,
    Backend,
    Request,
    Stage,
    answer,
    play,
    reset,
    settings,
    trouble,
)

WINDOW_S = 3.0  # how long a repeat is dropped, from the first attempt that may have run
RESET_AFTER_S = 2.7  # from the request's last byte
PERIOD_S = 1.8  # a server's queue of new connections is full for a third of this
SHUT_S = 0.6
DIAL_TIMEOUT_MS = 1500.0
CLASSES = [
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
LASTS_S = 30.0
SPACING_S = 0.2
RESET_EVERY = 4  # one payment in so many
TCP_INFO_LAST_DATA_RECV = 52  # offset in struct tcp_info: milliseconds since the last data came


class LateBackend(Backend):
    """Its new connections come up late while its queue of them is full: the kernel then drops the SYN.

    The peer's kernel sends it again 1 s later. Each connection serves one request.
    """

    async def start(self, port: int = 0) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, port))
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.filler: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.let_in()

    def let_in(self) -> None:
        """Accept connections as they come."""
        self.listener.listen(128)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def shut(self) -> None:
        """Fill the queue of new connections."""
        asyncio.get_running_loop().remove_reader(self.listener)
        self._accept()
        self.listener.listen(0)
        self.filler = socket.socket()
        self.filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.filler.connect(self.listener.getsockname())

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, peer = self.listener.accept()
                if self.filler is not None and peer == self.filler.getsockname():
                    sock.close()
                    self.filler.close()
                    self.filler = None
                    continue
                sock.setblocking(False)
                task = asyncio.create_task(self._begin(sock))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _begin(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        await self._connected(reader, writer)

    async def doors(self) -> None:
        """Be shut for a third of the time."""
        await asyncio.sleep(random.uniform(0, PERIOD_S))
        while True:
            self.shut()
            await asyncio.sleep(SHUT_S)
            self.let_in()
            await asyncio.sleep(PERIOD_S - SHUT_S)


def ms_since_data(writer: asyncio.StreamWriter) -> float:
    """Milliseconds since the kernel took the last bytes of this connection."""
    info = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
    return float(struct.unpack_from("I", info, TCP_INFO_LAST_DATA_RECV)[0])


async def act(stage: Stage) -> list[str]:
    """Send payments; every fourth one runs at once, and its connection is reset 2.7 s later."""
    first_came: dict[str, float] = {}  # the servers share their memory of keys
    runs: dict[str, list[float]] = {}
    payments = 0

    async def handler(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        nonlocal payments
        came = request.came_at - ms_since_data(writer) / 1000  # the server may have read it late
        first = first_came.get(request.call)
        if first is not None and came - first <= WINDOW_S + HELD_S + SLACK_S + LAG_S:
            stage.record("repeat dropped", id=request.call, after_s=f"{came - first:.3f}")
            return answer(200, request.call.encode(), "Connection: close")
        first_came.setdefault(request.call, came)
        runs.setdefault(request.call, []).append(came)
        stage.record("ran", id=request.call, backend=backend.name)
        payments += first is None
        if trouble() and first is None and payments % RESET_EVERY == 0:
            await asyncio.sleep(RESET_AFTER_S)
            stage.record("reset", id=request.call, backend=backend.name)
            reset(writer)
            return None
        await asyncio.sleep(0.05)
        return answer(200, request.call.encode(), "Connection: close")

    await stage.discovery.start()
    await stage.counter.start()
    for i in range(6):
        backend = LateBackend(f"s-{i}", handler, stage.record)
        await backend.start()
        stage.backends.append(backend)
        stage.discovery.instances[backend.name] = backend.entry()
    config = settings(CLASSES, PLANS, permissions={"dial_timeout": DIAL_TIMEOUT_MS})
    ingresses = [stage.ingress(i, config) for i in range(2)]
    for ingress in ingresses:
        await ingress.ready()
    late = [backend for backend in stage.backends if isinstance(backend, LateBackend)]
    shutting = [asyncio.create_task(backend.doors()) for backend in late] if trouble() else []
    tasks = []
    until = stage.record.now() + LASTS_S
    while stage.record.now() < until:
        i = len(tasks)
        asked = stage.ask(ingresses[i % 2], "payment-book", "plus", budget_s=4.0, customer=i, post=True)
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(SPACING_S)
    results = await asyncio.gather(*tasks)
    for task in shutting:
        task.cancel()
    served = sum(result.status == 200 for _, result in results)
    stage.record("statuses", served=served, of=len(results))
    if served < len(results) / 2:
        raise RuntimeError(f"only {served} of {len(results)} requests were served")
    return [
        f"{call} ran {len(times)} times, {times[-1] - times[0]:.3f} s apart"
        for call, times in runs.items()
        if len(times) > 1
    ]


play(Path(__file__), act)
