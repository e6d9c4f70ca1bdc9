"""Matches replies with calls on one pipelined connection. No I/O, no clock; times are in milliseconds.

A call that timed out is never sent again. Its late reply is still matched with it and dropped, so that the
replies after it go to the right calls. The dialect defines the commands of a call.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from tamarindfold.interface import Count, CountAnswered, Outcome

STUCK_TIMEOUTS = 5.0  # a connection is replaced if its oldest reply is missing after this many time-outs


@dataclass(slots=True)
class _Call:
    """A call or ping that was sent."""

    name: int
    sent_ms: float
    answered: bool = False  # its answer was reported to the caller
    replies_received: int = 0
    keepalive: bool = False  # a ping, not a call


def part_index(name: int, parts: int) -> int:
    """The part that holds a name, the same at every gateway.

    The name is hashed so that names that differ in only a few bits are spread evenly too.
    """
    mixed = (name ^ name >> 33) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (mixed >> 32) % parts


def command(*arguments: bytes) -> bytes:
    """Encode a command in RESP."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments
    )


class Dialect(Protocol):
    """The commands of one kind of counter; in every dialect the first reply to a call has the total."""

    replies_per_call: int

    def call(self, count: Count) -> bytes:
        """Encode a call."""

    def nothing_added(self, error: Exception) -> bool:
        """Whether an error reply proves that the amount was not added."""


class IncrByFloat:
    """INCRBYFLOAT and PEXPIRE in one write; PEXPIRE has NX, so an expiry that is already set is kept."""

    replies_per_call = 2

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
    """The outstanding calls on one connection."""

    def __init__(self, timeout_ms: float, max_pending: int, dialect: Dialect) -> None:
        self.timeout_ms, self.max_pending, self.dialect = timeout_ms, max_pending, dialect
        self.connected = False
        self.corrupted = False  # a reply was invalid: later replies on this connection can't be trusted
        self.calls: deque[_Call] = deque()  # in the order sent, including those that timed out
        self.waiting: deque[_Call] = deque()  # calls whose answer has not been reported yet, oldest first
        self.late_replies = self.rejected = 0

    def call(self, now: float, count: Count) -> bytes | CountAnswered:
        """The bytes to write for a call, or its answer if it can't be made."""
        if not self.connected:
            return CountAnswered(count.name, Outcome.CONNECT_FAILED, 0.0, 0.0)
        if len(self.calls) >= self.max_pending:
            self.rejected += 1
            return CountAnswered(count.name, Outcome.FULL, 0.0, 0.0)
        call = _Call(count.name, now)
        self.calls.append(call)
        self.waiting.append(call)
        return self.dialect.call(count)

    def ping(self, now: float) -> bytes:
        """The bytes of a ping that keeps an idle connection open; its reply is matched and dropped."""
        self.calls.append(_Call(0, now, True, self.dialect.replies_per_call - 1, True))
        return command(b"PING")

    def replies(self, now: float, values: Iterable[object]) -> list[CountAnswered]:
        """Match replies with calls and return the answers; ValueError if no call awaits a reply."""
        answers = []
        for value in values:
            if not self.calls:
                raise ValueError("counter: received a reply that matches no call")
            call = self.calls[0]
            call.replies_received += 1
            if not call.answered:
                call.answered = True
                answers.append(self._answer(now, call, value))
            elif call.replies_received == 1 and not call.keepalive:
                self.late_replies += 1
            if call.replies_received == self.dialect.replies_per_call:
                self.calls.popleft()
        self._discard_answered()
        return answers

    def _answer(self, now: float, call: _Call, value: object) -> CountAnswered:
        """A finite number is the total; for an error the dialect decides whether nothing was added."""
        elapsed_ms = now - call.sent_ms
        if isinstance(value, bytes | str | int | float) and not isinstance(value, bool):
            try:
                total = float(value)
            except ValueError:
                total = math.nan
            if math.isfinite(total):
                return CountAnswered(call.name, Outcome.OK, elapsed_ms, total)
        rejected = isinstance(value, Exception) and self.dialect.nothing_added(value)
        outcome = Outcome.FULL if rejected else Outcome.ERROR
        self.corrupted = self.corrupted or not rejected
        return CountAnswered(call.name, outcome, elapsed_ms, 0.0)

    def due(self, now: float) -> list[CountAnswered]:
        """Time out calls and return their answers; the amounts may have been added."""
        answers = []
        while self.waiting and (self.waiting[0].answered or now >= self.waiting[0].sent_ms + self.timeout_ms):
            call = self.waiting.popleft()
            if not call.answered:
                call.answered = True
                answers.append(CountAnswered(call.name, Outcome.TIMEOUT, now - call.sent_ms, 0.0))
        return answers

    def next_due(self) -> float | None:
        """When the next call times out; None if no call is waiting."""
        self._discard_answered()
        return self.waiting[0].sent_ms + self.timeout_ms if self.waiting else None

    def stuck(self, now: float) -> bool:
        """Whether the oldest reply is so late that the connection should be replaced."""
        return bool(self.calls) and now >= self.calls[0].sent_ms + STUCK_TIMEOUTS * self.timeout_ms

    def lost(self, now: float) -> list[CountAnswered]:
        """The connection is lost: fail all outstanding calls; their amounts may have been added."""
        self.connected = self.corrupted = False
        answers = [
            CountAnswered(call.name, Outcome.RESET, now - call.sent_ms, 0.0)
            for call in self.calls
            if not call.answered
        ]
        self.calls.clear()
        self.waiting.clear()
        return answers

    def _discard_answered(self) -> None:
        while self.waiting and self.waiting[0].answered:
            self.waiting.popleft()
