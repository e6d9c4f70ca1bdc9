"""Explores a world of real objects: every order of moves within bounds, then long walks by chance.

A world is not changed by a move: it gives another one. Worlds with the same key are the same; each is gone on
from once. A trace is the names of the moves, so that a counter-example can be played again as a test.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol


class World(Protocol):
    """What is explored."""

    def moves(self) -> Sequence[str]:
        """The names of what may happen next, the same for the same key."""

    def after(self, move: str) -> World:
        """The world once that has happened."""

    def key(self) -> Hashable:
        """What tells this world from others; those that are alike but for names may share one."""

    def broken(self) -> str:
        """What does not hold here; empty where all does."""


@dataclass
class Found:
    """What an exploration came to. states: different worlds seen by the search, moves: all that were made."""

    states: int = 0
    moves: int = 0
    walks: int = 0
    deepest: int = 0
    whole: bool = False  # every world within the bounds was seen
    broken: str = ""
    trace: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def per_s(self) -> float:
        """Moves a second."""
        return self.moves / self.seconds if self.seconds else 0.0


def search(begin: World, most_states: int, found: Found | None = None) -> Found:
    """Breadth first, so that a counter-example is a shortest one; `whole` where nothing was left out."""
    made = found or Found()
    began = time.perf_counter()
    seen: dict[Hashable, tuple[Hashable, str] | None] = {begin.key(): None}
    depth = {begin.key(): 0}
    edge: deque[World] = deque([begin])
    made.broken = begin.broken()
    while edge and not made.broken and len(seen) < most_states:
        world = edge.popleft()
        here = world.key()
        for move in world.moves():
            made.moves += 1
            then = world.after(move)
            key = then.key()
            if key in seen:
                continue
            seen[key], depth[key] = (here, move), depth[here] + 1
            made.deepest = max(made.deepest, depth[key])
            if reason := then.broken():
                made.broken, made.trace = reason, _back(seen, key)
                break
            edge.append(then)
    made.whole = not edge and not made.broken
    made.states += len(seen)
    made.seconds += time.perf_counter() - began
    return made


def _back(seen: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> list[str]:
    trace: list[str] = []
    step = seen[key]
    while step is not None:
        trace.append(step[1])
        step = seen[step[0]]
    return trace[::-1]


def walk(begin: Callable[[], World], walks: int, length: int, seed: int, found: Found | None = None) -> Found:
    """Walks by chance, each from the beginning; a counter-example is shortened by leaving moves out."""
    made = found or Found()
    began = time.perf_counter()
    random = Random(seed)
    for _ in range(walks):
        made.walks += 1
        world, trace = begin(), []
        for _ in range(length):
            moves = world.moves()
            if not moves:
                break
            move = random.choice(list(moves))
            world = world.after(move)
            trace.append(move)
            made.moves += 1
            if reason := world.broken():
                made.broken, made.trace = reason, shorten(begin, trace)
                made.seconds += time.perf_counter() - began
                return made
        made.deepest = max(made.deepest, len(trace))
    made.seconds += time.perf_counter() - began
    return made


def replay(begin: World, trace: Sequence[str]) -> str:
    """What a trace breaks; empty where it breaks nothing or can't be played."""
    world = begin
    for move in trace:
        if move not in world.moves():
            return ""
        world = world.after(move)
        if reason := world.broken():
            return reason
    return ""


def shorten(begin: Callable[[], World], trace: list[str]) -> list[str]:
    """A part of the trace that still breaks something, without a piece that could be left out."""
    size = max(1, len(trace) // 2)
    while size:
        at = 0
        while at < len(trace):
            less = trace[:at] + trace[at + size :]
            if replay(begin(), less):
                trace = less
            else:
                at += size
        size //= 2
    return trace
