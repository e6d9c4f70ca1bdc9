"""The model check of the replicated log and its leases.

Runs searches, random walks and a search for each planted fault, spread over several processes.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from typing import Any

from tamarindfold.modelcheck import keepers, leases
from tamarindfold.modelcheck.explorer import Exploration, search, walk
from tamarindfold.modelcheck.planted import KEEPER_FAULTS, LEASE_FAULTS, planted

SEARCHES = (
    keepers.Bounds(elections=1, proposals=1, heartbeats=1),
    keepers.Bounds(elections=2, proposals=1, heartbeats=0),
    keepers.Bounds(elections=2, proposals=2, heartbeats=1),
    keepers.Bounds(elections=2, proposals=1, heartbeats=1, wipes=1),
)
WALKS = keepers.Bounds(elections=4, proposals=3, crashes=1, wipes=1, duplicates=3)
KEEPER_LENGTH = 80  # moves per walk
LEASE_LENGTH = 120
KEEPER_FAULT_WALKS = 1_500  # twice the number of walks that are made per seed and planted fault
LEASE_FAULT_WALKS = 1_000  # approximate limit of walks per planted fault


def _walk_keepers(seed: int, walks: int) -> Exploration:
    return walk(partial(keepers.KeeperWorld.begin, WALKS), walks, KEEPER_LENGTH, seed)


def _walk_leases(seed: int, walks: int, scenario: str) -> Exploration:
    moves = leases.STARTING_SCENARIOS[scenario]
    return walk(partial(leases.LeaseWorld, leases.Bounds(), moves), walks, LEASE_LENGTH, seed)


def _search_keepers(bounds: keepers.Bounds, max_states: int) -> Exploration:
    return search(keepers.KeeperWorld.begin(bounds), max_states)


def _find_keeper_fault(name: str, seed: int) -> Exploration:
    world, result = KEEPER_FAULTS[name], Exploration()
    for offset in range(8):
        walk(partial(world.begin, WALKS), KEEPER_FAULT_WALKS // 2, KEEPER_LENGTH, seed + offset, result)
        if result.broken:
            break
    return result


def _find_lease_fault(name: str, seed: int) -> Exploration:
    result = Exploration()
    with planted(name):
        for offset in range(LEASE_FAULT_WALKS // (20 * len(leases.STARTING_SCENARIOS)) + 1):
            for moves in leases.STARTING_SCENARIOS.values():
                begin = partial(leases.LeaseWorld, leases.Bounds(), moves)
                walk(begin, 20, LEASE_LENGTH, seed + offset, result)
                if result.broken:
                    return result
    return result


def _run(job: tuple[str, Callable[[], Exploration]]) -> tuple[str, Exploration]:
    return job[0], job[1]()


def jobs(scale: float, seed: int) -> list[tuple[str, Callable[[], Exploration]]]:
    """Names and picklable calls of all explorations; scale 1 takes one or two minutes on 8 cores."""
    walks = max(1, int(1_000 * scale))
    result: list[tuple[str, Callable[[], Exploration]]] = []
    result += [(f"planted: {name}", partial(_find_lease_fault, name, seed)) for name in LEASE_FAULTS]
    result += [(f"planted: {name}", partial(_find_keeper_fault, name, seed)) for name in KEEPER_FAULTS]
    result += [
        (
            f"search {bounds.elections}/{bounds.proposals}/{bounds.heartbeats}/{bounds.wipes}",
            partial(_search_keepers, bounds, max(1_000, int(150_000 * scale))),
        )
        for bounds in SEARCHES
    ]
    result += [(f"keepers {offset}", partial(_walk_keepers, seed + offset, walks)) for offset in range(8)]
    result += [
        (f"leases {name}", partial(_walk_leases, seed, walks // 2 + 1, name))
        for name in leases.STARTING_SCENARIOS
    ]
    return result


def check(scale: float, seed: int, workers: int) -> dict[str, Any]:
    """Run all explorations and return the report.

    `passed` is true if no invariant was violated and every planted fault was found.
    """
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(_run, jobs(scale, seed)))
    real = {name: result for name, result in results if not name.startswith("planted")}
    faults = {
        name.removeprefix("planted: "): result for name, result in results if name.startswith("planted")
    }
    broken = {name: result for name, result in real.items() if result.broken}
    moves, seconds = sum(r.moves for r in real.values()), sum(r.seconds for r in real.values())
    return {
        "passed": not broken and all(r.broken for r in faults.values()),
        "model_states": sum(r.states or r.moves for r in real.values()),
        "model_moves": moves,
        "model_states_per_s": round(moves / seconds) if seconds else 0,
        "searched_whole": [name for name, result in real.items() if result.exhaustive],
        "deepest": max(result.max_depth for result in real.values()),
        "planted": len(faults),
        "planted_found": sum(bool(r.broken) for r in faults.values()),
        "missed": [name for name, result in faults.items() if not result.broken],
        "broken": {name: {"what": r.broken, "trace": r.trace} for name, r in broken.items()},
        "faults": {
            name: {k: v for k, v in asdict(r).items() if k in ("walks", "moves", "broken", "trace")}
            for name, r in faults.items()
        },
    }
