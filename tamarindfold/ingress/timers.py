"""The gateway's many time-outs on one wheel: a greenlet that moves it on while anything is set."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from tamarindfold.ds.wheel import Timer, TimerWheel


STILL_MS = 300.0  # a turn this late: the process stood still


class Timers:
    """Calls back when a time has come; the calls must not block."""

    def __init__(self, clock: Callable[[], float], slot_ms: float = 4.0) -> None:
        self.clock = clock
        self.wheel = TimerWheel(clock(), slot_ms)
        self.some = Event()
        self.turned_at = clock()
        self._greenlet = gevent.spawn(self._turn)

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Call at this time, or a slot later; never before."""
        if not self.wheel.count:
            self.wheel.advance(self.clock())
            self.some.set()
        return self.wheel.schedule(due_ms, call)

    def off(self, timer: Timer) -> None:
        """Call a timer off."""
        self.wheel.cancel(timer)

    def stop(self) -> None:
        """Nothing fires any more."""
        self._greenlet.kill()

    def _turn(self) -> None:
        pause = self.wheel.slot_ms / 1000
        while True:
            if not self.wheel.count:
                self.some.clear()
                self.some.wait()
                self.turned_at = self.clock()
            gevent.sleep(pause)
            if self.clock() - self.turned_at > STILL_MS:
                gevent.sleep(pause)  # after a standstill: what came meanwhile is read first, then it is late
            self.turned_at = self.clock()
            for timer in self.wheel.advance(self.clock()):
                timer.call()
