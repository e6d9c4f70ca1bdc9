"""The list of servers, pushed to each follower with a delay (see membership.feed for the lines)."""

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
    """The first list and how late changes are told."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    delay_ms: float = 100.0
    servers: list[ServerLine] = []
    faults: list[Fault] = []


class FleetServer(Standin):
    """Pushes the list; PUT /servers changes it."""

    kinds = frozenset(("silent", "cut"))

    def __init__(self, config: FleetConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config, self.version = config, 1
        self.servers = {line.address: line for line in config.servers}
        self.followers: set[Queue] = set()

    def began(self, fault: Fault) -> None:
        """cut ends every follower's connection."""
        if fault.kind == "cut":
            self.cut()

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        news: Queue = Queue()
        news.put(FeedMessage("full", self.version, list(self.servers.values())))
        self.followers.add(news)
        end = gevent.spawn(self._until_gone, sock, news)
        try:
            while (message := news.get()) is not None:
                while (left := self.until("silent") - self.clock()) > 0:
                    gevent.sleep(min(left, 3_600_000) / 1000)
                # noted before it is written: a gateway cannot know it sooner than this
                named = {line.address: [line.state, line.up_since_ms] for line in message.servers}
                self.ledger.note(
                    self.clock(),
                    "told",
                    peer=peer[0],
                    kind=message.kind,
                    version=message.version,
                    servers=named,
                )
                sock.sendall(msgspec.json.encode(message) + b"\n")
        finally:
            self.followers.discard(news)
            end.kill()

    @staticmethod
    def _until_gone(sock: socket.socket, news: Queue) -> None:
        try:
            while sock.recv(4096):
                pass
        except OSError:
            pass
        news.put(None)

    def change(self, lines: list[ServerLine]) -> None:
        """Change the list now; followers hear of it after the delay."""
        self.version += 1
        for line in lines:
            if line.state == "gone":
                self.servers.pop(line.address, None)
            else:
                self.servers[line.address] = line
        message = FeedMessage("changes", self.version, lines)
        for news in self.followers:
            self.greenlets.append(gevent.spawn_later(self.config.delay_ms / 1000, news.put, message))

    def command(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Adds PUT /servers."""
        if (method, path) == ("PUT", "/servers"):
            self.change(msgspec.convert(body, list[ServerLine]))
            return 200, {"version": self.version}
        return super().command(method, path, body)
