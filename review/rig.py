"""Stand-ins for the platform around ingresses that run as processes of their own: standard library only.

Backends, discovery, the counter and clients follow the protocol page and do no more than it allows. All of
them run in one event loop and write what they saw to the record of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # a case that takes longer could not run
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Record:
    """The file that holds what was sent, answered and run; times are seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.zero = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.zero

    def write(self, event: str, **fields: Any) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")


# ---- HTTP


@dataclass
class Message:
    """A request or a response: first line, headers in lower case, body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a Content-Length or without a body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the stream ended within a head") from None
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines if line)}
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except asyncio.IncompleteReadError:
        raise ConnectionResetError("the stream ended within a body") from None
    return Message(first, headers, body)


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def no_delay(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Server:
    """A listening socket on loopback; each connection is served by `serve`."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        no_delay(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


# ---- the platform


@dataclass
class Arrival:
    """A request that has come whole to a backend."""

    at: float
    call: str
    backend: str
    budget: float
    message: Message
    cut: bool = False  # the ingress ended the connection before the answer


Behaviour = Callable[["Backend", Arrival], Awaitable[bytes]]


class Backend(Server):
    """Begins a request once its last byte has come; `behave` works on it and gives the answer's bytes."""

    def __init__(self, name: str, record: Record, behave: Behaviour) -> None:
        super().__init__()
        self.name, self.record, self.behave = name, record, behave
        self.zone, self.kind, self.lifecycle = "hall-a", "std-2c", "active"
        self.proxy_port = 0  # where ingresses reach it; 0: at its own port
        self.arrivals: list[Arrival] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            call = message.headers.get("x-call-id", "")
            if not call:
                writer.write(response(404))
                continue
            budget = float(message.headers.get("x-budget", "0"))
            arrival = Arrival(self.record.now(), call, self.name, budget, message)
            self.arrivals.append(arrival)
            self.record.write("came", backend=self.name, call=call, budget=budget)
            writer.write(await self.behave(self, arrival))
            await writer.drain()

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.proxy_port}" if self.proxy_port else self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 1,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery(Server):
    """The agent: a whole list first, changes as they come, an empty line every 2 s."""

    def __init__(self, record: Record, backends: list[Backend]) -> None:
        super().__init__()
        self.record, self.generation = record, 41
        self.instances = backends
        self.watches: set[asyncio.StreamWriter] = set()

    def drain(self, backends: list[Backend]) -> float:
        """Tell all watches at once that these servers leave; returns when the last one was told."""
        self.generation += 1
        for backend in backends:
            backend.lifecycle = "leaving"
        change = {
            "generation": self.generation,
            "reset": False,
            "instances": [backend.entry() for backend in backends],
        }
        line = json.dumps(change).encode() + b"\n"
        for writer in self.watches:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        told = self.record.now()
        self.record.write("told", leaving=",".join(b.name for b in backends), watches=len(self.watches))
        return told

    def whole_list(self) -> dict[str, Any]:
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [backend.entry() for backend in self.instances],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            line = json.dumps(self.whole_list()).encode() + b"\n"
            if "watch=1" not in message.first:
                writer.write(response(200, line))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            self.watches.add(writer)
            try:
                while True:
                    await asyncio.sleep(2.0)
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
            finally:
                self.watches.discard(writer)


class Counter(Server):
    """Adds in turn; a call takes `service_s`. While `silent` is set, a call is not answered."""

    def __init__(self, record: Record, service_s: float = 0.001) -> None:
        super().__init__()
        self.record, self.service_s, self.silent = record, service_s, False
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.turn = asyncio.Lock()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readline():
            words = []
            for _ in range(int(head[1:])):
                size = int((await reader.readline())[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            command = words[0].upper()
            if command == b"PING":
                answer = b"+PONG\r\n"
            elif command in (b"CLIENT", b"SELECT"):
                answer = b"+OK\r\n"
            elif command == b"ADDGET" and len(words) == 4:
                async with self.turn:
                    await asyncio.sleep(self.service_s)
                now = self.record.now()
                total, until = self.totals.get(words[1], (0.0, now + int(words[3]) / 1000))
                if now >= until:
                    total, until = 0.0, now + int(words[3]) / 1000
                total += float(words[2])
                self.totals[words[1]] = total, until
                self.record.write(
                    "counted", name=words[1].decode(), add=words[2].decode(), total=f"{total:g}"
                )
                text = f"{total:.7g}".encode()
                answer = b"$%d\r\n%s\r\n" % (len(text), text)
            else:
                answer = b"-ERR no such call\r\n"
            while self.silent:
                await asyncio.sleep(0.002)
            writer.write(answer)
            await writer.drain()


# ---- the ingresses


class Ingress:
    """One ingress, started by the `run` line of the deploy file."""

    def __init__(self, number: int, folder: Path, record: Record, settings: dict[str, Any]) -> None:
        self.number, self.name, self.record = number, f"n{number}", record
        self.folder = folder / self.name
        (self.folder / "tmp").mkdir(parents=True)
        self.port = free_port()
        self.settings = settings | {"index": number}
        self.process: subprocess.Popen[bytes] | None = None
        self.config: dict[str, Any] = {}

    def start(self, discovery: Discovery, counter: Counter, sockets: int = 512) -> None:
        self.config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "counter": counter.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 0.5, "memory_mb": 192, "sockets": sockets},
            "known": discovery.whole_list(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder / "tmp"),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(path),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.write("started", ingress=self.name, listen=self.config["listen"])

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.write("signal", ingress=self.name, signal=number.name)
        self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is not None and self.alive:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self) -> None:
        for _ in range(300):
            if not self.alive:
                raise CannotRun(f"{self.name} ended: {(self.folder / 'log').read_text()[-400:]}")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer is not None and " 200 " in answer.first:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready within 30 s")


# ---- clients


@dataclass
class Call:
    """A client's request and its answer; status 0: none."""

    call: str
    ingress: str
    cls: str
    customer: int
    units: float
    sent: float
    status: int = 0
    body: bytes = b""
    answered: float = 0.0
    note: str = ""


@dataclass
class Clients:
    """Keeps connections to the ingresses and opens more when all are busy; never repeats a request."""

    record: Record
    calls: list[Call] = field(default_factory=list)
    idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = field(default_factory=dict)
    numbers: Any = field(default_factory=lambda: itertools.count(1))

    async def ask(
        self,
        ingress: Ingress,
        cls: str,
        method: str,
        plan: str,
        customer: int,
        budget_s: float,
        units: float,
        spread: int,
        first: int,
        body: bytes = b"",
    ) -> Call:
        """Send one request and wait for its answer, at most a second longer than its time."""
        name = f"{next(self.numbers):08x}{random.getrandbits(32):08x}"
        call = Call(name, ingress.name, cls, customer, units, self.record.now())
        self.calls.append(call)
        lines = [
            f"{method} /api?key={customer:016x} HTTP/1.1",
            "Host: origin.svc",
            f"X-Call-Id: {name}",
            f"X-Call-Class: {cls}",
            f"X-Contract: {plan}",
            f"X-Budget: {budget_s:.3f}",
            f"X-Metering: units={units:g},spread={spread},first={first}",
            *([f"Content-Length: {len(body)}"] if method == "POST" else []),
        ]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        pool = self.idle.setdefault(ingress.name, [])
        connection = None
        try:
            while pool and connection is None:
                connection = pool.pop()
                if connection[0].at_eof() or connection[1].is_closing():
                    connection[1].close()
                    connection = None
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", ingress.port)
                no_delay(connection[1])
            reader, writer = connection
            call.sent = self.record.now()
            self.record.write(
                "asked", call=name, ingress=ingress.name, cls=cls, customer=customer, units=units
            )
            writer.write(data)
            answer = await asyncio.wait_for(read_message(reader), budget_s + 1.0)
            if answer is None:
                raise ConnectionResetError("closed without an answer")
            call.status, call.body = int(answer.first.split()[1]), answer.body
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                pool.append(connection)
        except (OSError, TimeoutError) as error:
            call.note = type(error).__name__
            if connection is not None:
                connection[1].close()
        call.answered = self.record.now()
        self.record.write("answered", call=name, status=call.status, note=call.note)
        return call


# ---- a whole case


@dataclass
class World:
    """What a case has started."""

    folder: Path
    record: Record
    backends: list[Backend]
    discovery: Discovery
    counter: Counter
    ingresses: list[Ingress]
    clients: Clients
    proxy: subprocess.Popen[bytes] | None = None
    lag_task: asyncio.Task[None] | None = None
    lag_s: float = 0.0  # the longest time by which the stand-ins themselves were late

    async def watch_lag(self) -> None:
        """Measure how late the stand-ins' event loop turns, so that its delay is not taken for another's."""
        while True:
            due = time.monotonic() + 0.005
            await asyncio.sleep(0.005)
            self.lag_s = max(self.lag_s, time.monotonic() - due)


def start_proxy(servers: list[Backend], delay_ms: float) -> subprocess.Popen[bytes]:
    """Start the proxy process in front of all servers."""
    command = [sys.executable, str(ROOT / "review" / "proxy.py"), str(delay_ms)]
    proxy = subprocess.Popen(
        [*command, *(str(server.port) for server in servers)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert proxy.stdout is not None
    for server, port in zip(servers, proxy.stdout.readline().split(), strict=True):
        server.proxy_port = int(port)
    return proxy


async def start(
    record: Record,
    folder: Path,
    settings: dict[str, Any],
    backends: int,
    behave: Behaviour,
    counter_service_s: float = 0.001,
    sockets: int = 512,
    delay_ms: float = 0.0,
    server_type: type[Backend] = Backend,
) -> World:
    """Start the stand-ins and as many ingresses as the settings say, and wait until these are ready.

    delay_ms: one way between the ingresses and the servers, by a proxy; a little more comes to it.
    """
    servers = [server_type(f"s-{n:02d}", record, behave) for n in range(backends)]
    for server in servers:
        server.zone, server.kind = settings["zones"][0], settings["machine_types"][0]
        await server.start()
    proxy = start_proxy(servers, delay_ms) if delay_ms else None
    discovery, counter = Discovery(record, servers), Counter(record, counter_service_s)
    await discovery.start()
    await counter.start()
    ingresses = [Ingress(n, folder, record, settings) for n in range(settings["balancers"])]
    world = World(folder, record, servers, discovery, counter, ingresses, Clients(record), proxy)
    try:
        for ingress in ingresses:
            ingress.start(discovery, counter, sockets)
        for ingress in ingresses:
            await ingress.wait_until_ready()
        world.lag_task = asyncio.create_task(world.watch_lag())
    except BaseException:
        stop(world)
        raise
    return world


def stop(world: World) -> None:
    """End every process and every server that the case has started."""
    if world.lag_task is not None:
        world.lag_task.cancel()
    world.record.write("stand-ins", late_by_s=f"{world.lag_s:.4f}")
    for ingress in world.ingresses:
        ingress.end()
        log = (ingress.folder / "log").read_text(errors="replace")
        if "Traceback" in log:
            world.record.write("log", ingress=ingress.name, has="Traceback")
        if folder := os.environ.get("KEEP_LOGS"):
            (Path(folder) / f"{ingress.name}.log").write_text(log)
    if world.proxy is not None:
        world.proxy.kill()
        world.proxy.communicate()
    for server in (*world.backends, world.discovery, world.counter):
        server.stop()


def main(case: Path, play: Callable[[Record, Path], Awaitable[list[str]]]) -> None:
    """Run a case; `play` returns the breaks that it found, one line each. Exits with 0, 1 or 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the processes are ended on the way out
    record = Record(case / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record.write("case", trouble=int(TROUBLE))
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, folder), LIMIT_S))  # type: ignore[arg-type]
        code = BROKEN if breaks else HELD
    except (CannotRun, TimeoutError, OSError) as error:
        breaks, code = [f"could not run: {type(error).__name__}: {error}"], NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for line in breaks:
        record.write("verdict", says=line)
        print(line)
    record.write("exit", code=code)
    record.file.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)


# ---- settings


def tariff_settings(balancers: int) -> dict[str, Any]:
    """The settings of a small deployment of `hobart-tariffs`, from its brief."""
    no_ceiling = {"cap_rate": 0.0, "ceiling_burst": 0.0, "tolerance": 0.0, "at_once": 0}
    settings = ledger_settings(balancers)
    category = {"group": "all", "dedup_window": 5000.0, "streaming": False}
    return settings | {
        "zones": ["hobart-dc"],
        "machine_types": ["std-3core"],
        "categories": [
            category
            | {"name": "quote", "aim": 1500.0, "hard_limit": 6000.0, "points": 3.0}
            | {"idempotency": "pure", "late_worth": 0.2},
            category
            | {"name": "switch", "aim": 3000.0, "hard_limit": 8000.0, "points": 9.0}
            | {"idempotency": "side_effect", "late_worth": 0.0},
        ],
        "plans": [
            no_ceiling
            | {"name": "basic", "per_second": 1.6, "peak_units": 7.0, "price": 0.88}
            | {"over_worth": 0.0, "excess_cost": 0.8},
            no_ceiling
            | {"name": "standard", "per_second": 3.0, "peak_units": 14.0, "price": 1.1}
            | {"over_worth": 0.3, "excess_cost": 0.0},
            no_ceiling
            | {"name": "premium", "per_second": 12.0, "peak_units": 26.0, "price": 1.6}
            | {"over_worth": 0.0, "excess_cost": 1.0},
        ],
        "permissions": settings["permissions"] | {"parallel_tries": False, "probes": True},
        "safety": settings["safety"] | {"cold": 18000.0, "fall_multiple": 2.5, "stop_sending_within": 250.0},
        "extra": settings["extra"] | {"count_wait": 30.0, "units_top": 4},
        "telemetry": {"fields": ["queue"], "via": "inline"},
    }


def ledger_settings(balancers: int, **plan_plus: float) -> dict[str, Any]:
    """The settings of a small deployment of `olten-campus`, in the middle of the ranges of its brief."""
    plus = {"per_second": 17.0, "peak_units": 32.0, "price": 1.6, "excess_cost": 0.6, "name": "plus"}
    plus |= {"cap_rate": 34.0, "ceiling_burst": 64.0, "tolerance": 8.0} | plan_plus
    no_ceiling = {"cap_rate": 0.0, "ceiling_burst": 0.0, "tolerance": 0.0, "over_worth": 0.0, "at_once": 0}
    return {
        "balancers": balancers,
        "quantum": 2.0,
        "family": "gate",
        "discovery": "push",
        "locality": 0,
        "zones": ["hall-a", "hall-b", "hall-c"],
        "machine_types": ["std-2c"],
        "weights": "off",
        "categories": [
            {
                "name": "ledger-read",
                "aim": 1500.0,
                "hard_limit": 4000.0,
                "points": 2.0,
                "idempotency": "pure",
                "group": "all",
                "dedup_window": 3000.0,
                "late_worth": 0.2,
                "streaming": False,
            },
            {
                "name": "payment-book",
                "aim": 1000.0,
                "hard_limit": 4000.0,
                "points": 5.0,
                "idempotency": "token",
                "group": "all",
                "dedup_window": 3000.0,
                "late_worth": 0.0,
                "streaming": False,
            },
            {
                "name": "vat-filing",
                "aim": 750.0,
                "hard_limit": 1500.0,
                "points": 5.0,
                "idempotency": "side_effect",
                "group": "all",
                "dedup_window": 3000.0,
                "late_worth": 0.0,
                "streaming": False,
            },
        ],
        "plans": [
            no_ceiling
            | {"name": "basis", "per_second": 1.6, "peak_units": 7.0, "price": 0.72, "excess_cost": 0.5},
            no_ceiling
            | {"name": "standard", "per_second": 4.2, "peak_units": 20.0, "price": 1.1, "excess_cost": 0.5},
            no_ceiling | plus,
        ],
        "clients": {"marks_retry": False},
        "permissions": {
            "cancel": True,
            "conn_idle": 30000.0,
            "dial_timeout": 250.0,
            "max_retry_after": 500.0,
            "may_tell": False,
            "most_tries": 3,
            "open_cap": 20000,
            "parallel_tries": True,
            "probes": False,
            "retry_after": True,
        },
        "safety": {
            "cold": 15000.0,
            "fall_multiple": 2.0,
            "grace_to_answer": 8.0,
            "must_ask_in": 10000.0,
            "overload_for": 3000.0,
            "start_capacity": 0.2,
            "stop_sending_within": 500.0,
        },
        "extra": {
            "cost_after": False,
            "count_wait": 50.0,
            "counter_price": 0.02,
            "has_counter": True,
            "meter": 0.0,
            "units_top": 8,
        },
        "telemetry": {"fields": [], "via": "off"},
    }
