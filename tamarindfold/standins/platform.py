"""Stand-ins of what the platform puts round an ingress: backends, discovery and the counter, with faults."""

from __future__ import annotations

from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.queue import Queue
from msgspec import Struct

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Request
from tamarindfold.platform import wire_names
from tamarindfold.standins.base import Fault, Standin, open_ledger, reset, serve_http
from tamarindfold.standins.counter import CounterServer

SIGN_S = 2.0  # discovery's sign of life
HUGE = 3_000_000_000

# answers that can't be used: the request has run
_SPOILT = {
    "noise": b"\x00\xff what is this\r\n\r\n",
    "bad_head": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nno colon here\r\n\r\nbody",
    "two_lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbody",
    "short": b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbody",
}


class BackendConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One backend."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    work_ms: float = 1.0
    body: str = ""  # empty: the request's id
    faults: list[Fault] = []


class PlatformBackend(Standin):
    """Answers each request with its id; the ledger tells what has come whole."""

    kinds = frozenset(
        (
            *_SPOILT,
            "endless",
            "huge",
            "extra",
            "interim",
            "bad_report",
            "error",
            "turn_away",
            "reset",
            "silent",
            "close",
        )
    )

    def __init__(self, config: BackendConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config = config
        self.accepted = 0

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self.accepted += 1
        serve_http(sock, self.clock, self._answer)

    def _answer(self, sock: socket.socket, request: Request, first: float) -> None:
        call = request.get(wire_names.CALL_ID)
        if call is None:
            sock.sendall(write.response(404, ()))
            return
        self.ledger.note(
            self.clock(),
            "came",
            id=call.decode(),
            method=request.method,
            target=request.target.decode(),
            body=request.body.decode("latin-1"),
            budget=(request.get(wire_names.BUDGET) or b"").decode(),
        )
        if self.config.work_ms:
            gevent.sleep(self.config.work_ms / 1000)
        for kind, bad in _SPOILT.items():
            if self.fault(kind) is not None:
                sock.sendall(bad)
                gevent.sleep(3600)  # the connection stays open, and is of no use
        self._faults(sock, request)
        body = self.config.body.encode() or call
        report = b"queue=what" if self.fault("bad_report") is not None else b"queue=2,inflight=7"
        answer = write.response(200, ((wire_names.LOAD_REPORT, report),), body)
        if self.fault("interim") is not None:
            answer = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + answer
        sock.sendall(answer + (answer if self.fault("extra") is not None else b""))

    def _faults(self, sock: socket.socket, request: Request) -> None:
        """Faults that take the place of the answer."""
        if self.fault("error") is not None:
            sock.sendall(write.response(500, ()))
        elif self.fault("turn_away") is not None:
            sock.sendall(write.response(503, ((wire_names.REJECTED, b"1"),)))
        elif self.fault("reset") is not None:
            reset(sock)
        elif self.fault("silent") is not None:
            gevent.sleep(3600)
        elif self.fault("close") is not None:
            sock.close()
        elif self.fault("endless") is not None:
            sock.sendall(b"HTTP/1.1 200 OK\r\n")
            while True:
                sock.sendall(b"X-More: and more\r\n" * 64)
        elif self.fault("huge") is not None:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % HUGE)
            while True:
                sock.sendall(b"x" * 65536)
        else:
            return
        raise OSError("the fault was the answer")


class DiscoveryConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Discovery with its first list."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    instances: list[dict[str, Any]] = []
    faults: list[Fault] = []


class PlatformDiscovery(Standin):
    """Lists and watches; `change` tells all watches."""

    kinds = frozenset(("silent", "cut", "noise"))

    def __init__(self, config: DiscoveryConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.generation = 41
        self.instances = {one["instanceId"]: one for one in config.instances}
        self.watches: set[Queue] = set()
        self.asked: list[str] = []

    def began(self, fault: Fault) -> None:
        """cut ends every watch."""
        if fault.kind == "cut":
            self.cut()

    def line(self, reset_: bool, instances: list[dict[str, Any]]) -> bytes:
        """One line of a watch."""
        return (
            msgspec.json.encode(
                {"generation": self.generation, "reset": reset_, "instances": instances, "more": 1}
            )
            + b"\n"
        )

    def change(self, *instances: dict[str, Any]) -> None:
        """Change the list and tell it."""
        self.generation += 1
        for one in instances:
            if one.get("lifecycle") == "left":
                self.instances.pop(one["instanceId"], None)
            else:
                self.instances[one["instanceId"]] = one
        for news in self.watches:
            news.put(self.line(False, list(instances)))

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        serve_http(sock, self.clock, self._answer)

    def _answer(self, sock: socket.socket, request: Request, first: float) -> None:
        target = request.target.decode()
        self.asked.append(target)
        while self.fault("silent") is not None:
            gevent.sleep(0.01)
        whole = self.line(True, list(self.instances.values()))
        if "watch=1" not in target:
            sock.sendall(write.response(200, (), whole))
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        news: Queue = Queue()
        news.put(self.line(False, []) if target.endswith(f"from={self.generation}") else whole)
        self.watches.add(news)
        try:
            while True:
                try:
                    line = news.get(timeout=SIGN_S)
                except gevent.queue.Empty:
                    line = b"\n"
                while self.fault("silent") is not None:
                    gevent.sleep(0.01)
                if self.fault("noise") is not None:
                    line = b'{"generation": what\n'
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        finally:
            self.watches.discard(news)


class PlatformCounter(CounterServer):
    """ADDGET beside what the other counter knows."""

    kinds = CounterServer.kinds | {"busy", "spoilt"}

    def _answer(self, command: Any, peer: str) -> bytes:
        if not (isinstance(command, list) and command and bytes(command[0]).upper() == b"ADDGET"):
            return super()._answer(command, peer)
        if self.fault("busy") is not None:
            return b"-BUSY come later\r\n"
        if len(command) != 4:
            return b"-ERR ADDGET NAME AMOUNT LIFE\r\n"
        now, key = self.clock(), command[1]
        told = self._add(now, key, command[2], peer)
        self.ends.setdefault(key, now + int(command[3]))
        return b"$4\r\nwhat\r\n" if self.fault("spoilt") is not None else told
