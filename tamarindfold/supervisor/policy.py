"""Decides when each program is started, terminated, restarted or given up. No I/O, no clock.

Programs start in the order of `after`, each when those it depends on are ready. A program that exits is
restarted after a delay that doubles, at most `max_restarts` times within `window_ms`. After that it is given
up; the programs that depend on it are left as they are, so the fleet goes on without it. Programs are stopped
in the reverse order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf


@dataclass(frozen=True, slots=True)
class RestartLimits:
    """How often, and after which delay, a program that exited is restarted."""

    max_restarts: int = 5
    window_ms: float = 60_000.0
    initial_delay_ms: float = 200.0
    max_delay_ms: float = 5_000.0


@dataclass(frozen=True, slots=True)
class ProgramSpec:
    """One program of the fleet."""

    name: str
    after: tuple[str, ...] = ()
    ready_ms: float = 30_000.0  # killed if not ready within this time, which counts as an exit
    stop_ms: float = 20_000.0  # from SIGTERM to SIGKILL
    restarts: RestartLimits = RestartLimits()


class Phase(Enum):
    """The phase of a program's lifecycle."""

    WAITING = "waiting"
    STARTING = "starting"
    READY = "ready"
    RESTART_DELAY = "pausing"
    STOPPING = "stopping"
    STOPPED = "stopped"
    GIVEN_UP = "given up"


@dataclass(frozen=True, slots=True)
class Start:
    """Start this program."""

    name: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """Terminate this program: with SIGTERM, or with SIGKILL if `kill`."""

    name: str
    kill: bool = False


Action = Start | Terminate


@dataclass(slots=True)
class ProgramState:
    """The state of one program."""

    spec: ProgramSpec
    phase: Phase = Phase.WAITING
    deadline_ms: float = inf  # when the current phase times out
    exits: deque[float] = field(default_factory=deque)
    starts: int = 0
    delay_ms: float = 0.0


class Policy:
    """All programs of a fleet. Each method takes an event and returns the actions to carry out."""

    def __init__(self, specs: Sequence[ProgramSpec]) -> None:
        """ValueError if names repeat or are unknown, or if dependencies form a cycle."""
        self.states = {spec.name: ProgramState(spec) for spec in specs}
        if len(self.states) < len(specs):
            raise ValueError("two programs have the same name")
        self.order: list[str] = []
        self.stopping = False
        for spec in specs:
            self._add_to_order(spec.name, [])

    def _add_to_order(self, name: str, dependents: list[str]) -> None:
        if name in self.order:
            return
        if name not in self.states:
            raise ValueError(f"{dependents[-1]}: after {name!r}, which is not a program of the file")
        if name in dependents:
            raise ValueError(f"{' after '.join([*dependents, name])}: circular dependency")
        for dependency in self.states[name].spec.after:
            self._add_to_order(dependency, [*dependents, name])
        self.order.append(name)

    @property
    def done(self) -> bool:
        """Whether no program runs, and none will be started."""
        return all(s.phase in (Phase.STOPPED, Phase.GIVEN_UP) for s in self.states.values())

    @property
    def given_up(self) -> list[str]:
        """Programs that exited too often."""
        return [name for name, s in self.states.items() if s.phase is Phase.GIVEN_UP]

    def on_ready(self, name: str, now: float) -> list[Action]:
        """A program is ready."""
        state = self.states[name]
        if state.phase is Phase.STARTING:
            state.phase, state.deadline_ms = Phase.READY, inf
        return self.tick(now)

    def on_exit(self, name: str, now: float) -> list[Action]:
        """A program exited, for any reason."""
        state, restarts = self.states[name], self.states[name].spec.restarts
        if self.stopping:
            state.phase, state.deadline_ms = Phase.STOPPED, inf
            return self.tick(now)
        state.exits.append(now)
        while state.exits[0] <= now - restarts.window_ms:
            state.exits.popleft()
        if len(state.exits) > restarts.max_restarts:
            state.phase, state.deadline_ms = Phase.GIVEN_UP, inf
            return self.tick(now)
        state.delay_ms = min(restarts.max_delay_ms, restarts.initial_delay_ms * 2 ** (len(state.exits) - 1))
        state.phase, state.deadline_ms = Phase.RESTART_DELAY, now + state.delay_ms
        return self.tick(now)

    def stop(self, now: float) -> list[Action]:
        """Start to stop all programs."""
        self.stopping = True
        for state in self.states.values():
            if state.phase in (Phase.WAITING, Phase.RESTART_DELAY):
                state.phase, state.deadline_ms = Phase.STOPPED, inf
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """The actions that are due now."""
        if self.stopping:
            return self._stop_programs(now)
        actions: list[Action] = []
        for name in self.order:
            state = self.states[name]
            if state.phase is Phase.STARTING and now >= state.deadline_ms:
                state.deadline_ms = inf  # SIGKILL is sent once; the exit is then awaited without a time-out
                actions.append(Terminate(name, True))
            dependencies_ready = all(
                self.states[dependency].phase is Phase.READY for dependency in state.spec.after
            )
            delay_over = state.phase is Phase.RESTART_DELAY and now >= state.deadline_ms
            if delay_over or (state.phase is Phase.WAITING and dependencies_ready):
                state.phase, state.deadline_ms = Phase.STARTING, now + state.spec.ready_ms
                state.starts += 1
                actions.append(Start(name))
        return actions

    def _stop_programs(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name in reversed(self.order):
            state = self.states[name]
            needed = any(
                name in other.spec.after and other.phase not in (Phase.STOPPED, Phase.GIVEN_UP)
                for other in self.states.values()
            )
            if state.phase in (Phase.STARTING, Phase.READY) and not needed:
                state.phase, state.deadline_ms = Phase.STOPPING, now + state.spec.stop_ms
                actions.append(Terminate(name))
            elif state.phase is Phase.STOPPING and now >= state.deadline_ms:
                state.deadline_ms = inf
                actions.append(Terminate(name, True))
        return actions

    def next_at(self) -> float:
        """When the next time-out is due; inf if there is none."""
        return min((state.deadline_ms for state in self.states.values()), default=inf)
