"""A model of the keepers' consensus group: lost, repeated and reordered messages, crashes, wiped disks.

Timers are replaced by free choice: at any moment, any keeper may start an election or repeat its heartbeat.
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

Message = tuple[int, int, KeeperMessage]  # sender, receiver, content


class Bounds(msgspec.Struct, frozen=True):
    """How often each kind of event may happen in one world."""

    keepers: int = 3
    elections: int = 2
    proposals: int = 2
    crashes: int = 0
    wipes: int = 0  # crashes that lose the disk
    heartbeats: int = 1_000  # retransmissions by a leader
    duplicates: int = 0  # messages that are delivered and stay in the network


class StoredDisk(msgspec.Struct):
    """The durable state of one keeper, held in memory."""

    promised: tuple[int, int] = (0, 0)
    vote: Vote | None = None
    entries: tuple[Entry, ...] = ()


def message_label(message: Message) -> str:
    """A label that is unique to the message and the same in every run."""
    sender, to, content = message
    digest = hashlib.blake2b(repr(content).encode(), digest_size=3).hexdigest()
    return f"{sender}>{to} {type(content).__name__} {digest}"


def clone(keeper: Keeper) -> Keeper:
    """An independent copy of a keeper; entries and messages are immutable and shared."""
    duplicate = copy(keeper)
    duplicate.state = keeper.state.copy()
    duplicate.entries, duplicate.submissions = deque(keeper.entries), deque(keeper.submissions)
    duplicate.state_replies, duplicate.promises = dict(keeper.state_replies), dict(keeper.promises)
    duplicate.acceptors, duplicate.last_reply_at = set(keeper.acceptors), dict(keeper.last_reply_at)
    return duplicate


class KeeperWorld:
    """The keepers, the messages in transit, and every entry that was ever known to be chosen.

    Names of the moves (K: a keeper, M: the label of a message):

    - `ask K`: a keeper that has started, and has no vote yet, asks the others for their state again.
    - `stand K`: the keeper starts an election. `beat K`: the leader sends its heartbeats or proposal again.
    - `offer K`: an entry is submitted to the leader.
    - `crash K`: the keeper restarts from its disk. `wipe K`: it restarts with an empty disk.
    - `deliver M`: the message arrives; one that never does is lost.
    - `repeat M`: the message arrives, and may arrive again.

    The invariant: no keeper learns of a chosen entry that differs from the one chosen before at that number.
    """

    keeper_class: type[Keeper] = Keeper
    disk_is_trusted = False  # set by planted faults: a restarted keeper votes without asking the others

    def __init__(
        self,
        bounds: Bounds,
        keepers: Sequence[Keeper],
        disks: Sequence[StoredDisk],
        network: frozenset[Message],
        chosen: tuple[bytes, ...],
        conflict: str,
        remaining: Bounds,
    ) -> None:
        """chosen: hashes of the chosen entries; remaining: how many more events may happen."""
        self.bounds, self.keepers, self.disks, self.network = bounds, tuple(keepers), tuple(disks), network
        self.chosen, self.conflict, self.remaining = chosen, conflict, remaining
        self._key: Hashable = None

    @classmethod
    def begin(cls, bounds: Bounds) -> KeeperWorld:
        """A newly created group: all disks are empty and trusted."""
        keepers = [
            cls.keeper_class(me, bounds.keepers, DurableState(), me, 0.0, True)
            for me in range(bounds.keepers)
        ]
        return cls(bounds, keepers, [StoredDisk() for _ in keepers], frozenset(), (), "", bounds)

    # ---- moves

    def moves(self) -> list[str]:
        possible = []
        remaining = self.remaining
        for keeper in self.keepers:
            me = keeper.me
            if not keeper.recovered:
                possible.append(f"ask {me}")
            # keepers are interchangeable at first, so only keeper 0 starts the first election
            elif (
                keeper.role != "leader"
                and remaining.elections
                and (remaining.elections < self.bounds.elections or me == 0)
            ):
                possible.append(f"stand {me}")
            if keeper.leads:
                if remaining.heartbeats:
                    possible.append(f"beat {me}")
                if remaining.proposals and keeper.proposal is None:
                    possible.append(f"offer {me}")
            if remaining.crashes:
                possible.append(f"crash {me}")
            if remaining.wipes:
                possible.append(f"wipe {me}")
        for label in sorted(map(message_label, self.network)):
            possible.append(f"deliver {label}")
            if remaining.duplicates:
                possible.append(f"repeat {label}")
        return possible

    def after(self, move: str) -> KeeperWorld:
        kind, _, argument = move.partition(" ")
        remaining, network = self.remaining, self.network
        disks = list(self.disks)
        if kind in ("deliver", "repeat"):
            message = next(m for m in self.network if message_label(m) == argument)
            sender, me, content = message
            keeper = clone(self.keepers[me])
            if kind == "repeat":
                remaining = msgspec.structs.replace(remaining, duplicates=remaining.duplicates - 1)
            else:
                network = network - {message}
            # Otherwise keepers that recently heard from their leader would reject candidates, and some orders
            # of events would never be explored.
            keeper.leader_heard_at = -1e9
            actions = keeper.receive(0.0, sender, content)
        else:
            me = int(argument)
            keeper = clone(self.keepers[me])
            if kind == "stand":
                remaining = msgspec.structs.replace(remaining, elections=remaining.elections - 1)
                keeper.election_due = 0.0
                if keeper.role != "follower":
                    keeper._step_down(0.0)
                    keeper.election_due = 0.0
                actions = keeper.tick(0.0)
            elif kind == "beat":
                remaining = msgspec.structs.replace(remaining, heartbeats=remaining.heartbeats - 1)
                keeper.next_send_at, keeper.last_reply_at = 0.0, dict.fromkeys(keeper.others, 0.0)
                actions = keeper.tick(0.0)
            elif kind == "ask":
                keeper.next_send_at = 0.0
                actions = keeper.tick(0.0)
            elif kind == "offer":
                proposed = self.bounds.proposals - remaining.proposals
                remaining = msgspec.structs.replace(remaining, proposals=remaining.proposals - 1)
                body: Body = Left((f"{me}-{proposed}",))
                actions = keeper.submit(0.0, proposed + 1, body)
            else:
                wiped = kind == "wipe"
                remaining = (
                    msgspec.structs.replace(remaining, wipes=remaining.wipes - 1)
                    if wiped
                    else msgspec.structs.replace(remaining, crashes=remaining.crashes - 1)
                )
                disks[me] = StoredDisk() if wiped else disks[me]
                stored = disks[me]
                restarts = self.bounds.wipes + self.bounds.crashes - remaining.wipes - remaining.crashes
                keeper = self.keeper_class(
                    me,
                    self.bounds.keepers,
                    DurableState(stored.promised, stored.vote, None, list(stored.entries)),
                    100 * restarts + me,
                    0.0,
                    self.disk_is_trusted,
                )
                actions = keeper.begin(0.0)
        chosen, conflict = list(self.chosen), self.conflict
        disk = disks[me]
        for action in actions:
            network, disk = self._carry_out(me, keeper, action, network, disk)
        disks[me] = disk
        for entry in keeper.entries:
            if entry.number > len(chosen):
                chosen.append(entry.chain)
            elif chosen[entry.number - 1] != entry.chain and not conflict:
                conflict = f"keeper {me} knows a different entry {entry.number} than was chosen before"
        keepers = list(self.keepers)
        keeper.actions = []
        keepers[me] = keeper
        return type(self)(self.bounds, keepers, disks, network, tuple(chosen), conflict, remaining)

    def _carry_out(
        self, me: int, keeper: Keeper, action: Action, network: frozenset[Message], disk: StoredDisk
    ) -> tuple[frozenset[Message], StoredDisk]:
        match action:
            case Send(to, content):
                return network | {(me, to, content)}, disk
            case Save(promised, vote, chosen, _):  # these logs are too short for a snapshot
                return network, StoredDisk(promised, vote, disk.entries + chosen)
            case Outcome() | EntriesChosen():
                return network, disk

    # ---- invariants

    def violation(self) -> str:
        return self.conflict

    def key(self) -> Hashable:
        if self._key is None:
            self._key = (
                tuple(map(_keeper_key, self.keepers)),
                tuple((disk.promised, disk.vote, len(disk.entries)) for disk in self.disks),
                self.network,
                self.remaining,
                self.chosen,
            )
        return self._key


def _keeper_key(keeper: Keeper) -> Hashable:
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
