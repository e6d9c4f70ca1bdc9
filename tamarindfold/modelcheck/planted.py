"""Faults put into the real objects on purpose: a check that does not find each of them is worth nothing."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from msgspec.structs import replace as changed

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.consensus import Accept, Keeper, Promise, Save, Vote
from tamarindfold.agreement.lease import Lease
from tamarindfold.agreement.state import HeldShare, State
from tamarindfold.agreement.reconciler import Reconciler
from tamarindfold.modelcheck.keepers import KeeperWorld
from tamarindfold.modelcheck.leases import LeaseWorld


class _ForgetsPromises(Keeper):
    """Accepts in a ballot lower than the one it promised."""

    def _handle_accept(self, now: float, sender: int, what: Accept) -> None:
        self.promised = min(self.promised, what.ballot)
        super()._handle_accept(now, sender, what)


class _IgnoresVotes(Keeper):
    """Leads without a look at what others may have chosen with an earlier leader."""

    def _handle_promise(self, now: float, sender: int, what: Promise) -> None:
        super()._handle_promise(now, sender, changed(what, vote=None))

    def _start_election(self, now: float) -> None:
        self.vote = None
        super()._start_election(now)


class _HalfIsEnough(Keeper):
    """Takes one other keeper fewer for a majority."""

    @property
    def majority(self) -> int:
        return self.size // 2


class _NeverSyncs(Keeper):
    """Says that it accepted what is not on its disk."""

    def _save(self, chosen: tuple = (), state: bytes = b"") -> None:  # type: ignore[type-arg]
        super()._save(chosen, state)
        last = self.actions[-1]
        assert isinstance(last, Save)
        self.actions[-1] = changed(last, vote=None, promised=(0, 0))


class _BelievesAnyBallot(Keeper):
    """Takes what it had accepted for chosen, whichever leader's ballot that was in."""

    def _learn_chosen(self, ballot: tuple[int, int], number: int) -> None:
        vote = self._pending_vote()
        if vote is not None and number >= vote.entry.number:
            self.vote = Vote(ballot, vote.entry)
        super()._learn_chosen(ballot, number)


def _world(planted: type[Keeper], trusted: bool = False) -> type[KeeperWorld]:
    return type(f"World{planted.__name__}", (KeeperWorld,), {"make": planted, "disk_is_trusted": trusted})


KEEPER_FAULTS: dict[str, type[KeeperWorld]] = {
    "a keeper forgets what it promised": _world(_ForgetsPromises),
    "a new leader ignores what was accepted": _world(_IgnoresVotes),
    "half of the keepers are enough": _world(_HalfIsEnough),
    "a keeper believes a disk that lacks what it said": _world(_NeverSyncs, True),
    "a wiped keeper votes at once": _world(Keeper, True),
    "a keeper believes any leader of what it accepted": _world(_BelievesAnyBallot),
}


# ---- leases and shares


def _no_wait_for_floor(self: Reconciler, now: float, state: State, held: HeldShare) -> bool:
    return held.index >= 0


def _everybody_has(self: Reconciler, life: str, number: int) -> bool:
    return True


def _lose_and_forget(self: State, life: str, version: int) -> None:
    self.members.pop(life, None)


def _one_keeper_will_do(self: Lease, now: float) -> float:
    member = self.state.members.get(self.incarnation)
    if not self.confirmed_at or member is None or not member.active:
        return float("-inf")
    return max(self.confirmed_at.values()) + self.state.terms.lease_ms


def _never_ends(self: Lease, now: float) -> float:
    member = self.state.members.get(self.incarnation)
    return float("inf") if self.confirmed_at and member is not None and member.active else float("-inf")


def _always_certain(self: Keeper) -> bool:
    return self.recovered


def _no_joint(old: Any, new: Any) -> bool:
    return False


def _bearable(self: State, new: Any) -> bool:
    return True


def _keeps_all(self: Lease, member: Any) -> tuple[float, int]:
    return self.share, self.place[0]


LEASE_FAULTS: dict[str, tuple[Any, str, Any]] = {
    "a lost instance is taken to be on the least share at once": (
        Reconciler,
        "_is_reduced",
        _no_wait_for_floor,
    ),
    "a step goes on before all have taken it up": (Reconciler, "_has_applied", _everybody_has),
    "a lost instance's share is handed out at once": (State, "_mark_lost", _lose_and_forget),
    "a lease counts from the answer": (LeaseWorld, "counts_from_arrival", True),
    "one keeper's answer is a lease": (Lease, "expires_at", _one_keeper_will_do),
    "who has no lease keeps its share whatever it has taken up": (Lease, "_share_without_lease", _keeps_all),
    "a lease never ends": (Lease, "expires_at", _never_ends),
    "a sum is lowered without a joint step": (documents, "needs_joint_phase", _no_joint),
    "a sum is lowered whatever lost instances may act on": (State, "safe_with_held_shares", _bearable),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Inside, the objects have this fault."""
    where, what, fault = LEASE_FAULTS[name]
    held = where.__dict__[what]
    setattr(where, what, fault)
    try:
        yield
    finally:
        setattr(where, what, held)
