"""Throughput and latency of the gateway, compared with a bare proxy and with direct connections.

All are measured in the same run under the same load. The gateway and the bare proxy ("hop") are pinned
to one core; load generators and servers run on others. Throughput is measured in a closed loop. Latency is
measured in an open loop at half of the gateway's throughput, from the time at which each request was due.
"""

from __future__ import annotations

import argparse
import gc
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).parent.parent))

from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.http1 import write
from tamarindfold.http1.requests import RequestReader
from tamarindfold.http1.responses import ResponseReader
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.ingress.pool import Pool

CUSTOMERS = 200
GENERATORS = 3
SERVERS = 3
CONNECTIONS = 48
ROUNDS = 5
WARM_UP_SHARE = 0.2  # of a run: its results are not counted
CLASSES = [{"name": "quote", "aim_ms": 1500, "deadline_ms": 6000, "worth": 3, "effect": "safe"}]


# ---- the bare proxy: the same parser and connection pool, no decisions


def serve_hop(servers: list[str]) -> None:
    """Forward requests to the servers in turn, and their answers back."""
    pool = Pool(60_000, 512, 4096, 1000, "", 1 << 20, SteadyClock().now)
    backends = [backend_id(*split_address(s, "server")) for s in servers]
    next_backend = 0

    def serve_connection(sock: socket.socket, _peer: object) -> None:
        nonlocal next_backend
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = RequestReader(16_384, 100, 262_144)
        while data := sock.recv(65536):
            reader.feed(data)
            while reader.ready:
                request = reader.ready.popleft()
                next_backend = (next_backend + 1) % len(backends)
                connection = pool.acquire_idle(backends[next_backend]) or pool.connect(
                    backends[next_backend], split_address(servers[next_backend], "server"), 1.0
                )
                answer = connection.reader
                answer.begin()
                forwarded = [h for h in request.headers if h[0] != b"host" and h[0] not in write.HOP_BY_HOP]
                connection.sock.sendall(
                    write.request(request.method, request.target, b"server", forwarded, request.body)
                )
                answer.read(connection.sock.recv)
                headers = [h for h in answer.headers if h[0] not in write.HOP_BY_HOP]
                pool.release(connection)
                sock.sendall(write.response(answer.status, headers, answer.body))

    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)  # the same settings as the gateway
    server = StreamServer(("127.0.0.1", 0), serve_connection, backlog=1024)
    server.start()
    print(f"listening on 127.0.0.1:{server.server_port}", flush=True)
    gevent.wait()


# ---- load


def quote(number: int, _turn: int) -> list[bytes]:
    """The requests of one turn on connection `number`: a single quote."""
    return [
        write.request(
            "GET",
            b"/quotes/7",
            b"gateway",
            [
                (b"authorization", b"Bearer tok-%d" % (number % CUSTOMERS)),
                (b"accept", b"application/json"),
                (b"user-agent", b"bench"),
                (b"tamarind-units", b"1"),
            ],
        )
    ]


def generate(
    address: str,
    seconds: float,
    connections: int,
    rate: float,
    seed: int,
    messages: Callable[[int, int], list[bytes]] = quote,
) -> None:
    """Send requests, then print a JSON object: counts, measured seconds and the latencies in microseconds.

    A turn sends the requests of `messages` one after the other; its latency is that of the first. rate: turns
    per second in an open loop; 0: a closed loop.
    """
    target = split_address(address, "target")
    histogram = HdrHistogram(1, 60_000_000, 3)
    served = errors = 0
    start = time.monotonic() + 0.2
    until = start + seconds
    warm_at = start + seconds * WARM_UP_SHARE

    def run_connection(number: int) -> None:
        nonlocal served, errors
        reader = ResponseReader(1 << 20)
        turn = 0
        with socket.create_connection(target) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            due = start + (number / rate if rate else 0.0)
            while True:
                now = time.monotonic()
                if due > now:
                    gevent.sleep(due - now)
                if time.monotonic() >= until:
                    return
                turn += 1
                end = 0.0
                for data in messages(seed * connections + number, turn):
                    reader.begin()
                    sock.sendall(data)
                    reader.read(sock.recv)
                    errors += reader.status != 200
                    end = end or time.monotonic()
                if reader.status == 200 and end >= warm_at:
                    served += 1
                    histogram.record_value(max(1, int((end - (due if rate else now)) * 1e6)))
                due = due + connections / rate if rate else end

    gevent.joinall([gevent.spawn(run_connection, i) for i in range(connections)], raise_error=True)
    print(
        msgspec.json.encode(
            {
                "served": served,
                "errors": errors,
                "seconds": until - warm_at,
                "histogram": histogram.encode().decode(),
            }
        ).decode(),
        flush=True,
    )


# ---- processes


class Processes:
    """Child processes; `stop` kills all that were started."""

    def __init__(self) -> None:
        self.children: list[subprocess.Popen[str]] = []

    def start(self, args: list[str], cores: set[int]) -> tuple[subprocess.Popen[str], str]:
        """Start Python with these arguments on these cores; returns the process and its first output line."""
        child = subprocess.Popen([sys.executable, *args], stdout=subprocess.PIPE, stderr=None, text=True)
        self.children.append(child)
        os.sched_setaffinity(child.pid, cores)
        assert child.stdout is not None
        return child, child.stdout.readline().strip()

    def stop(self) -> None:
        for child in self.children:
            child.kill()
            child.wait()


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def load(
    address: str,
    seconds: float,
    connections: int,
    rate: float,
    cores: list[set[int]],
    script: str = __file__,
    role: str = "load",
) -> dict[str, Any]:
    """Run all generators at once, each on one of the core sets; returns throughput, errors and latencies."""
    children = []
    for i in range(GENERATORS):
        child = subprocess.Popen(
            [
                sys.executable,
                script,
                "--role",
                role,
                "--address",
                address,
                "--seconds",
                str(seconds),
                "--connections",
                str(connections // GENERATORS),
                "--rate",
                str(rate / GENERATORS),
                "--seed",
                str(i),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        os.sched_setaffinity(child.pid, cores[i % len(cores)])
        children.append(child)
    histogram = HdrHistogram(1, 60_000_000, 3)
    served = errors = 0
    measured_s = 0.0
    for child in children:
        out, _ = child.communicate(timeout=seconds + 30)
        result = msgspec.json.decode(out)
        served, errors, measured_s = served + result["served"], errors + result["errors"], result["seconds"]
        histogram.decode_and_add(result["histogram"])
    return {"rps": served / measured_s, "errors": errors} | {
        f"p{p:g}_ms": histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)
    }


def gateway_config(servers: list[str], tokens: str, counter: str) -> dict[str, Any]:
    return {
        "classes": CLASSES,
        "routes": [{"method": "GET", "path": "/quotes/", "class": "quote"}],
        "plans": [{"name": "bench", "rate": 400, "burst": 800}],
        "introspection": {
            "url": f"http://{tokens}/introspect",
            "client_id": "gateway",
            "client_secret": "gateway-secret",
            "max_age_ms": 600_000,
        },
        "counter": {"parts": [counter]},
        "upstream": {"idle_per_server": 512},
        "fleet": {"static": [{"address": s} for s in servers]},
        "log": {"level": "error"},
    }


def idle_memory(child: subprocess.Popen[str], address: str, count: int) -> float:
    """Memory of the gateway, in bytes, per idle connection that has served one request."""
    target = split_address(address, "gateway")
    before = rss_bytes(child.pid)
    socks = []
    data = write.request("GET", b"/quotes/7", b"gateway", [(b"authorization", b"Bearer tok-1")])
    for _ in range(count):
        sock = socket.create_connection(target)
        sock.sendall(data)
        sock.recv(65536)
        socks.append(sock)
    bytes_each = (rss_bytes(child.pid) - before) / count
    for sock in socks:
        sock.close()
    return bytes_each


def open_memory(child: subprocess.Popen[str], address: str, count: int) -> float:
    """Memory of the gateway, in bytes, per request that waits for a server."""
    target = split_address(address, "gateway")
    before = rss_bytes(child.pid)
    socks = []
    for i in range(count):
        sock = socket.create_connection(target)
        sock.sendall(
            write.request(
                "GET", b"/quotes/7", b"gateway", [(b"authorization", b"Bearer tok-%d" % (i % CUSTOMERS))]
            )
        )
        socks.append(sock)
    time.sleep(1.0)
    bytes_each = (rss_bytes(child.pid) - before) / count
    for sock in socks:
        sock.close()
    return bytes_each


def measure(seconds: float, folder: Path) -> dict[str, Any]:
    """Run the whole benchmark."""
    cores = sorted(os.sched_getaffinity(0))
    subject_core, other_cores = {cores[0]}, cores[1:] or cores
    server_core_count = max(1, len(other_cores) // 2)
    server_cores = set(other_cores[:server_core_count])
    load_cores = [{core} for core in (other_cores[server_core_count:] or other_cores)]
    processes = Processes()

    def start_standin(kind: str, config: dict[str, Any]) -> str:
        file = folder / f"{kind}-{len(processes.children)}.yaml"
        file.write_bytes(msgspec.yaml.encode(config))
        args = ["-m", "tamarindfold.cli.main", "standin", kind, "--config", str(file)]
        _, line = processes.start(args, server_cores)
        address: str = msgspec.json.decode(line)["address"]
        return address

    def start_gateway(servers: list[str]) -> tuple[subprocess.Popen[str], str]:
        file = folder / f"gateway-{len(processes.children)}.yaml"
        file.write_bytes(msgspec.yaml.encode(gateway_config(servers, tokens, counter)))
        child, line = processes.start(["-m", "tamarindfold.cli.main", "serve", str(file)], subject_core)
        return child, line.removeprefix("listening on ")

    try:
        tariff_config = {
            "ledger": "/dev/null",
            "default_work_ms": 0.01,
            "sigma": 0.0,
            "cores": 64,
            "queue": 100_000,
        }
        servers = [start_standin("tariff", tariff_config) for _ in range(SERVERS)]
        hanging_server = start_standin("tariff", tariff_config | {"faults": [{"kind": "hang"}]})
        tokens = start_standin(
            "tokens",
            {
                "ledger": "/dev/null",
                "tokens": {f"tok-{i}": {"sub": f"c{i}", "plan": "bench"} for i in range(CUSTOMERS)},
            },
        )
        counter = start_standin("counter", {"ledger": "/dev/null"})
        hop, line = processes.start([__file__, "--role", "hop", "--servers", ",".join(servers)], subject_core)
        hop_address = line.removeprefix("listening on ")
        gateway, gateway_address = start_gateway(servers)
        out: dict[str, Any] = {}
        subjects = (
            ("direct", None, servers[0]),
            ("hop", hop, hop_address),
            ("gateway", gateway, gateway_address),
        )
        rounds: dict[str, list[dict[str, Any]]] = {name: [] for name, _, _ in subjects}
        for _, _, address in subjects:
            load(address, 1.0, CONNECTIONS, 0, load_cores)  # warm-up: connections and caches
        # alternating, so that a change of the machine's speed affects all subjects alike
        for _ in range(ROUNDS):
            for name, child, address in subjects:
                cpu_before = cpu_seconds(child.pid) if child else 0.0
                result = load(address, seconds / ROUNDS * 1.25, CONNECTIONS, 0, load_cores)
                if child:
                    requests = result["rps"] * seconds / ROUNDS * 1.25
                    result["cpu_us"] = (cpu_seconds(child.pid) - cpu_before) / requests * 1e6
                rounds[name].append(result)
        for name, runs in rounds.items():
            out[name] = {key: median(run[key] for run in runs) for key in runs[0]}
        throughput_ratio = median(
            g["rps"] / h["rps"] for g, h in zip(rounds["gateway"], rounds["hop"], strict=True)
        )
        rate = out["gateway"]["rps"] / 2
        half_load: dict[str, list[dict[str, Any]]] = {name: [] for name, _, _ in subjects}
        for _ in range(ROUNDS):
            for name, _, address in subjects:
                half_load[name].append(load(address, seconds / ROUNDS * 1.25, CONNECTIONS, rate, load_cores))
        for name, runs in half_load.items():
            out[f"{name}_at_half"] = {key: median(run[key] for run in runs) for key in runs[0]}
        idle_bytes = idle_memory(gateway, gateway_address, 2000)
        waiting_gateway, waiting_address = start_gateway([hanging_server])
        open_bytes = open_memory(waiting_gateway, waiting_address, 1000)
    finally:
        processes.stop()
    added = {
        p: out["gateway_at_half"][p] - out["direct_at_half"][p] for p in ("p50_ms", "p99_ms", "p99.9_ms")
    }
    return {
        "throughput_ratio_to_bare_hop": round(throughput_ratio, 3),
        "cpu_ratio_to_bare_hop": round(out["gateway"]["cpu_us"] / out["hop"]["cpu_us"], 3),
        "gateway_rps_one_core": round(out["gateway"]["rps"]),
        "hop_rps_one_core": round(out["hop"]["rps"]),
        "added_p50_ms": round(added["p50_ms"], 3),
        "added_p99_ms": round(added["p99_ms"], 3),
        "added_p999_ms": round(added["p99.9_ms"], 3),
        "rate_for_latency": round(rate),
        "bytes_per_idle_connection": round(idle_bytes),
        "bytes_per_open_request": round(open_bytes),
        "runs": out,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--role", choices=("hop", "load"))
    parser.add_argument("--servers", default="")
    parser.add_argument("--address", default="")
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    if args.role == "hop":
        return serve_hop(args.servers.split(","))
    if args.role == "load":
        return generate(args.address, args.seconds, args.connections, args.rate, args.seed)
    with tempfile.TemporaryDirectory() as folder:
        result = measure(args.seconds, Path(folder))
    for name, value in result.items():
        if name != "runs":
            print(f"{name}: {value}")
    if args.json:
        print(msgspec.json.encode(result).decode())
    return None


if __name__ == "__main__":
    main()
