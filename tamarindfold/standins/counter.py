"""A counter server that speaks the Redis protocol (RESP2): INCRBYFLOAT, PEXPIRE ... NX and PING."""

from __future__ import annotations

import math
from typing import Any

import gevent
import hiredis
from gevent import socket
from msgspec import Struct

from tamarindfold.standins.base import Fault, Standin, open_ledger, reset


class CounterStandinConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Configuration of the counter server."""

    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    call_ms: float = 0.0  # processing time of each batch of commands
    faults: list[Fault] = []


class CounterServer(Standin):
    """Keeps the counters in memory; a key expires as in Redis."""

    fault_kinds = frozenset(("slow", "mute", "lost", "error", "wipe"))

    def __init__(self, config: CounterStandinConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config = config
        self.totals: dict[bytes, float] = {}
        self.expires_at: dict[bytes, float] = {}

    def on_fault(self, fault: Fault) -> None:
        """`lost` resets all connections, `wipe` deletes all counters."""
        if fault.kind == "lost":
            self.reset_connections()
        if fault.kind == "wipe":
            self.totals.clear()
            self.expires_at.clear()

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        reader = hiredis.Reader()
        while data := sock.recv(65536):
            if self.active_fault("lost") is not None:
                return reset(sock)
            reader.feed(data)
            replies = []
            while (command := reader.gets()) is not False:
                replies.append(self._answer(command, peer[0]))
            if self.config.call_ms:
                gevent.sleep(self.config.call_ms / 1000)
            if (slow := self.active_fault("slow")) is not None:
                gevent.sleep(slow.delay_ms / 1000)
            if self.active_fault("mute") is not None:  # the commands are executed, but the replies held back
                while (left_ms := self.fault_end("mute") - self.clock()) > 0:
                    gevent.sleep(min(left_ms, 3_600_000) / 1000)
            sock.sendall(b"".join(replies))

    def _answer(self, command: Any, peer: str) -> bytes:
        if not isinstance(command, list) or not command:
            return b"-ERR Protocol error\r\n"
        if self.active_fault("error") is not None:
            return b"-LOADING the data set is being read\r\n"
        name, args = bytes(command[0]).upper(), command[1:]
        now = self.clock()
        if name == b"PING":
            return b"+PONG\r\n"
        if name == b"INCRBYFLOAT" and len(args) == 2:
            return self._add(now, args[0], args[1], peer)
        if name == b"PEXPIRE" and len(args) == 3 and args[2].upper() == b"NX":
            if args[0] not in self.totals or args[0] in self.expires_at:
                return b":0\r\n"
            self.expires_at[args[0]] = now + int(args[1])
            return b":1\r\n"
        return b"-ERR unknown command\r\n"

    def _add(self, now: float, key: bytes, amount: bytes, peer: str) -> bytes:
        """Add to a counter, which starts again from 0 if its key has expired; the reply is the new total."""
        if now >= self.expires_at.get(key, math.inf):
            del self.totals[key], self.expires_at[key]
        try:
            increment = float(amount)
        except ValueError:
            return b"-ERR value is not a valid float\r\n"
        total = self.totals[key] = self.totals.get(key, 0.0) + increment
        self.ledger.record(now, "added", key=key.decode(), amount=increment, total=round(total, 6), peer=peer)
        text = b"%.17g" % total
        return b"$%d\r\n%s\r\n" % (len(text), text)
