"""Test doubles of the platform around a node: backends, service discovery and the counter, with faults."""

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

DISCOVERY_HEARTBEAT_S = 2.0
HUGE_CONTENT_LENGTH = 3_000_000_000

# Malformed responses by fault kind; the request has been processed when one is sent.
_MALFORMED_RESPONSES = {
    "noise": b"\x00\xff what is this\r\n\r\n",
    "bad_head": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nno colon here\r\n\r\nbody",
    "two_lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbody",
    "short": b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbody",
}


class BackendConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Configuration of one backend."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    work_ms: float = 1.0
    body: str = ""  # response body; empty: the request's id
    faults: list[Fault] = []


class PlatformBackend(Standin):
    """Answers each request with its id; the ledger records every complete request."""

    fault_kinds = frozenset(
        (
            *_MALFORMED_RESPONSES,
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

    def _answer(self, sock: socket.socket, request: Request, first_byte_at: float) -> None:
        call = request.get(wire_names.CALL_ID)
        if call is None:
            sock.sendall(write.response(404, ()))
            return
        self.ledger.record(
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
        for kind, response in _MALFORMED_RESPONSES.items():
            if self.active_fault(kind) is not None:
                sock.sendall(response)
                gevent.sleep(3600)  # the connection stays open, but nothing more is sent on it
        self._respond_with_fault(sock, request)
        body = self.config.body.encode() or call
        load_report = b"queue=what" if self.active_fault("bad_report") is not None else b"queue=2,inflight=7"
        response = write.response(200, ((wire_names.LOAD_REPORT, load_report),), body)
        if self.active_fault("interim") is not None:
            response = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + response
        sock.sendall(response + (response if self.active_fault("extra") is not None else b""))

    def _respond_with_fault(self, sock: socket.socket, request: Request) -> None:
        """If a fault replaces the response, simulate it and raise OSError, which ends the connection."""
        if self.active_fault("error") is not None:
            sock.sendall(write.response(500, ()))
        elif self.active_fault("turn_away") is not None:
            sock.sendall(write.response(503, ((wire_names.REJECTED, b"1"),)))
        elif self.active_fault("reset") is not None:
            reset(sock)
        elif self.active_fault("silent") is not None:
            gevent.sleep(3600)
        elif self.active_fault("close") is not None:
            sock.close()
        elif self.active_fault("endless") is not None:
            sock.sendall(b"HTTP/1.1 200 OK\r\n")
            while True:
                sock.sendall(b"X-More: and more\r\n" * 64)
        elif self.active_fault("huge") is not None:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % HUGE_CONTENT_LENGTH)
            while True:
                sock.sendall(b"x" * 65536)
        else:
            return
        raise OSError("response replaced by an injected fault")


class DiscoveryConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Configuration of service discovery, with its initial list."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    instances: list[dict[str, Any]] = []
    faults: list[Fault] = []


class PlatformDiscovery(Standin):
    """Service discovery: returns the list of instances, or streams changes to a watch."""

    fault_kinds = frozenset(("silent", "cut", "noise"))

    def __init__(self, config: DiscoveryConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.generation = 41
        self.instances = {instance["instanceId"]: instance for instance in config.instances}
        self.watches: set[Queue] = set()
        self.request_targets: list[str] = []

    def on_fault(self, fault: Fault) -> None:
        """`cut` resets the connection of every watch."""
        if fault.kind == "cut":
            self.reset_connections()

    def line(self, is_full_list: bool, instances: list[dict[str, Any]]) -> bytes:
        """Encode one line of a watch."""
        return (
            msgspec.json.encode(
                {"generation": self.generation, "reset": is_full_list, "instances": instances, "more": 1}
            )
            + b"\n"
        )

    def change(self, *instances: dict[str, Any]) -> None:
        """Change the list and send the change to all watches."""
        self.generation += 1
        for instance in instances:
            if instance.get("lifecycle") == "left":
                self.instances.pop(instance["instanceId"], None)
            else:
                self.instances[instance["instanceId"]] = instance
        for updates in self.watches:
            updates.put(self.line(False, list(instances)))

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        serve_http(sock, self.clock, self._answer)

    def _answer(self, sock: socket.socket, request: Request, first_byte_at: float) -> None:
        target = request.target.decode()
        self.request_targets.append(target)
        while self.active_fault("silent") is not None:
            gevent.sleep(0.01)
        full_list = self.line(True, list(self.instances.values()))
        if "watch=1" not in target:
            sock.sendall(write.response(200, (), full_list))
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        updates: Queue = Queue()
        updates.put(self.line(False, []) if target.endswith(f"from={self.generation}") else full_list)
        self.watches.add(updates)
        try:
            while True:
                try:
                    line = updates.get(timeout=DISCOVERY_HEARTBEAT_S)
                except gevent.queue.Empty:
                    line = b"\n"
                while self.active_fault("silent") is not None:
                    gevent.sleep(0.01)
                if self.active_fault("noise") is not None:
                    line = b'{"generation": what\n'
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        finally:
            self.watches.discard(updates)


class PlatformCounter(CounterServer):
    """The counter server with the platform's command ADDGET: add to a counter and set its expiry if new."""

    fault_kinds = CounterServer.fault_kinds | {"busy", "spoilt"}

    def _answer(self, command: Any, peer: str) -> bytes:
        if not (isinstance(command, list) and command and bytes(command[0]).upper() == b"ADDGET"):
            return super()._answer(command, peer)
        if self.active_fault("busy") is not None:
            return b"-BUSY come later\r\n"
        if len(command) != 4:
            return b"-ERR ADDGET NAME AMOUNT LIFE\r\n"
        now, key = self.clock(), command[1]
        reply = self._add(now, key, command[2], peer)
        self.expires_at.setdefault(key, now + int(command[3]))
        return b"$4\r\nwhat\r\n" if self.active_fault("spoilt") is not None else reply
