"""Faults planted in the production objects, to test the checks: each check must find its faults.

A fault of keepers is a world with a faulty Keeper class. A fault of leases replaces an attribute of a class
or module while `planted` is active.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from msgspec.structs import replace

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.consensus import Accept, Keeper, Promise, Save, Vote
from tamarindfold.agreement.lease import Lease
from tamarindfold.agreement.state import HeldShare, State
from tamarindfold.agreement.reconciler import Reconciler
from tamarindfold.modelcheck.keepers import KeeperWorld
from tamarindfold.modelcheck.leases import LeaseWorld


class _ForgetsPromise(Keeper):
    """Accepts entries in a lower ballot than it promised."""

    def _handle_accept(self, now: float, sender: int, message: Accept) -> None:
        self.promised = min(self.promised, message.ballot)
        super()._handle_accept(now, sender, message)


class _IgnoresVotes(Keeper):
    """Ignores accepted votes in an election, although those entries may have been chosen already."""

    def _handle_promise(self, now: float, sender: int, message: Promise) -> None:
        super()._handle_promise(now, sender, replace(message, vote=None))

    def _start_election(self, now: float) -> None:
        self.vote = None
        super()._start_election(now)


class _SmallMajority(Keeper):
    """Counts one keeper too few as a majority."""

    @property
    def majority(self) -> int:
        return self.size // 2


class _SkipsDiskWrite(Keeper):
    """Acknowledges votes and promises that it does not write to disk."""

    def _save(self, chosen: tuple = (), state: bytes = b"") -> None:  # type: ignore[type-arg]
        super()._save(chosen, state)
        last = self.actions[-1]
        assert isinstance(last, Save)
        self.actions[-1] = replace(last, vote=None, promised=(0, 0))


class _IgnoresBallotOfVote(Keeper):
    """Assumes that the entry that it accepted is chosen, even if it accepted it in another ballot."""

    def _learn_chosen(self, ballot: tuple[int, int], number: int) -> None:
        vote = self._pending_vote()
        if vote is not None and number >= vote.entry.number:
            self.vote = Vote(ballot, vote.entry)
        super()._learn_chosen(ballot, number)


def _world(keeper_class: type[Keeper], trusted: bool = False) -> type[KeeperWorld]:
    return type(
        f"World{keeper_class.__name__}",
        (KeeperWorld,),
        {"keeper_class": keeper_class, "disk_is_trusted": trusted},
    )


KEEPER_FAULTS: dict[str, type[KeeperWorld]] = {
    "a keeper forgets what it promised": _world(_ForgetsPromise),
    "a new leader ignores what was accepted": _world(_IgnoresVotes),
    "half of the keepers are enough": _world(_SmallMajority),
    "a keeper believes a disk that lacks what it said": _world(_SkipsDiskWrite, True),
    "a wiped keeper votes at once": _world(Keeper, True),
    "a keeper believes any leader of what it accepted": _world(_IgnoresBallotOfVote),
}


# ---- leases and shares


def _reduced_at_once(self: Reconciler, now: float, state: State, held: HeldShare) -> bool:
    return held.index >= 0


def _assume_applied(self: Reconciler, incarnation: str, number: int) -> bool:
    return True


def _forget_lost_share(self: State, incarnation: str, version: int) -> None:
    self.members.pop(incarnation, None)


def _lease_of_one_keeper(self: Lease, now: float) -> float:
    member = self.state.members.get(self.incarnation)
    if not self.confirmed_at or member is None or not member.active:
        return float("-inf")
    return max(self.confirmed_at.values()) + self.state.terms.lease_ms


def _endless_lease(self: Lease, now: float) -> float:
    member = self.state.members.get(self.incarnation)
    return float("inf") if self.confirmed_at and member is not None and member.active else float("-inf")


def _always_certain(self: Keeper) -> bool:
    return self.recovered


def _no_joint_phase(old: Any, new: Any) -> bool:
    return False


def _always_safe(self: State, new: Any) -> bool:
    return True


def _keep_share(self: Lease, member: Any) -> tuple[float, int]:
    return self.share, self.place[0]


# name: owner, attribute, faulty value
LEASE_FAULTS: dict[str, tuple[Any, str, Any]] = {
    "a lost instance is taken to be on the least share at once": (
        Reconciler,
        "_is_reduced",
        _reduced_at_once,
    ),
    "a step goes on before all have taken it up": (Reconciler, "_has_applied", _assume_applied),
    "a lost instance's share is handed out at once": (State, "_mark_lost", _forget_lost_share),
    "a lease counts from the answer": (LeaseWorld, "counts_from_arrival", True),
    "one keeper's answer is a lease": (Lease, "expires_at", _lease_of_one_keeper),
    "who has no lease keeps its share whatever it has taken up": (Lease, "_share_without_lease", _keep_share),
    "a lease never ends": (Lease, "expires_at", _endless_lease),
    "a sum is lowered without a joint step": (documents, "needs_joint_phase", _no_joint_phase),
    "a sum is lowered whatever lost instances may act on": (State, "safe_with_held_shares", _always_safe),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Plant a fault of LEASE_FAULTS for the duration of the context."""
    owner, attribute, fault = LEASE_FAULTS[name]
    original = owner.__dict__[attribute]
    setattr(owner, attribute, fault)
    try:
        yield
    finally:
        setattr(owner, attribute, original)
