"""Publishes the server list; followers get changes after a delay. The format: membership.feed."""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.queue import Queue
from msgspec import Struct

from tamarindfold.membership.feed import FeedMessage, ServerLine
from tamarindfold.standins.base import Fault, Standin, open_ledger


class FleetConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The initial list, and the delay with which changes are published."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    delay_ms: float = 100.0
    servers: list[ServerLine] = []
    faults: list[Fault] = []


class FleetServer(Standin):
    """Pushes the list to all followers; the admin call PUT /servers changes it."""

    fault_kinds = frozenset(("silent", "cut"))

    def __init__(self, config: FleetConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config, self.version = config, 1
        self.servers = {line.address: line for line in config.servers}
        self.followers: set[Queue] = set()

    def on_fault(self, fault: Fault) -> None:
        """`cut` resets every follower's connection."""
        if fault.kind == "cut":
            self.reset_connections()

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        updates: Queue = Queue()
        updates.put(FeedMessage("full", self.version, list(self.servers.values())))
        self.followers.add(updates)
        disconnect_watcher = gevent.spawn(self._wait_for_disconnect, sock, updates)
        try:
            while (message := updates.get()) is not None:
                while (left_ms := self.fault_end("silent") - self.clock()) > 0:
                    gevent.sleep(min(left_ms, 3_600_000) / 1000)
                # recorded before it is written, so that no gateway can have it before the recorded time
                servers = {line.address: [line.state, line.up_since_ms] for line in message.servers}
                self.ledger.record(
                    self.clock(),
                    "told",
                    peer=peer[0],
                    kind=message.kind,
                    version=message.version,
                    servers=servers,
                )
                sock.sendall(msgspec.json.encode(message) + b"\n")
        finally:
            self.followers.discard(updates)
            disconnect_watcher.kill()

    @staticmethod
    def _wait_for_disconnect(sock: socket.socket, updates: Queue) -> None:
        """Put None into the follower's queue once it has closed the connection."""
        try:
            while sock.recv(4096):
                pass
        except OSError:
            pass
        updates.put(None)

    def change(self, lines: list[ServerLine]) -> None:
        """Change the list immediately; followers are sent the change after the configured delay."""
        self.version += 1
        for line in lines:
            if line.state == "gone":
                self.servers.pop(line.address, None)
            else:
                self.servers[line.address] = line
        message = FeedMessage("changes", self.version, lines)
        for updates in self.followers:
            self.greenlets.append(gevent.spawn_later(self.config.delay_ms / 1000, updates.put, message))

    def handle_admin(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Adds PUT /servers, which takes a list of changed servers."""
        if (method, path) == ("PUT", "/servers"):
            self.change(msgspec.convert(body, list[ServerLine]))
            return 200, {"version": self.version}
        return super().handle_admin(method, path, body)
