"""All time-outs of the gateway on one timer wheel, driven by a greenlet that sleeps while no timer is set."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from tamarindfold.ds.wheel import Timer, TimerWheel

STALL_MS = 300.0  # an iteration that is this late means that the process was stalled


class Timers:
    """Calls functions at given times of the clock; they must not block."""

    def __init__(self, clock: Callable[[], float], slot_ms: float = 4.0) -> None:
        self.clock = clock
        self.wheel = TimerWheel(clock(), slot_ms)
        self.scheduled = Event()  # set while any timer may be pending
        self.last_turn_ms = clock()
        self._greenlet = gevent.spawn(self._run)

    def schedule(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Call at due_ms or up to one slot later, never earlier."""
        if not self.wheel.count:
            self.wheel.advance(self.clock())
            self.scheduled.set()
        return self.wheel.schedule(due_ms, call)

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; no effect if it has fired or was cancelled."""
        self.wheel.cancel(timer)

    def stop(self) -> None:
        """Stop; no timer fires after this."""
        self._greenlet.kill()

    def _run(self) -> None:
        pause = self.wheel.slot_ms / 1000
        while True:
            if not self.wheel.count:
                self.scheduled.clear()
                self.scheduled.wait()
                self.last_turn_ms = self.clock()
            gevent.sleep(pause)
            if self.clock() - self.last_turn_ms > STALL_MS:
                gevent.sleep(pause)  # after a stall: let pending data be read before time-outs fire
            self.last_turn_ms = self.clock()
            for timer in self.wheel.advance(self.clock()):
                timer.callback()
