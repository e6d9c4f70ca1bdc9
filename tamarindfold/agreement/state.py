"""What the agreed log comes to: the version in force, those on their way, the roster, and everybody's share.

Shares: a member acts on `share` of every sum. One that was lost keeps what it may act on (`held`) until it is
back, is known to be gone, or has been away for so long that it acts on the least. A share grows only with
Settled, which is written once every member has taken up the last change of the roster; so what all act on
together never exceeds the whole, whoever lags. No I/O, no clock.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.document import LEAST_PART, Document, Terms
from tamarindfold.agreement.log import (
    BEGINNING,
    Begun,
    Body,
    Dropped,
    Entry,
    Floored,
    InForce,
    Joined,
    JointBegan,
    Left,
    Lost,
    Newcomer,
    Proposed,
    Settled,
    read,
)

MOST_QUEUED = 16  # versions on their way
KEPT_NOTES = 200  # versions in the history
KEPT_DOCUMENTS = 20  # whole, of those that are in force no more
KEPT_PART = 1e-7  # of every sum: where lost ones may act on all the rest, newcomers still have a share


class Refused(ValueError):
    """An entry that does not fit what is agreed, and why."""


class Member(Struct):
    """An instance with a place. number: the entry that gave it, its fencing number."""

    name: str
    life: str
    number: int
    index: int
    zone: int = 0
    acting: bool = False


class Held(Struct):
    """What a lost instance may still act on; version: the oldest it may know; index -1: the least share."""

    name: str
    life: str
    number: int
    index: int
    share: float
    version: int


class Pending(Struct):
    """A version on its way."""

    version: int
    document: Document
    first: tuple[str, ...] = ()
    forced: bool = False


class Note(Struct):
    """One version in the history."""

    version: int
    number: int
    author: str
    reason: str
    at_ms: float
    token: str
    became: str = "pending"
    since: int = 0  # the entry from which it was in force


class State(Struct):
    """All of it, as it stands after entry `number`."""

    number: int = 0
    chain: bytes = BEGINNING
    version: int = 0
    documents: dict[int, Document] = field(default_factory=dict)
    queue: list[Pending] = field(default_factory=list)
    dropped: Pending | None = None  # the last that was: an operator may force it
    phase: str = ""  # of the first in the queue: "", "joint" or "first"
    phase_number: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    held: dict[str, Held] = field(default_factory=dict)
    share: float = 1.0
    settled_share: float = 0.0
    dirty: int = 0  # the last change of the roster that is not settled
    notes: list[Note] = field(default_factory=list)

    # ---- looks

    @property
    def document(self) -> Document | None:
        """What is in force."""
        return self.documents.get(self.version)

    @property
    def terms(self) -> Terms:
        """What the agreement goes by."""
        return self.document.terms if self.document is not None else Terms()

    @property
    def newest(self) -> int:
        """The last version that was proposed and not dropped."""
        return self.queue[-1].version if self.queue else self.version

    def may_be_in_force(self) -> list[Document]:
        """All versions of which this log knows that may be, or may soon be, in force."""
        known = self.document
        return ([known] if known is not None else []) + [p.document for p in self.queue]

    def acted_on(self, name: str) -> Document | None:
        """What a member that has taken up this much acts on."""
        known = self.document
        if known is None or not self.queue or not self.phase:
            return known
        head = self.queue[0]
        if self.phase == "joint":
            return documents.narrowest([known, head.document])
        return head.document if name in head.first else known

    def gateways(self, share: float) -> int:
        """How many instances of this share there would be: what the module is told."""
        return max(int((1 - 2 * KEPT_PART) / share + 1 - 1e-9), *(place + 1 for place in self._places()), 1)

    def _places(self) -> set[int]:
        """The indices that somebody may act on."""
        return {m.index for m in self.members.values()} | {h.index for h in self.held.values()}

    def named(self, name: str) -> Member | None:
        """The member of this name."""
        return next((m for m in self.members.values() if m.name == name), None)

    # ---- what may follow

    def check(self, body: Body) -> None:
        """Refused where this entry may not be written now."""
        match body:
            case Proposed():
                self._check_proposal(body)
            case InForce(version) | JointBegan(version) | Begun(version) | Dropped(version):
                if not self.queue or self.queue[0].version != version:
                    raise Refused(f"version {version} is not the next in line")
            case Joined(newcomers):
                for newcomer in newcomers:
                    if reason := self.hindrance(newcomer):
                        raise Refused(reason)
            case Settled(until):
                if until < self.dirty:
                    raise Refused("the roster changed meanwhile")

    def _check_proposal(self, body: Proposed) -> None:
        try:
            documents.check(body.document)
            if (last := self.queue[-1].document if self.queue else self.document) is not None:
                documents.check_after(last, body.document)
        except ValueError as error:
            raise Refused(str(error)) from None
        if body.base != self.newest:
            note = next((n for n in reversed(self.notes) if n.version == self.newest), None)
            by = f" by {note.author} ({note.reason})" if note else ""
            raise Refused(f"made from version {body.base}, but version {self.newest}{by} came meanwhile")
        if len(self.queue) >= MOST_QUEUED:
            raise Refused(f"{MOST_QUEUED} versions are on their way already")
        if len(self.members) + len(self.held) > body.document.terms.most_instances:
            raise Refused(f"terms.most_instances: there are {len(self.members) + len(self.held)}")
        if body.first and not documents.harmless(last or body.document, body.document):
            raise Refused("only a version that contradicts nothing may go to a part of the instances first")

    def hindrance(self, newcomer: Newcomer) -> str:
        """Why it can't have a place; empty where it can."""
        other = self.named(newcomer.name)
        if other is not None and other.life not in (newcomer.life, newcomer.replaces):
            return f"another process lives under the name {newcomer.name}"
        places = len(self.members) + sum(life not in self.members for life in self.held)
        places -= sum(
            life in self.members or life in self.held for life in {newcomer.replaces, newcomer.life}
        )
        if places >= self.terms.most_instances:
            return f"terms.most_instances: {places} have places or are away with a share"
        return ""

    # ---- what follows

    def apply(self, entry: Entry) -> None:
        """Take in the next entry; ValueError where it does not follow."""
        if entry.number != self.number + 1 or entry.past != self.chain:
            raise ValueError(f"entry {entry.number} does not follow on {self.number}")
        body = read(entry)
        self.number, self.chain = entry.number, entry.chain
        match body:
            case Proposed():
                version = max([n.version for n in self.notes[-1:]], default=0) + 1
                self.queue.append(Pending(version, body.document, body.first, body.forced))
                self.notes = [
                    *self.notes,
                    Note(version, self.number, body.author, body.reason, body.at_ms, body.token),
                ][-KEPT_NOTES:]
            case JointBegan():
                self.phase, self.phase_number = "joint", self.number
            case Begun():
                self.phase, self.phase_number = "first", self.number
            case InForce(version, forced):
                head = self.queue.pop(0)
                self.version, self.documents[version] = version, head.document
                self.phase, self.phase_number = "", 0
                self._became(version, "in force, forced" if forced else "in force", self.number)
                self._forget()
            case Dropped(version, reasons):
                for pending in self.queue:
                    why = reasons if pending.version == version else ("made from it",)
                    self._became(pending.version, "dropped: " + "; ".join(why))
                self.dropped = self.queue[0]
                self.queue, self.phase, self.phase_number = [], "", 0
            case Joined(newcomers):
                for newcomer in newcomers:
                    self._join(newcomer)
            case Left(lives):
                for life in lives:
                    self.members.pop(life, None)
                    self.held.pop(life, None)
            case Lost(lives, versions):
                for life, version in zip(lives, versions, strict=True):
                    self._lose(life, version)
            case Floored(lives):
                for life in lives:
                    if (held := self.held.get(life)) is not None:
                        held.index, held.share = -1, min(held.share, self.terms.least_share)
            case Settled():
                self._settle()
        if isinstance(body, Joined | Left | Lost | Floored):
            self.dirty = self.number
            self.share = min(self.share, self._even())

    def _became(self, version: int, what: str, since: int = 0) -> None:
        for note in self.notes:
            if note.version == version:
                note.became, note.since = what, since

    def version_at(self, number: int) -> int:
        """The version that was in force after this entry, or the oldest that is known."""
        known = [note.version for note in self.notes if 0 < note.since <= number]
        return max(known[-1] if known else 0, min(self.documents, default=0))

    def _forget(self) -> None:
        """Keep the documents that somebody may act on, and the last ones for a person's questions."""
        oldest = min([self.version, *(h.version for h in self.held.values())])
        for version in sorted(self.documents)[:-KEPT_DOCUMENTS]:
            if version < oldest:
                del self.documents[version]

    def _even(self) -> float:
        """An equal part of what the lost ones do not hold."""
        left = max(0.0, 1.0 - sum(held.share for held in self.held.values()))
        return max(KEPT_PART, left) * (1 - KEPT_PART) / max(1, len(self.members))

    def _free_index(self) -> int:
        used = self._places()
        return next(i for i in range(len(used) + 1) if i not in used)

    def _join(self, newcomer: Newcomer) -> None:
        if newcomer.life in self.members:
            return
        before = self.members.pop(newcomer.replaces, None) or self.held.get(newcomer.life)
        self.held.pop(newcomer.replaces, None)
        index = before.index if before is not None and before.index >= 0 else self._free_index()
        self.members[newcomer.life] = Member(newcomer.name, newcomer.life, self.number, index, newcomer.zone)

    def _lose(self, life: str, version: int) -> None:
        gone = self.members.pop(life, None)
        if gone is not None and gone.acting:
            self.held[life] = Held(gone.name, life, self.number, gone.index, self.settled_share, version)

    def _settle(self) -> None:
        for life, member in self.members.items():
            member.acting = True
            self.held.pop(life, None)  # it was lost, came back, and has taken that up
        self._close_ranks()
        self.share = self.settled_share = self._even()
        self.dirty = 0

    def _close_ranks(self) -> None:
        """Whoever stands highest takes a place that is free below, one move for each that left."""
        for member in sorted(self.members.values(), key=lambda m: -m.index):
            if (free := self._free_index()) < member.index:
                member.index = free

    # ---- sums

    def lowest_known(self, new: Document) -> float:
        """To what part of what a lost instance may act on a version would lower a sum; 1: it lowers none."""
        return min(
            (
                documents.lowered(self.documents[held.version], new)
                for held in self.held.values()
                if held.version in self.documents
            ),
            default=1.0,
        )

    def bearable(self, new: Document) -> bool:
        """Whether the lost ones' shares stay within the whole under this version."""
        lowest = self.lowest_known(new)
        return lowest >= 1 or (lowest >= LEAST_PART and all(h.index < 0 for h in self.held.values()))

    def copy(self) -> State:
        """Another one that goes its own way."""
        made = msgspec.structs.replace(self)
        made.documents, made.queue = dict(self.documents), list(self.queue)
        made.members = {life: msgspec.structs.replace(m) for life, m in self.members.items()}
        made.held = {life: msgspec.structs.replace(h) for life, h in self.held.items()}
        made.notes = [msgspec.structs.replace(n) for n in self.notes]
        return made


def encode(state: State) -> bytes:
    """The state as bytes."""
    return msgspec.msgpack.encode(state)


def decode(data: bytes) -> State:
    """A state; ValueError where the bytes hold none."""
    try:
        return msgspec.msgpack.decode(data, type=State)
    except msgspec.MsgspecError as error:
        raise ValueError(f"no state of the agreement: {error}") from None


def summary(state: State) -> dict[str, Any]:
    """The figures that go into the log."""
    return {
        "number": state.number,
        "version": state.version,
        "members": len(state.members),
        "away": len(state.held),
        "share": round(state.share, 6),
        "queued": len(state.queue),
    }
