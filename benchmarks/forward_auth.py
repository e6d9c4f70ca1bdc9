"""Throughput and latency of forward-auth decisions, as ratios to a bare responder under the same load.

The bare responder reads each sub-request with the same parser and answers 200 with headers of the same size.
Both are pinned to one core; load generators, counter and token server run on others. `plain`: sub-requests
alone, with `form: decide`. `reported`: each sub-request is followed by its report, with `form: report`.
"""

from __future__ import annotations

import argparse
import gc
import os
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent))

from ingress import CUSTOMERS, ROUNDS, Processes, cpu_seconds, gateway_config, generate, load
from prefixes import SIZES, one_size

from tamarindfold.http1 import write
from tamarindfold.http1.requests import RequestReader

CONNECTIONS = 48
# unique for each request and generator: a repeated name would count as a repeat of the same request
REQUEST_NAME = b"n" + str(os.getpid()).encode() + b".%d.%d"


def sub_request(number: int, turn: int) -> list[bytes]:
    """A sub-request as Traefik sends it, on connection `number`."""
    return [
        write.request(
            "GET",
            b"/auth",
            b"gateway",
            [
                (b"authorization", b"Bearer tok-%d" % (number % CUSTOMERS)),
                (b"x-forwarded-method", b"GET"),
                (b"x-forwarded-uri", b"/quotes/7"),
                (b"x-forwarded-host", b"shop.example"),
                (b"x-forwarded-for", b"203.0.113.7"),
                (b"x-request-id", REQUEST_NAME % (number, turn)),
                (b"accept", b"application/json"),
                (b"user-agent", b"bench"),
            ],
        )
    ]


def sub_request_and_report(number: int, turn: int) -> list[bytes]:
    """A sub-request and its report."""
    report = b'{"request":"%s","status":200,"elapsed_ms":5.0}' % (REQUEST_NAME % (number, turn))
    return [*sub_request(number, turn), write.request("POST", b"/report", b"gateway", [], report)]


def serve_bare() -> None:
    """Answer every request with the same permit."""
    answer = write.response(
        200,
        [
            (b"tamarind-outcome", b"permitted"),
            (b"tamarind-request", b"n12345.12345"),
            (b"tamarind-instance", b"0"),
            (b"tamarind-customer", b"1234567890"),
            (b"tamarind-class", b"quote"),
            (b"tamarind-plan", b"bench"),
            (b"tamarind-units", b"1"),
            (b"tamarind-time-left", b"5970"),
            (b"tamarind-server", b"127.0.0.1:40000"),
        ],
    )

    def serve_connection(sock: socket.socket, _peer: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = RequestReader(16_384, 100, 262_144)
        while data := sock.recv(65536):
            reader.feed(data)
            while reader.ready:
                reader.ready.popleft()
                sock.sendall(answer)

    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)  # the same settings as the gateway
    server = StreamServer(("127.0.0.1", 0), serve_connection, backlog=1024)
    server.start()
    print(f"listening on 127.0.0.1:{server.server_port}", flush=True)
    gevent.wait()


def measure(seconds: float, folder: Path) -> dict[str, Any]:
    """Run the whole benchmark."""
    cores = sorted(os.sched_getaffinity(0))
    subject_core, other_cores = {cores[0]}, cores[1:] or cores
    load_cores = [{core} for core in other_cores[1:] or other_cores]
    processes = Processes()

    def start_standin(kind: str, config: dict[str, Any]) -> str:
        file = folder / f"{kind}.yaml"
        file.write_bytes(msgspec.yaml.encode(config))
        args = ["-m", "tamarindfold.cli.main", "standin", kind, "--config", str(file)]
        _, line = processes.start(args, {other_cores[0]})
        address: str = msgspec.json.decode(line)["address"]
        return address

    try:
        tokens = start_standin(
            "tokens",
            {
                "ledger": "/dev/null",
                "tokens": {f"tok-{i}": {"sub": f"c{i}", "plan": "bench"} for i in range(CUSTOMERS)},
            },
        )
        counter = start_standin("counter", {"ledger": "/dev/null"})
        subjects: list[tuple[str, str, Any, str]] = []
        bare_responder, line = processes.start([__file__, "--role", "bare"], subject_core)
        bare_address = line.removeprefix("listening on ")
        for name, form, role in (("plain", "decide", "ask"), ("reported", "report", "tell")):
            config = gateway_config([f"127.0.0.1:{40_000 + i}" for i in range(3)], tokens, counter) | {
                "fronts": ["forward-auth"],
                "plans": [{"name": "bench", "rate": 4_000, "burst": 8_000}],
                "forward": {"trusted": ["127.0.0.0/8"], "form": form, "most_permits": 200_000},
            }
            file = folder / f"{name}.yaml"
            file.write_bytes(msgspec.yaml.encode(config))
            child, line = processes.start(["-m", "tamarindfold.cli.main", "serve", str(file)], subject_core)
            subjects += [
                (f"bare_{name}", bare_address, bare_responder, role),
                (name, line.removeprefix("listening on "), child, role),
            ]
        rounds: dict[str, list[dict[str, Any]]] = {name: [] for name, *_ in subjects}
        for _, address, _, role in subjects:
            load(address, 1.0, CONNECTIONS, 0, load_cores, __file__, role)  # warm-up: connections and caches
        # alternating, so that a change of the machine's speed affects all subjects alike
        for _ in range(ROUNDS):
            for name, address, child, role in subjects:
                cpu_before = cpu_seconds(child.pid)
                round_s = seconds / ROUNDS * 1.25
                result = load(address, round_s, CONNECTIONS, 0, load_cores, __file__, role)
                result["cpu_us"] = (cpu_seconds(child.pid) - cpu_before) / (result["rps"] * round_s) * 1e6
                rounds[name].append(result)
        rate = median(run["rps"] for run in rounds["plain"]) / 2
        half_load: dict[str, list[dict[str, Any]]] = {name: [] for name, *_ in subjects[:2]}
        for _ in range(ROUNDS):
            for name, address, _, role in subjects[:2]:
                round_s = seconds / ROUNDS * 1.25
                half_load[name].append(load(address, round_s, CONNECTIONS, rate, load_cores, __file__, role))
    finally:
        processes.stop()

    def ratio(name: str, key: str) -> float:
        return round(
            median(a[key] / b[key] for a, b in zip(rounds[name], rounds[f"bare_{name}"], strict=True)), 3
        )

    def median_of(runs: list[dict[str, Any]], key: str) -> float:
        return round(float(median(run[key] for run in runs)), 3)

    lookup_ratios = {str(count): one_size(count)["ratio"] for count in SIZES}
    return {
        "throughput_ratio_to_bare_responder": ratio("plain", "rps"),
        "throughput_ratio_with_reports": ratio("reported", "rps"),
        "cpu_ratio_to_bare_responder": ratio("plain", "cpu_us"),
        "decisions_a_second": median_of(rounds["plain"], "rps"),
        "bare_a_second": median_of(rounds["bare_plain"], "rps"),
        "reported_a_second": median_of(rounds["reported"], "rps"),
        "rate_for_latency": round(rate),
        "p50_ms": median_of(half_load["plain"], "p50_ms"),
        "p99_ms": median_of(half_load["plain"], "p99_ms"),
        "bare_p99_ms": median_of(half_load["bare_plain"], "p99_ms"),
        "errors": {
            name: sum(run["errors"] for run in [*runs, *half_load.get(name, [])])
            for name, runs in rounds.items()
        },
        "lookup_ratio_to_scan": lookup_ratios,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--role", choices=("bare", "ask", "tell"))
    parser.add_argument("--address", default="")
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    if args.role == "bare":
        return serve_bare()
    if args.role is not None:
        messages = sub_request if args.role == "ask" else sub_request_and_report
        return generate(args.address, args.seconds, args.connections, args.rate, args.seed, messages)
    with tempfile.TemporaryDirectory() as folder:
        result = measure(args.seconds, Path(folder))
    for name, value in result.items():
        print(f"{name}: {value}")
    if args.json:
        print(msgspec.json.encode(result).decode())
    return None


if __name__ == "__main__":
    main()
