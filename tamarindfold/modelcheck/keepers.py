"""The keepers of the agreed log as a world: messages lost, repeated and out of order, crashes, wiped disks.

What the clock would decide is left to chance: any keeper may stand or say again what it said at any moment.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Hashable, Sequence
from copy import copy

import msgspec

from tamarindfold.agreement.consensus import (
    Action,
    EntriesChosen,
    DurableState,
    Keeper,
    Outcome,
    KeeperMessage,
    Save,
    Send,
    Vote,
)
from tamarindfold.agreement.log import Body, Entry, Left

Message = tuple[int, int, KeeperMessage]  # from, to, what


class Bounds(msgspec.Struct, frozen=True):
    """How much may happen in one world."""

    keepers: int = 3
    stands: int = 2
    offers: int = 2
    crashes: int = 0
    wipes: int = 0
    beats: int = 1_000  # times that a leader says again what it said
    repeats: int = 0  # messages that are delivered and stay in the net


class Stored(msgspec.Struct):
    """A disk in memory."""

    promised: tuple[int, int] = (0, 0)
    vote: Vote | None = None
    entries: tuple[Entry, ...] = ()


def named(message: Message) -> str:
    """A name for a message that tells it from all others, and is the same in every play."""
    sender, to, what = message
    mark = hashlib.blake2b(repr(what).encode(), digest_size=3).hexdigest()
    return f"{sender}>{to} {type(what).__name__} {mark}"


def clone(keeper: Keeper) -> Keeper:
    """Another keeper that goes its own way; entries and messages are never changed."""
    made = copy(keeper)
    made.state = keeper.state.copy()
    made.entries, made.submissions = deque(keeper.entries), deque(keeper.submissions)
    made.state_replies, made.promises = dict(keeper.state_replies), dict(keeper.promises)
    made.acceptors, made.last_reply_at = set(keeper.acceptors), dict(keeper.last_reply_at)
    return made


class KeeperWorld:
    """Keepers, what is under way between them, and all that anybody was ever told to be chosen."""

    make: type[Keeper] = Keeper
    disk_is_trusted = False  # planted: a keeper that starts votes at once

    def __init__(
        self,
        bounds: Bounds,
        keepers: Sequence[Keeper],
        disks: Sequence[Stored],
        net: frozenset[Message],
        chosen: tuple[bytes, ...],
        conflict: str,
        left: Bounds,
    ) -> None:
        self.bounds, self.keepers, self.disks, self.net = bounds, tuple(keepers), tuple(disks), net
        self.chosen, self.conflict, self.left = chosen, conflict, left
        self._key: Hashable = None

    @classmethod
    def begin(cls, bounds: Bounds) -> KeeperWorld:
        """Keepers that have started and know that all disks are empty."""
        keepers = [
            cls.make(me, bounds.keepers, DurableState(), me, 0.0, True) for me in range(bounds.keepers)
        ]
        return cls(bounds, keepers, [Stored() for _ in keepers], frozenset(), (), "", bounds)

    # ---- moves

    def moves(self) -> list[str]:
        out = []
        left = self.left
        for keeper in self.keepers:
            me = keeper.me
            if not keeper.recovered:
                out.append(f"ask {me}")
            # alike but for their numbers: the first to stand is the first keeper
            elif keeper.role != "leader" and left.stands and (left.stands < self.bounds.stands or me == 0):
                out.append(f"stand {me}")
            if keeper.leads:
                if left.beats:
                    out.append(f"beat {me}")
                if left.offers and keeper.proposal is None:
                    out.append(f"offer {me}")
            if left.crashes:
                out.append(f"crash {me}")
            if left.wipes:
                out.append(f"wipe {me}")
        for label in sorted(map(named, self.net)):
            out.append(f"deliver {label}")
            if left.repeats:
                out.append(f"repeat {label}")
        return out

    def after(self, move: str) -> KeeperWorld:
        what, _, text = move.partition(" ")
        left, net = self.left, self.net
        disks = list(self.disks)
        if what in ("deliver", "repeat"):
            message = next(m for m in self.net if named(m) == text)
            sender, me, said = message
            keeper = clone(self.keepers[me])
            if what == "repeat":
                left = msgspec.structs.replace(left, repeats=left.repeats - 1)
            else:
                net = net - {message}
            keeper.leader_heard_at = -1e9  # loyalty to a leader would only leave orders out
            actions = keeper.receive(0.0, sender, said)
        else:
            me = int(text)
            keeper = clone(self.keepers[me])
            if what == "stand":
                left = msgspec.structs.replace(left, stands=left.stands - 1)
                keeper.election_due = 0.0
                if keeper.role != "follower":
                    keeper._step_down(0.0)
                    keeper.election_due = 0.0
                actions = keeper.tick(0.0)
            elif what == "beat":
                left = msgspec.structs.replace(left, beats=left.beats - 1)
                keeper.next_send_at, keeper.last_reply_at = 0.0, dict.fromkeys(keeper.others, 0.0)
                actions = keeper.tick(0.0)
            elif what == "ask":
                keeper.next_send_at = 0.0
                actions = keeper.tick(0.0)
            elif what == "offer":
                turn = self.bounds.offers - left.offers
                left = msgspec.structs.replace(left, offers=left.offers - 1)
                body: Body = Left((f"{me}-{turn}",))
                actions = keeper.submit(0.0, turn + 1, body)
            else:
                wiped = what == "wipe"
                left = (
                    msgspec.structs.replace(left, wipes=left.wipes - 1)
                    if wiped
                    else msgspec.structs.replace(left, crashes=left.crashes - 1)
                )
                disks[me] = Stored() if wiped else disks[me]
                found = disks[me]
                life = self.bounds.wipes + self.bounds.crashes - left.wipes - left.crashes
                keeper = self.make(
                    me,
                    self.bounds.keepers,
                    DurableState(found.promised, found.vote, None, list(found.entries)),
                    100 * life + me,
                    0.0,
                    self.disk_is_trusted,
                )
                actions = keeper.begin(0.0)
        chosen, conflict = list(self.chosen), self.conflict
        disk = disks[me]
        for action in actions:
            net, disk = self._carry_out(me, keeper, action, net, disk)
        disks[me] = disk
        for entry in keeper.entries:
            if entry.number > len(chosen):
                chosen.append(entry.chain)
            elif chosen[entry.number - 1] != entry.chain and not conflict:
                conflict = f"keeper {me} knows another entry {entry.number} than was chosen before"
        keepers = list(self.keepers)
        keeper.actions = []
        keepers[me] = keeper
        return type(self)(self.bounds, keepers, disks, net, tuple(chosen), conflict, left)

    def _carry_out(
        self, me: int, keeper: Keeper, action: Action, net: frozenset[Message], disk: Stored
    ) -> tuple[frozenset[Message], Stored]:
        match action:
            case Send(to, what):
                return net | {(me, to, what)}, disk
            case Save(promised, vote, chosen, _):  # so small a world needs no whole state
                return net, Stored(promised, vote, disk.entries + chosen)
            case Outcome() | EntriesChosen():
                return net, disk

    # ---- what must hold

    def broken(self) -> str:
        return self.conflict

    def key(self) -> Hashable:
        if self._key is None:
            self._key = (
                tuple(map(_known, self.keepers)),
                tuple((d.promised, d.vote, len(d.entries)) for d in self.disks),
                self.net,
                self.left,
                self.chosen,
            )
        return self._key


def _known(keeper: Keeper) -> Hashable:
    return (
        keeper.promised,
        keeper.vote,
        keeper.state.chain,
        keeper.recovered,
        keeper.role,
        keeper.ballot,
        frozenset(keeper.promises.items()) if keeper.role == "candidate" else None,
        frozenset(keeper.acceptors) if keeper.proposal else None,
        keeper.proposal,
        frozenset(keeper.state_replies.items()) if not keeper.recovered else None,
    )
