"""Decides which reply belongs to which call on one pipelined connection. No I/O, no clock.

A call given up is never sent again; its late replies are counted off and dropped, so that those behind it
still find their owners. How a call is worded is the dialect's.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from tamarindfold.interface import Count, CountAnswered, Outcome

STUCK = 5.0  # times the time-out: a connection whose oldest reply is this late is given up


@dataclass(slots=True)
class _Call:
    name: int
    at: float
    told: bool = False  # the module has its answer already
    replies: int = 0
    idle: bool = False  # nobody's: it keeps the connection open


def part_of(name: int, parts: int) -> int:
    """The part that holds a name: the same at every gateway, even over names that differ in few bits."""
    mixed = (name ^ name >> 33) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (mixed >> 32) % parts


def command(*words: bytes) -> bytes:
    """A command in RESP."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Dialect(Protocol):
    """How a counter is called; in every dialect the first reply of a call tells its total."""

    replies: int  # to each call

    def call(self, count: Count) -> bytes:
        """The bytes of a call."""

    def nothing_added(self, error: Exception) -> bool:
        """Whether an error reply proves that nothing was added."""


class IncrByFloat:
    """INCRBYFLOAT and PEXPIRE ... NX in one write: the second keeps the life of an existing name as it is."""

    replies = 2

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix.encode() + b":"

    def call(self, count: Count) -> bytes:
        key = self.prefix + b"%x" % count.name
        return command(b"INCRBYFLOAT", key, repr(float(count.amount)).encode()) + command(
            b"PEXPIRE", key, b"%d" % max(1, round(count.ttl_ms)), b"NX"
        )

    def nothing_added(self, error: Exception) -> bool:
        return True


class Pipeline:
    """The calls out on one connection."""

    def __init__(self, timeout_ms: float, most_pending: int, dialect: Dialect) -> None:
        self.timeout_ms, self.most_pending, self.dialect = timeout_ms, most_pending, dialect
        self.connected = False
        self.spoilt = False  # a reply made no sense: what follows on this connection can't be trusted
        self.calls: deque[_Call] = deque()  # in the order sent, those given up among them
        self.waiting: deque[_Call] = deque()  # those the module still waits for, oldest first
        self.dropped = self.turned_away = 0

    def call(self, now: float, count: Count) -> bytes | CountAnswered:
        """What to write for a call, or its answer where it can't be made."""
        if not self.connected:
            return CountAnswered(count.name, Outcome.CONNECT_FAILED, 0.0, 0.0)
        if len(self.calls) >= self.most_pending:
            self.turned_away += 1
            return CountAnswered(count.name, Outcome.FULL, 0.0, 0.0)
        call = _Call(count.name, now)
        self.calls.append(call)
        self.waiting.append(call)
        return self.dialect.call(count)

    def ping(self, now: float) -> bytes:
        """What keeps an idle connection open; its reply is counted off like a late one."""
        self.calls.append(_Call(0, now, True, self.dialect.replies - 1, True))
        return command(b"PING")

    def replies(self, now: float, values: Iterable[object]) -> list[CountAnswered]:
        """Match replies with calls; ValueError where one belongs to none."""
        out = []
        for value in values:
            if not self.calls:
                raise ValueError("counter: a reply to no call")
            call = self.calls[0]
            call.replies += 1
            if not call.told:
                call.told = True
                out.append(self._answer(now, call, value))
            elif call.replies == 1 and not call.idle:
                self.dropped += 1
            if call.replies == self.dialect.replies:
                self.calls.popleft()
        self._forget_told()
        return out

    def _answer(self, now: float, call: _Call, value: object) -> CountAnswered:
        """A number is the total; of errors the dialect says whether they prove that nothing was added."""
        took = now - call.at
        if isinstance(value, bytes | str | int | float) and not isinstance(value, bool):
            try:
                total = float(value)
            except ValueError:
                total = math.nan
            if math.isfinite(total):
                return CountAnswered(call.name, Outcome.OK, took, total)
        turned_away = isinstance(value, Exception) and self.dialect.nothing_added(value)
        outcome = Outcome.FULL if turned_away else Outcome.ERROR
        self.spoilt = self.spoilt or not turned_away
        return CountAnswered(call.name, outcome, took, 0.0)

    def due(self, now: float) -> list[CountAnswered]:
        """The calls whose time is up: the amount may have been added."""
        out = []
        while self.waiting and (self.waiting[0].told or now >= self.waiting[0].at + self.timeout_ms):
            call = self.waiting.popleft()
            if not call.told:
                call.told = True
                out.append(CountAnswered(call.name, Outcome.TIMEOUT, now - call.at, 0.0))
        return out

    def next_due(self) -> float | None:
        """When due() has something to tell next."""
        self._forget_told()
        return self.waiting[0].at + self.timeout_ms if self.waiting else None

    def stuck(self, now: float) -> bool:
        """Whether the oldest reply is so late that a new connection is the better hope."""
        return bool(self.calls) and now >= self.calls[0].at + STUCK * self.timeout_ms

    def lost(self, now: float) -> list[CountAnswered]:
        """The connection is gone: what was out may have been added, and no reply will come."""
        self.connected = self.spoilt = False
        out = [
            CountAnswered(call.name, Outcome.RESET, now - call.at, 0.0)
            for call in self.calls
            if not call.told
        ]
        self.calls.clear()
        self.waiting.clear()
        return out

    def _forget_told(self) -> None:
        while self.waiting and self.waiting[0].told:
            self.waiting.popleft()
