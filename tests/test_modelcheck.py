"""Tests of the model checker.

It finds planted faults, its counterexamples can be replayed, and the production objects violate no invariant.
"""

from __future__ import annotations

from functools import partial

import pytest

from tamarindfold.modelcheck import keepers, leases
from tamarindfold.modelcheck.agreement import KEEPER_LENGTH, LEASE_LENGTH, WALKS
from tamarindfold.modelcheck.explorer import Exploration, replay, search, walk
from tamarindfold.modelcheck.planted import KEEPER_FAULTS, LEASE_FAULTS, planted
from tamarindfold.modelcheck.simulated import SimulatedFleet


class CounterWorld:
    """A counter whose invariant is violated at three."""

    def __init__(self, at: int = 0) -> None:
        self.at = at

    def moves(self) -> list[str]:
        return ["up", "down"] if self.at else ["up"]

    def after(self, move: str) -> CounterWorld:
        return CounterWorld(self.at + (1 if move == "up" else -1))

    def key(self) -> int:
        return self.at

    def violation(self) -> str:
        return "three" if self.at == 3 else ""


def test_search_finds_a_shortest_trace_and_walk_shortens_its_trace() -> None:
    result = search(CounterWorld(), 100)
    assert (result.broken, result.trace) == ("three", ["up"] * 3)
    walked = walk(CounterWorld, 50, 60, 1)
    assert replay(CounterWorld(), walked.trace) == "three" and len(walked.trace) == 3
    assert replay(CounterWorld(), ["down"]) == ""  # not a possible move


def test_exhaustive_search_of_the_keepers_finds_no_violation() -> None:
    result = search(keepers.KeeperWorld.begin(keepers.Bounds(elections=1, proposals=1, heartbeats=0)), 50_000)
    assert result.exhaustive and not result.broken and result.states > 1_000


def test_random_walks_of_the_production_objects_find_no_violation() -> None:
    result = walk(partial(keepers.KeeperWorld.begin, WALKS), 60, KEEPER_LENGTH, 5)
    for scenario in leases.STARTING_SCENARIOS.values():
        walk(partial(leases.LeaseWorld, leases.Bounds(), scenario), 6, LEASE_LENGTH, 5, result)
    assert not result.broken and result.moves > 5_000


@pytest.mark.parametrize(
    "name",
    [
        "a new leader ignores what was accepted",
        "half of the keepers are enough",
        "a keeper believes any leader of what it accepted",
    ],
)
def test_fault_planted_in_keepers_is_found_and_its_trace_can_be_replayed(name: str) -> None:
    begin = partial(KEEPER_FAULTS[name].begin, WALKS)
    result = walk(begin, 300, KEEPER_LENGTH, 1)
    assert result.broken and replay(begin(), result.trace) == result.broken
    assert not replay(
        keepers.KeeperWorld.begin(WALKS), result.trace
    )  # the production keepers have no such fault


@pytest.mark.parametrize(
    "name",
    [
        "a lost instance's share is handed out at once",
        "a lease never ends",
        "a sum is lowered without a joint step",
    ],
)
def test_fault_planted_in_leases_is_found(name: str) -> None:
    result = Exploration()
    with planted(name):
        for seed in range(12):
            for scenario in leases.STARTING_SCENARIOS.values():
                if not result.broken:
                    walk(partial(leases.LeaseWorld, leases.Bounds(), scenario), 6, LEASE_LENGTH, seed, result)
    assert result.broken
    assert set(LEASE_FAULTS) > {name}


def test_shares_of_sixty_simulated_instances_never_exceed_the_whole() -> None:
    fleet = SimulatedFleet(60, 3, 1, (0.2, 2.0), 0.3, 1.0)
    assert fleet.run(lambda: any(k.leads for k in fleet.keepers), 5_000)
    terms = leases.msgspec.structs.replace(leases.document(8).terms, most_instances=100)
    settings = leases.msgspec.structs.replace(leases.document(8), terms=terms)
    assert fleet.propose(1, settings)
    assert fleet.run(lambda: fleet.leased_count == 60, 30_000)
    fleet.partitioned = {0, 1, 2}
    for _ in range(40):
        fleet.run(lambda: False, 200.0)
        fleet.check_total_share()
    assert fleet.without_lease_count and fleet.max_excess_share < 1e-9
    fleet.partitioned = set()
    assert fleet.run(lambda: fleet.leased_count == 60, 30_000)
    fleet.check_total_share()
    assert fleet.max_excess_share < 1e-9
