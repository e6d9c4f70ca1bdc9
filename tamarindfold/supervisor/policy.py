"""Decides when each program is started, ended, started again or given up. No I/O, no clock.

Programs come up in the order of `after`, each when those before it are ready. One that ends is started again
after a pause that doubles, at most `most` times within `within_ms`; then it is given up, and what needs it
stays as it is: a fleet without one part is still a fleet. Stopping goes the other way round.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf


@dataclass(frozen=True, slots=True)
class Restarts:
    """How a program that ended is started again."""

    most: int = 5
    within_ms: float = 60_000.0
    first_ms: float = 200.0
    most_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class Spec:
    """One program."""

    name: str
    after: tuple[str, ...] = ()
    ready_ms: float = 30_000.0  # not ready in this time: ended, which counts as an end of its own
    stop_ms: float = 20_000.0  # after SIGTERM; then SIGKILL
    restarts: Restarts = Restarts()


class Phase(Enum):
    """Where a program stands."""

    WAITING = "waiting"
    STARTING = "starting"
    READY = "ready"
    PAUSING = "pausing"
    STOPPING = "stopping"
    STOPPED = "stopped"
    GIVEN_UP = "given up"


@dataclass(frozen=True, slots=True)
class Start:
    """Start this program."""

    name: str


@dataclass(frozen=True, slots=True)
class End:
    """End this program: in good order, or at once."""

    name: str
    kill: bool = False


Action = Start | End


@dataclass(slots=True)
class State:
    """What is known of one program."""

    spec: Spec
    phase: Phase = Phase.WAITING
    until_ms: float = inf  # of what it is waiting for
    ends: deque[float] = field(default_factory=deque)
    starts: int = 0
    pause_ms: float = 0.0


class Policy:
    """All programs of a fleet; hand it what happens, carry out what it answers."""

    def __init__(self, specs: Sequence[Spec]) -> None:
        """ValueError where names repeat, are unknown or wait for each other."""
        self.states = {spec.name: State(spec) for spec in specs}
        if len(self.states) < len(specs):
            raise ValueError("two programs have one name")
        self.order: list[str] = []
        self.stopping = False
        for spec in specs:
            self._place(spec.name, [])

    def _place(self, name: str, below: list[str]) -> None:
        if name in self.order:
            return
        if name not in self.states:
            raise ValueError(f"{below[-1]}: after {name!r}, which is no program")
        if name in below:
            raise ValueError(f"{' after '.join([*below, name])}: none can be first")
        for before in self.states[name].spec.after:
            self._place(before, [*below, name])
        self.order.append(name)

    @property
    def done(self) -> bool:
        """Nothing runs, and nothing will."""
        return all(s.phase in (Phase.STOPPED, Phase.GIVEN_UP) for s in self.states.values())

    @property
    def given_up(self) -> list[str]:
        """Programs that ended too often."""
        return [name for name, s in self.states.items() if s.phase is Phase.GIVEN_UP]

    def ready(self, name: str, now: float) -> list[Action]:
        """A program serves."""
        state = self.states[name]
        if state.phase is Phase.STARTING:
            state.phase, state.until_ms = Phase.READY, inf
        return self.tick(now)

    def ended(self, name: str, now: float) -> list[Action]:
        """A program is no more, for whatever cause."""
        state, restarts = self.states[name], self.states[name].spec.restarts
        if self.stopping:
            state.phase, state.until_ms = Phase.STOPPED, inf
            return self.tick(now)
        state.ends.append(now)
        while state.ends[0] <= now - restarts.within_ms:
            state.ends.popleft()
        if len(state.ends) > restarts.most:
            state.phase, state.until_ms = Phase.GIVEN_UP, inf
            return self.tick(now)
        state.pause_ms = min(restarts.most_ms, restarts.first_ms * 2 ** (len(state.ends) - 1))
        state.phase, state.until_ms = Phase.PAUSING, now + state.pause_ms
        return self.tick(now)

    def stop(self, now: float) -> list[Action]:
        """Bring everything down."""
        self.stopping = True
        for state in self.states.values():
            if state.phase in (Phase.WAITING, Phase.PAUSING):
                state.phase, state.until_ms = Phase.STOPPED, inf
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """What time, and what happened before, make due."""
        if self.stopping:
            return self._down(now)
        actions: list[Action] = []
        for name in self.order:
            state = self.states[name]
            if state.phase is Phase.STARTING and now >= state.until_ms:
                state.until_ms = inf  # its end is owed now
                actions.append(End(name, True))
            free = all(self.states[before].phase is Phase.READY for before in state.spec.after)
            again = state.phase is Phase.PAUSING and now >= state.until_ms
            if again or (state.phase is Phase.WAITING and free):
                state.phase, state.until_ms = Phase.STARTING, now + state.spec.ready_ms
                state.starts += 1
                actions.append(Start(name))
        return actions

    def _down(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name in reversed(self.order):
            state = self.states[name]
            needed = any(
                name in other.spec.after and other.phase not in (Phase.STOPPED, Phase.GIVEN_UP)
                for other in self.states.values()
            )
            if state.phase in (Phase.STARTING, Phase.READY) and not needed:
                state.phase, state.until_ms = Phase.STOPPING, now + state.spec.stop_ms
                actions.append(End(name))
            elif state.phase is Phase.STOPPING and now >= state.until_ms:
                state.until_ms = inf
                actions.append(End(name, True))
        return actions

    def next_at(self) -> float:
        """When time alone makes something due."""
        return min((state.until_ms for state in self.states.values()), default=inf)
