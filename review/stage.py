"""Stand-ins for the platform round an ingress, shared by the cases 6 to 10: standard library only.

One asyncio process plays the backends, discovery, the counter and the clients on loopback addresses. Each
ingress is a process of its own, started with the `run` line of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_S = 2.0  # discovery: an empty line while nothing changes
TIME_LIMIT_S = 110.0
READY_LIMIT_S = 30.0
SLACK_S = 0.05  # of every time limit on sockets
HELD_S = 0.15  # windows allow for an ingress that is held up for so long between its clock and a write
LAG_S = 0.05  # allowed for what the stand-ins themselves read or write late


def trouble() -> bool:
    """Whether the disruption of the case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="ascii", buffering=1)

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def __call__(self, event: str, **fields: object) -> float:
        now = self.now()
        self.file.write(f"{now:9.4f} {event}" + "".join(f" {k}={v}" for k, v in fields.items()) + "\n")
        return now


@dataclass
class Request:
    """A request as a stand-in has read it; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    came_at: float = 0.0

    @property
    def call(self) -> str:
        """The request's id."""
        return self.headers.get("x-call-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request of a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, body)


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """A complete answer with its length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A listener on a free port of a loopback address."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connected, HOST, port, backlog=256)
        host, bound = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


Handler = Callable[["Backend", Request, asyncio.StreamWriter], Awaitable[bytes | None]]


class Backend(Server):
    """A backend: `handler` gives the answer's bytes, or None if it has ended the connection itself."""

    def __init__(self, name: str, handler: Handler, record: Record) -> None:
        super().__init__()
        self.name, self.handler, self.record = name, handler, record
        self.lifecycle = "active"
        self.started_at_ms = 0.0

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "hall-a",
            "machineType": "std-2c",
            "cell": 0,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            request.came_at = self.record("came", backend=self.name, id=request.call, to=request.target)
            response = await self.handler(self, request, writer)
            if response is None:
                return
            writer.write(response)
            await writer.drain()


class Discovery(Server):
    """The agent of discovery: the whole list, and a watch with changes and empty lines."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record, self.generation = record, 41
        self.instances: dict[str, dict[str, Any]] = {}
        self.watches: set[asyncio.Queue[bytes]] = set()
        self.answer_delay_s = 0.0  # slow discovery: a call is answered so much later
        self.down = False  # silent: nothing is sent to anybody
        self.up = asyncio.Event()
        self.up.set()

    def line(self, whole: bool, instances: list[dict[str, Any]]) -> bytes:
        """One line of the list."""
        message = {"generation": self.generation, "reset": whole, "instances": instances}
        return json.dumps(message).encode() + b"\n"

    def whole(self) -> bytes:
        """The whole list in one line."""
        return self.line(True, list(self.instances.values()))

    def change(self, *backends: Backend) -> None:
        """Discovery has a change, and writes it to all open watches."""
        self.generation += 1
        entries = [backend.entry() for backend in backends]
        for entry in entries:
            self.instances[entry["instanceId"]] = entry
            self.record(
                "listed",
                backend=entry["instanceId"],
                lifecycle=entry["lifecycle"],
                generation=self.generation,
            )
        for watch in self.watches:
            watch.put_nowait(self.line(False, entries))

    def go_down(self) -> None:
        """From now on it is silent."""
        self.up.clear()
        self.record("discovery down")

    def come_back(self) -> None:
        """It speaks again; what waits is answered."""
        self.up.set()
        self.record("discovery back")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            called = self.record("discovery called", target=request.target)
            await asyncio.sleep(self.answer_delay_s)
            await self.up.wait()
            if "watch=1" not in request.target:
                writer.write(answer(200, self.whole()))
                continue
            await self._watch(reader, writer, request.target, called)
            return

    async def _watch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str, called: float
    ) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        known = target.endswith(f"from={self.generation}")
        queue.put_nowait(self.line(False, []) if known else self.whole())
        self.watches.add(queue)
        closed = asyncio.create_task(reader.read(1))
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            first = True
            while not closed.done():
                try:
                    line = await asyncio.wait_for(queue.get(), HEARTBEAT_S)
                except TimeoutError:
                    line = b"\n"
                await self.up.wait()
                if closed.done() or writer.transport.is_closing():
                    break
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                if first:
                    first = False
                    self.record("watch answered", after_s=f"{self.record.now() - called:.3f}")
        finally:
            closed.cancel()
            self.watches.discard(queue)


class Counter(Server):
    """The counter: ADDGET, PING, CLIENT and SELECT over RESP2; `silent` holds all answers back."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.totals: dict[bytes, tuple[float, float]] = {}  # total, and when the name ends
        self.speaks = asyncio.Event()
        self.speaks.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            count = int((await reader.readuntil(b"\r\n"))[1:])
            words = []
            for _ in range(count):
                length = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(length + 2))[:-2])
            await self.speaks.wait()
            writer.write(self._reply(words))
            await writer.drain()

    def _reply(self, words: list[bytes]) -> bytes:
        verb = words[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb != b"ADDGET" or len(words) != 4:
            return b"-ERR no such call\r\n"
        now = time.monotonic()
        total, ends = self.totals.get(words[1], (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + min(60_000, int(words[3])) / 1000
        total += float(words[2])
        self.totals[words[1]] = total, ends
        text = b"%.7g" % total
        return b"$%d\r\n%s\r\n" % (len(text), text)


@dataclass
class Answer:
    """What a client got: the status is 0 if the connection ended or its time was up without an answer."""

    status: int
    body: bytes
    sent_at: float
    ended_at: float
    headers: dict[str, str] = field(default_factory=dict)


class Ingress:
    """One ingress: a process started with the `run` line of the deploy file."""

    def __init__(self, stage: Stage, index: int, settings: dict[str, Any], known: bytes | None) -> None:
        self.stage, self.index, self.settings, self.known = stage, index, settings, known
        self.name = f"n{index}"
        self.address = f"{HOST}:{free_port()}"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        stage = self.stage
        folder = stage.folder / self.name
        folder.mkdir(exist_ok=True)
        config = {
            "name": self.name,
            "listen": self.address,
            "discovery": stage.discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": stage.counter.address,
            "known": json.loads(self.known) if self.known else None,
            "settings": self.settings | {"index": self.index},
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="ascii")
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(folder),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": stage.discovery.address,
            "RELAY_CONFIG": str(path),
        }
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        with (folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        stage.record("ingress started", ingress=self.name, pid=self.process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.stage.record("signal", ingress=self.name, number=signal.Signals(number).name)

    def end(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self) -> None:
        """Wait until it answers GET /health/ready with 200."""
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.socket_address())
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                head = await reader.readuntil(b"\r\n")
                writer.close()
                if b" 200 " in head:
                    self.stage.record("ingress ready", ingress=self.name)
                    return
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} is not ready after {READY_LIMIT_S} s")

    def socket_address(self) -> tuple[str, int]:
        """Host and port."""
        host, _, port = self.address.partition(":")
        return host, int(port)


class CannotRunError(Exception):
    """The case could not run."""


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


def settings(classes: list[dict[str, Any]], plans: list[dict[str, Any]], **groups: Any) -> dict[str, Any]:
    """Settings of a small deployment, in the nested form of the configuration; `groups` override parts."""
    base: dict[str, Any] = {
        "balancers": 2,
        "categories": classes,
        "clients": {"marks_retry": False},
        "discovery": "push",
        "extra": {"cost_after": False, "count_wait": 50.0, "has_counter": True, "units_top": 8},
        "family": "gate",
        "locality": 0,
        "machine_types": ["std-2c"],
        "permissions": {
            "cancel": True,
            "conn_idle": 30_000.0,
            "dial_timeout": 250.0,
            "most_tries": 3,
            "open_cap": 20_000,
            "parallel_tries": False,
            "probes": False,
            "retry_after": True,
            "max_retry_after": 500.0,
        },
        "plans": plans,
        "quantum": 2.0,
        "safety": {
            "cold": 15_000.0,
            "fall_multiple": 2.0,
            "grace_to_answer": 8.0,
            "overload_for": 3_000.0,
            "start_capacity": 0.2,
            "stop_sending_within": 500.0,
        },
        "telemetry": {"via": "off"},
        "zones": ["hall-a"],
    }
    for name, value in groups.items():
        base[name] = base[name] | value if isinstance(value, dict) else value
    return base


OPEN_PLAN = {"name": "free", "per_second": 0.0, "peak_units": 0.0}  # a plan without a quota


class Stage:
    """The record, the stand-ins and the ingresses of one case; ends all processes that it started."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.discovery, self.counter = Discovery(self.record), Counter(self.record)
        self.backends: list[Backend] = []
        self.ingresses: list[Ingress] = []
        self.calls = 0
        self.asked: dict[str, tuple[int, int]] = {}  # customer and units of each request

    async def open(self, handlers: list[Handler]) -> None:
        """Start the stand-ins: a backend for each handler."""
        await self.discovery.start()
        await self.counter.start()
        for i, handler in enumerate(handlers):
            backend = Backend(f"s-{i}", handler, self.record)
            await backend.start()
            self.backends.append(backend)
            self.discovery.instances[backend.name] = backend.entry()

    def ingress(self, index: int, settings: dict[str, Any], known: bytes | None = None) -> Ingress:
        """Start an ingress; `known` is the list that it last had."""
        ingress = Ingress(self, index, settings, known or self.discovery.whole())
        self.ingresses.append(ingress)
        ingress.start()
        return ingress

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for ingress in self.ingresses:
            ingress.end()
        for path in sorted(self.folder.rglob("*"), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()
        self.folder.rmdir()

    async def ask(
        self,
        ingress: Ingress,
        cls: str,
        plan: str,
        *,
        budget_s: float,
        customer: int = 7,
        units: int = 1,
        spread: int = 2,
        first: int = 0,
        post: bool = False,
        body: bytes = b"",
        link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
    ) -> tuple[str, Answer]:
        """One request of a client on a connection of its own, or on `link`; the client waits `budget_s`."""
        self.calls += 1
        call = f"{self.calls:08x}{os.urandom(4).hex()}"
        self.asked[call] = customer, units
        head = [
            f"{'POST' if post else 'GET'} /api?key={customer:016x} HTTP/1.1",
            "Host: origin.svc",
            f"X-Call-Id: {call}",
            f"X-Call-Class: {cls}",
            f"X-Contract: {plan}",
            f"X-Budget: {budget_s:.3f}",
            f"X-Metering: units={units},spread={spread},first={first}",
        ]
        if post:
            head.append(f"Content-Length: {len(body)}")
        own = link is None
        reader, writer = link or await asyncio.open_connection(*ingress.socket_address())
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        sent = self.record("sent", ingress=ingress.name, id=call, cls=cls, units=units)
        result = Answer(0, b"", sent, sent)
        try:
            async with asyncio.timeout(budget_s + 0.5):
                text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first_line, *lines = text.rstrip("\r\n").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
                content = await reader.readexactly(int(headers.get("content-length", "0")))
                result = Answer(int(first_line.split()[1]), content, sent, 0.0, headers)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if own:
                writer.close()
        result.ended_at = self.record("answered", id=call, status=result.status)
        return call, result


def play(case: Path, act: Callable[[Stage], Awaitable[list[str]]]) -> None:
    """Run `act`, which gives the breaks of the rule that it saw, and exit with 1, 0 or 2."""
    case = case.resolve().parent
    stage = Stage(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes are ended on the way out
    try:
        stage.record("trouble", on=int(trouble()))
        breaks = asyncio.run(_limited(act, stage))
    except Exception as error:
        stage.record("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        code = 2
    else:
        for line in breaks:
            stage.record("BREAK", what=line)
        code = 1 if breaks else 0
        verdict = f"broken, {len(breaks)} times: {breaks[0]}" if breaks else "held"
        stage.record("verdict", rule=verdict)
        print(f"trouble {'on' if trouble() else 'off'}: the rule was {verdict}")
    finally:
        stage.close()
    sys.exit(code)


async def _limited(act: Callable[[Stage], Awaitable[list[str]]], stage: Stage) -> list[str]:
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await act(stage)
    finally:
        for server in (stage.discovery, stage.counter, *stage.backends):
            if server.server is not None:
                server.server.close()
        while rest := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)
