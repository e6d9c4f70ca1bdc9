"""The cost of an ingress on the platform: start-up time, CPU per request and memory, at given request rates.

The load is an open loop. The ingress is pinned to one core; stand-ins of the backends, of discovery and of
the counter run in another process.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import gevent
import msgspec
from gevent import socket

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from tamarindfold.http1.responses import ResponseReader  # noqa: E402
from tamarindfold.standins.counter import CounterStandinConfig  # noqa: E402
from tamarindfold.standins.platform import (  # noqa: E402
    BackendConfig,
    DiscoveryConfig,
    PlatformBackend,
    PlatformCounter,
    PlatformDiscovery,
)

BACKENDS = 9
CUSTOMERS = 2000
SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "index": 0,
    "quantum": 2.0,
    "zones": ["z"],
    "machine_types": ["m"],
    "locality": 0,
    "categories": [
        {"name": "quote", "aim": 1500.0, "hard_limit": 6000.0, "points": 3.0, "idempotency": "pure"},
        {"name": "switch", "aim": 3000.0, "hard_limit": 8000.0, "points": 9.0, "idempotency": "side_effect"},
    ],
    "plans": [{"name": "basic", "per_second": 2.0, "peak_units": 8.0}],
    "permissions": {
        "most_tries": 3,
        "cancel": True,
        "retry_after": True,
        "conn_idle": 30000.0,
        "dial_timeout": 250.0,
        "open_cap": 20000,
    },
    "safety": {
        "start_capacity": 0.2,
        "cold": 18000.0,
        "fall_multiple": 2.5,
        "overload_for": 3000.0,
        "stop_sending_within": 250.0,
    },
    "extra": {"has_counter": True, "count_wait": 30.0, "units_top": 4},
    "clients": {"marks_retry": False},
    "telemetry": {"via": "inline", "fields": ["backlog"]},
}


def configuration(listen: str, discovery: str, counter: str, known: dict[str, Any]) -> dict[str, Any]:
    """The configuration of an ingress. known: the server list that it starts with."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "counter": counter,
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": SETTINGS,
    }


def serve_environment(folder: Path, work_ms: float, listen: str) -> None:
    """Serve backends, discovery and counter, and write the ingress's configuration into the folder."""
    backends = [PlatformBackend(BackendConfig(seed=i, work_ms=work_ms)) for i in range(BACKENDS)]
    for backend in backends:
        backend.ledger.record = lambda *_args, **_fields: None  # type: ignore[method-assign]
        backend.start()
    counter = PlatformCounter(CounterStandinConfig())
    counter.ledger.record = lambda *_args, **_fields: None  # type: ignore[method-assign]
    counter.start()
    instances = [
        {
            "instanceId": f"s-{i}",
            "hostPort": b.address,
            "zone": "z",
            "machineType": "m",
            "cell": 0,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for i, b in enumerate(backends)
    ]
    discovery = PlatformDiscovery(DiscoveryConfig(instances=instances))
    discovery.start()
    known = {"generation": 41, "reset": True, "instances": instances}
    (folder / "config.json").write_bytes(
        msgspec.json.encode(configuration(listen, discovery.address, counter.address, known))
    )
    gevent.wait()


class Load:
    """Sends requests at a rate, on pooled connections.

    fresh: the fraction of requests on new connections. Requests without an answer count as status 0.
    """

    def __init__(
        self, address: tuple[str, int], rate: float, seconds: float, seed: int, fresh: float
    ) -> None:
        self.address, self.rate, self.seconds, self.fresh = address, rate, seconds, fresh
        self.random, self.idle = Random(seed), list[socket.socket]()
        self.statuses: Counter[int] = Counter()
        self.number = seed << 40

    def run(self) -> None:
        due, end = time.monotonic(), time.monotonic() + self.seconds
        while due < end:
            due += self.random.expovariate(self.rate)
            gevent.sleep(max(0.0, due - time.monotonic()))
            gevent.spawn(self._send)
        gevent.sleep(2)

    def _send(self) -> None:
        self.number += 1
        safe = self.random.random() < 0.75
        data = (
            f"{'GET' if safe else 'POST'} /api?key={self.random.randrange(CUSTOMERS):016x} HTTP/1.1\r\n"
            f"Host: origin.svc\r\nX-Call-Id: {self.number:016x}\r\n"
            f"X-Call-Class: {'quote' if safe else 'switch'}\r\nX-Contract: basic\r\nX-Budget: 3.000\r\n"
            f"X-Metering: units=1,spread=2,first=0\r\n"
            + ("\r\n" if safe else f"Content-Length: 200\r\n\r\n{'x' * 200}")
        ).encode()
        try:
            reuse = bool(self.idle) and self.random.random() >= self.fresh
            sock = self.idle.pop() if reuse else socket.create_connection(self.address)
            reader = ResponseReader(1 << 20)
            sock.sendall(data)
            reader.read(sock.recv)
            self.statuses[reader.status] += 1
            self.idle.append(sock)
        except OSError:
            self.statuses[0] += 1


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[140, 560])
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--work-ms", type=float, default=80)
    parser.add_argument("--fresh", type=float, default=0.0, help="fraction of requests on new connections")
    parser.add_argument("--wrap", nargs="*", default=[], help="command line to run the ingress under")
    parser.add_argument("--world", type=Path, help="internal: serve the environment with this folder")
    args = parser.parse_args()
    listen = ("127.0.0.9", 19_000)
    if args.world:
        serve_environment(args.world, args.work_ms, f"{listen[0]}:{listen[1]}")
        return
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        environment = subprocess.Popen(
            [sys.executable, __file__, "--world", name, "--work-ms", str(args.work_ms)]
        )
        while not (folder / "config.json").exists():
            time.sleep(0.05)
        started_at = time.monotonic()
        ingress = subprocess.Popen(
            ["taskset", "-c", "0", *args.wrap, sys.executable, "-m", "tamarindfold.node"],
            cwd=ROOT,
            env=os.environ | {"RELAY_CONFIG": str(folder / "config.json")},
        )
        try:
            while True:
                try:
                    socket.create_connection(listen).close()
                    break
                except OSError:
                    time.sleep(0.005)
            print(
                f"up after {1000 * (time.monotonic() - started_at):.0f} ms, {_cpu_s(ingress.pid):.2f} CPU s, "
                f"{_rss_mb(ingress.pid):.1f} MB"
            )
            for turn, rate in enumerate(args.rates):
                load, cpu_before = Load(listen, rate, args.seconds, turn + 1, args.fresh), _cpu_s(ingress.pid)
                load.run()
                cpu_s, answered = _cpu_s(ingress.pid) - cpu_before, sum(load.statuses.values())
                print(
                    f"{rate:6.0f}/s: {1e6 * cpu_s / answered:.0f} us CPU a request, "
                    f"{cpu_s / args.seconds:.2f} of a core, {_rss_mb(ingress.pid):.1f} MB, "
                    f"answers {dict(load.statuses)}"
                )
        finally:
            ingress.terminate()
            ingress.wait(10)
            environment.terminate()


if __name__ == "__main__":
    main()
