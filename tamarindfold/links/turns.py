"""Fair turns on the event loop for greenlets that read from sockets.

A read that finds data does not yield, so a greenlet whose peer always sends more would keep the event loop.
Each reader counts what it has done; once its turn is spent, timers, sockets and other greenlets go first.
Readers of untrusted input share a queue besides, so that any number of them takes a bounded part of the time.
"""

from __future__ import annotations

from collections import deque
from time import monotonic
from typing import Any

import gevent
from gevent.event import Event

TURN_BYTES = 16_384
TURN_MESSAGES = 8
TURN_S = 0.002
# of untrusted input: a piece of it may take a hundred times longer to parse than one of a usual body
UNTRUSTED_TURN_BYTES = 4_096
QUEUE_S = 0.002  # for all queued readers together in one iteration of the event loop


def let_others_run() -> None:
    """Return in the next iteration of the event loop, after all that is due and all that is readable.

    gevent.sleep(0) would not do: it may return in the same iteration, before the loop looks at the sockets.
    """
    hub = gevent.get_hub()
    hub.wait(hub.loop.timer(0.0))


class Turn:
    """What one reader may do before it lets others run."""

    __slots__ = ("_bytes_left", "_iteration", "_loop", "_messages_left", "_size", "_until_s")

    def __init__(self, size: int = TURN_BYTES) -> None:
        self._loop = gevent.get_hub().loop
        self._size = size
        self._iteration, self._until_s = -1, 0.0
        self.begin()

    def begin(self) -> None:
        """Start a new turn; called by a reader that has to wait for its peer."""
        self._bytes_left, self._messages_left = self._size, TURN_MESSAGES

    def ends_after(self, size: int, messages: int = 0) -> bool:
        """Count received bytes and handled messages; True if the turn is over, and a new one begins."""
        self._bytes_left -= size
        self._messages_left -= messages
        now_s, iteration = monotonic(), self._loop.iteration
        if iteration != self._iteration:
            self._iteration, self._until_s = iteration, now_s + TURN_S
        if self._bytes_left > 0 and self._messages_left > 0 and now_s < self._until_s:
            return False
        self.begin()
        return True

    def spend(self, size: int, messages: int = 0) -> None:
        """Count received bytes and handled messages; if the turn is over, let others run first."""
        if self.ends_after(size, messages):
            let_others_run()


class TurnQueue:
    """Readers that have spent their turn, in the order in which they go on."""

    def __init__(self) -> None:
        self._waiting: deque[Event] = deque()
        self._wanted = Event()
        self._greenlet: gevent.Greenlet | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self) -> Event:
        """A place at the end of the queue; the event is set when the reader may go on."""
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._run)
        place = Event()
        self._waiting.append(place)
        self._wanted.set()
        return place

    def stop(self) -> None:
        """Stop; whoever waits then waits for ever."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            if not self._waiting:
                self._wanted.clear()
                self._wanted.wait()
            let_others_run()
            until_s = monotonic() + QUEUE_S
            for _ in range(len(self._waiting)):  # those that come back wait for the next iteration
                self._waiting.popleft().set()
                gevent.sleep(0)  # the reader takes its turn
                if monotonic() >= until_s:
                    break


class FairSocket:
    """A socket whose reads and writes count against a turn, for code that knows only recv and sendall."""

    def __init__(self, sock: Any) -> None:
        self._sock, self._turn = sock, Turn()

    def recv(self, size: int) -> bytes:
        """Receive no more than one turn's bytes, so that no more is parsed in it."""
        data: bytes = self._sock.recv(min(size, TURN_BYTES))
        self._turn.spend(len(data))
        return data

    def sendall(self, data: bytes) -> None:
        """Send a whole message."""
        self._sock.sendall(data)
        self._turn.spend(0, messages=1)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option of the socket."""
        self._sock.setsockopt(level, option, value)
