"""Faults put into the real objects on purpose: a check that does not find each of them is worth nothing."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from msgspec.structs import replace as changed

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.consensus import Accept, Keeper, Promise, Save, Vote
from tamarindfold.agreement.lease import Lease
from tamarindfold.agreement.state import Held, State
from tamarindfold.agreement.steward import Steward
from tamarindfold.modelcheck.keepers import KeeperWorld
from tamarindfold.modelcheck.leases import LeaseWorld


class _ForgetsPromises(Keeper):
    """Accepts in a ballot lower than the one it promised."""

    def _accept(self, now: float, sender: int, what: Accept) -> None:
        self.promised = min(self.promised, what.ballot)
        super()._accept(now, sender, what)


class _IgnoresVotes(Keeper):
    """Leads without a look at what others may have chosen with an earlier leader."""

    def _promised(self, now: float, sender: int, what: Promise) -> None:
        super()._promised(now, sender, changed(what, vote=None))

    def _stand(self, now: float) -> None:
        self.vote = None
        super()._stand(now)


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

    def _advance(self, ballot: tuple[int, int], number: int) -> None:
        vote = self._open_vote()
        if vote is not None and number >= vote.entry.number:
            self.vote = Vote(ballot, vote.entry)
        super()._advance(ballot, number)


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


def _no_wait_for_floor(self: Steward, now: float, state: State, held: Held) -> bool:
    return held.index >= 0


def _everybody_has(self: Steward, life: str, number: int) -> bool:
    return True


def _lose_and_forget(self: State, life: str, version: int) -> None:
    self.members.pop(life, None)


def _one_keeper_will_do(self: Lease, now: float) -> float:
    member = self.state.members.get(self.life)
    if not self.fresh or member is None or not member.acting:
        return float("-inf")
    return max(self.fresh.values()) + self.state.terms.lease_ms


def _never_ends(self: Lease, now: float) -> float:
    member = self.state.members.get(self.life)
    return float("inf") if self.fresh and member is not None and member.acting else float("-inf")


def _always_certain(self: Keeper) -> bool:
    return self.proven


def _no_joint(old: Any, new: Any) -> bool:
    return False


def _bearable(self: State, new: Any) -> bool:
    return True


def _keeps_all(self: Lease, member: Any) -> tuple[float, int]:
    return self.share, self.place[0]


LEASE_FAULTS: dict[str, tuple[Any, str, Any]] = {
    "a lost instance is taken to be on the least share at once": (Steward, "_is_floored", _no_wait_for_floor),
    "a step goes on before all have taken it up": (Steward, "_has", _everybody_has),
    "a lost instance's share is handed out at once": (State, "_lose", _lose_and_forget),
    "a lease counts from the answer": (LeaseWorld, "counts_from_arrival", True),
    "one keeper's answer is a lease": (Lease, "until", _one_keeper_will_do),
    "who has no lease keeps its share whatever it has taken up": (Lease, "_kept", _keeps_all),
    "a lease never ends": (Lease, "until", _never_ends),
    "a sum is lowered without a joint step": (documents, "needs_joint", _no_joint),
    "a sum is lowered whatever lost instances may act on": (State, "bearable", _bearable),
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
