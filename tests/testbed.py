"""One ingress on the platform, in this process, with stand-ins for backends, discovery and the counter."""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
from gevent import socket
from rig import read_answer, wait_for
from test_platform import CONFIG, SETTINGS, VALID_HEADERS

from tamarindfold.node.server import Node
from tamarindfold.platform import configuration
from tamarindfold.standins.base import Fault
from tamarindfold.standins.counter import CounterStandinConfig
from tamarindfold.standins.platform import (
    BackendConfig,
    DiscoveryConfig,
    PlatformBackend,
    PlatformCounter,
    PlatformDiscovery,
)

PLANS = [
    {"name": "team", "per_second": 0.0, "peak_units": 0.0},
    {"name": "small", "per_second": 1.0, "peak_units": 2.0},
]


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


class PlatformTestbed:
    """An ingress on loopback sockets and the stand-ins that it uses."""

    def __init__(self, backends: int = 2, faults: list[Fault] | None = None, **changes: Any) -> None:
        self.backends = [
            PlatformBackend(BackendConfig(seed=i, faults=faults or [], **changes)) for i in range(backends)
        ]
        for backend in self.backends:
            backend.start()
        self.discovery = PlatformDiscovery(
            DiscoveryConfig(instances=[self.instance(i) for i in range(backends)])
        )
        self.counter = PlatformCounter(CounterStandinConfig())
        self.services: list[Any] = [self.discovery, self.counter]
        for service in self.services:
            service.start()
        self.config = CONFIG | {
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "settings": SETTINGS | {"plans": PLANS},
        }
        self.logged: list[str] = []
        self.node: Node | None = None
        self.opened: list[socket.socket] = []
        self.number = 0

    def instance(self, i: int, **changes: Any) -> dict[str, Any]:
        return {"instanceId": f"s-{i}", "hostPort": self.backends[i].address, "lifecycle": "active"} | changes

    def initial_list(self, generation: int) -> dict[str, Any]:
        """The list that an ingress is started with: all backends are active."""
        instances = [self.instance(i) for i in range(len(self.backends))]
        return {"generation": generation, "reset": True, "instances": instances}

    def run(self) -> Node:
        """Start the ingress; return once it has the list and a connection to the counter."""
        self.node = Node(
            configuration.read(msgspec.json.encode(self.config)), lambda event, **_: self.logged.append(event)
        )
        self.node.start()
        wait_for(lambda: self.node.core.fleet and self.node.counter.parts[0].pipeline.connected)
        return self.node

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.node.config.listen, timeout=10)
        self.opened.append(sock)
        return sock

    def request_bytes(self, cls: str = "quote", body: bytes = b"", **changes: str) -> bytes:
        self.number += 1
        headers = VALID_HEADERS | {
            "X-Call-Id": f"{self.number:016x}",
            "X-Call-Class": cls,
            "X-Budget": "3.000",
        }
        headers |= {name.replace("_", "-"): value for name, value in changes.items()}
        head = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        method, length = ("GET", "") if cls == "quote" else ("POST", f"Content-Length: {len(body)}\r\n")
        return f"{method} /api?key=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n{head}{length}\r\n".encode() + body

    def ask(self, sock: socket.socket | None = None, **changes: Any) -> Any:
        sock = sock or self.connect()
        sock.sendall(self.request_bytes(**changes))
        return read_answer(sock)

    def received(self) -> list[dict[str, Any]]:
        """The requests that the backends have received."""
        return [entry for backend in self.backends for entry in backend.ledger.entries_of_kind("came")]

    def stop(self) -> None:
        for sock in self.opened:
            sock.close()
        if self.node is not None:
            self.node.listener.close()
            gevent.killall(self.node.greenlets)
            self.node.watch.stop()
            self.node.counter.stop()
            self.node.timers.stop()
        for standin in [*self.backends, *self.services]:
            standin.stop()
