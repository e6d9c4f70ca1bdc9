"""Explores the states that a model can reach: breadth-first search within bounds, and long random walks.

A move does not change a world but returns a new one. Worlds with equal keys are the same state, and a search
expands it only once. A trace is a list of move names, so a counterexample can be replayed as a test.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol


class World(Protocol):
    """One state of a model."""

    def moves(self) -> Sequence[str]:
        """The names of the possible next events; equal for equal keys."""

    def after(self, move: str) -> World:
        """The state after an event."""

    def key(self) -> Hashable:
        """Identifies the state; states that differ only by a permutation of names may share a key."""

    def violation(self) -> str:
        """The invariant that is violated in this state; empty if all of them hold."""


@dataclass
class Exploration:
    """The result of one or more explorations.

    states: distinct states visited by searches; moves: all transitions made; broken: the invariant that was
    violated, or empty; trace: the moves that lead to the violation.
    """

    states: int = 0
    moves: int = 0
    walks: int = 0
    max_depth: int = 0
    exhaustive: bool = False  # a search visited every state within the bounds
    broken: str = ""
    trace: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def per_s(self) -> float:
        """Moves per second."""
        return self.moves / self.seconds if self.seconds else 0.0


def search(initial: World, max_states: int, result: Exploration | None = None) -> Exploration:
    """Search breadth first, so that a counterexample is a shortest one; stops at the first violation.

    Adds to `result` if it is given.
    """
    result = result or Exploration()
    started = time.perf_counter()
    parents: dict[Hashable, tuple[Hashable, str] | None] = {initial.key(): None}
    depth = {initial.key(): 0}
    frontier: deque[World] = deque([initial])
    result.broken = initial.violation()
    while frontier and not result.broken and len(parents) < max_states:
        world = frontier.popleft()
        parent = world.key()
        for move in world.moves():
            result.moves += 1
            successor = world.after(move)
            key = successor.key()
            if key in parents:
                continue
            parents[key], depth[key] = (parent, move), depth[parent] + 1
            result.max_depth = max(result.max_depth, depth[key])
            if violation := successor.violation():
                result.broken, result.trace = violation, _trace_to(parents, key)
                break
            frontier.append(successor)
    result.exhaustive = not frontier and not result.broken
    result.states += len(parents)
    result.seconds += time.perf_counter() - started
    return result


def _trace_to(parents: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> list[str]:
    trace: list[str] = []
    step = parents[key]
    while step is not None:
        trace.append(step[1])
        step = parents[step[0]]
    return trace[::-1]


def walk(
    begin: Callable[[], World], walks: int, length: int, seed: int, result: Exploration | None = None
) -> Exploration:
    """Make random walks, each from a new initial state, until one violates an invariant.

    The counterexample is shortened. Adds to `result` if it is given.
    """
    result = result or Exploration()
    started = time.perf_counter()
    random = Random(seed)
    for _ in range(walks):
        result.walks += 1
        world, trace = begin(), []
        for _ in range(length):
            moves = world.moves()
            if not moves:
                break
            move = random.choice(list(moves))
            world = world.after(move)
            trace.append(move)
            result.moves += 1
            if violation := world.violation():
                result.broken, result.trace = violation, shorten(begin, trace)
                result.seconds += time.perf_counter() - started
                return result
        result.max_depth = max(result.max_depth, len(trace))
    result.seconds += time.perf_counter() - started
    return result


def replay(initial: World, trace: Sequence[str]) -> str:
    """The violation that a trace leads to; empty if there is none or a move is not possible."""
    world = initial
    for move in trace:
        if move not in world.moves():
            return ""
        world = world.after(move)
        if violation := world.violation():
            return violation
    return ""


def shorten(begin: Callable[[], World], trace: list[str]) -> list[str]:
    """Remove moves, in blocks of decreasing size, as long as the rest of the trace violates an invariant."""
    size = max(1, len(trace) // 2)
    while size:
        at = 0
        while at < len(trace):
            candidate = trace[:at] + trace[at + size :]
            if replay(begin(), candidate):
                trace = candidate
            else:
                at += size
        size //= 2
    return trace
