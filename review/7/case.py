"""Some answers are followed by a second copy of themselves, some milliseconds late."""

from __future__ import annotations

import asyncio
import fcntl
import random
import struct
import sys
import termios
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import (
    OPEN_PLAN,
    Backend,
    Record,
    Request,
    Server,
    Stage,
    answer,
    play,
    read_request,
    settings,
    trouble,
)

ONE_WAY_S = 0.001  # between an ingress and a server
LATE_S = 0.004  # the second copy, after the answer
SPOILT = 0.05  # the share of the answers that get a second copy
RATE = 140.0  # requests a second, at two ingresses
LASTS_S = 40.0
CLASSES = [
    {"name": "ledger-read", "aim": 1500.0, "hard_limit": 4000.0, "points": 2.0, "idempotency": "pure"},
]


class Wire(Server):
    """The network between the ingresses and a server: it delays every byte by ONE_WAY_S, each way."""

    def __init__(self, to: str) -> None:
        super().__init__()
        self.to = to

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.to.partition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(ONE_WAY_S, writer.write, data)
        finally:
            loop.call_later(ONE_WAY_S, writer.close)


class SpoilingBackend(Backend):
    """Sends a second copy of some answers, if nothing else waits on the connection."""

    def __init__(self, name: str, record: Record) -> None:
        async def unused(backend: Backend, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
            return None

        super().__init__(name, unused, record)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        descriptor = writer.get_extra_info("socket").fileno()
        request = await read_request(reader)
        while request is not None:
            self.record("came", backend=self.name, id=request.call)
            await asyncio.sleep(0.02)
            response = answer(200, request.call.encode())
            writer.write(response)
            following = asyncio.create_task(read_request(reader))
            if trouble() and random.random() < SPOILT:
                await asyncio.wait({following}, timeout=LATE_S)
                unread = struct.unpack("i", fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)))[0]
                if not following.done() and not unread:
                    self.record("second copy", backend=self.name, id=request.call)
                    writer.write(response)
            request = await following


async def act(stage: Stage) -> list[str]:
    """Clients ask for their own id, each on a connection of its own."""
    await stage.discovery.start()
    await stage.counter.start()
    for i in range(6):
        backend = SpoilingBackend(f"s-{i}", stage.record)
        await backend.start()
        wire = Wire(backend.address)
        await wire.start()
        backend.address = wire.address
        stage.backends.append(backend)
        stage.discovery.instances[backend.name] = backend.entry()
    config = settings(CLASSES, [OPEN_PLAN])
    ingresses = [stage.ingress(i, config) for i in range(2)]
    for ingress in ingresses:
        await ingress.ready()
    tasks = []
    until = stage.record.now() + LASTS_S
    while stage.record.now() < until:
        i = len(tasks)
        asked = stage.ask(ingresses[i % 2], "ledger-read", "free", budget_s=4.0, customer=i % 50)
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(random.expovariate(RATE))
    results = await asyncio.gather(*tasks)
    served = [(call, result) for call, result in results if result.status == 200]
    stage.record("statuses", served=len(served), of=len(results))
    if len(served) < len(results) / 2:
        raise RuntimeError(f"only {len(served)} of {len(results)} requests were served")
    return [
        f"{call} was served with {result.body.decode()}"
        for call, result in served
        if result.body != call.encode()
    ]


play(Path(__file__), act)
