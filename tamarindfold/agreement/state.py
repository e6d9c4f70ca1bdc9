"""The state that results from the log: version in force, queued versions, roster, shares. No I/O, no clock.

Shares: every member acts on the fraction `share` of each summed limit. A member that was lost keeps the share
it may still act on (`held`) until it returns, is known to be gone, or has been away for so long that it acts
on the least share only. Shares grow only with RosterSettled, which is written once every member has applied
the last change of the roster; the shares that all instances act on together thus never exceed the whole,
however far some of them lag behind.

A snapshot of the state is stored and sent with the field names; `field(name=...)` keeps the stored name.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.document import LOWEST_RATIO, Document, Terms
from tamarindfold.agreement.log import (
    EMPTY_CHAIN,
    Body,
    CanaryStarted,
    Dropped,
    Entry,
    InForce,
    Joined,
    JointPhaseStarted,
    Left,
    Lost,
    Newcomer,
    Proposed,
    RosterSettled,
    ShareReduced,
    decode_body,
)

MAX_QUEUED = 16  # versions
KEPT_HISTORY = 200  # versions
KEPT_DOCUMENTS = 20  # complete documents of versions that are no longer in force
RESERVED_PART = 1e-7  # of each limit; leaves newcomers a share where lost instances hold all the rest


class InvalidEntry(ValueError):
    """An entry that must not be written in the current state; the text gives the reason."""


class Member(Struct):
    """An instance in the roster. number: the entry that gave it its place, which is its fencing token."""

    name: str
    incarnation: str = field(name="life")
    number: int
    index: int
    zone: int = 0
    active: bool = field(name="acting", default=False)  # acts on a share, since the first RosterSettled


class HeldShare(Struct):
    """The share that a lost instance may still act on.

    version: the oldest version it may be acting on. index -1: none, since it acts on the least share.
    """

    name: str
    incarnation: str = field(name="life")
    number: int
    index: int
    share: float
    version: int


class PendingVersion(Struct):
    """A proposed version that is not in force yet."""

    version: int
    document: Document
    canaries: tuple[str, ...] = field(name="first", default=())  # names of instances that apply it first
    forced: bool = False


class VersionRecord(Struct):
    """One version in the history."""

    version: int
    number: int
    author: str
    reason: str
    at_ms: float
    token: str
    status: str = field(name="became", default="pending")
    in_force_since: int = field(name="since", default=0)  # number of the entry that put it in force


class State(Struct):
    """The state after entry `number`."""

    number: int = 0
    chain: bytes = EMPTY_CHAIN
    version: int = 0
    documents: dict[int, Document] = field(default_factory=dict)
    queue: list[PendingVersion] = field(default_factory=list)
    dropped: PendingVersion | None = None  # the most recent one; an operator may still force it
    phase: str = ""  # of the first queued version: "", "joint", or "first" (on its canary instances)
    phase_number: int = 0  # the entry that began the phase
    members: dict[str, Member] = field(default_factory=dict)  # by incarnation
    held: dict[str, HeldShare] = field(default_factory=dict)  # by incarnation
    share: float = 1.0
    settled_share: float = 0.0  # as of the last RosterSettled; the most that a lost member may act on
    unsettled_number: int = field(name="dirty", default=0)  # last change of the roster; 0: it is settled
    history: list[VersionRecord] = field(name="notes", default_factory=list)

    # ---- queries

    @property
    def document(self) -> Document | None:
        """The document in force."""
        return self.documents.get(self.version)

    @property
    def terms(self) -> Terms:
        """The parameters of the agreement itself."""
        return self.document.terms if self.document is not None else Terms()

    @property
    def newest(self) -> int:
        """The newest version that was proposed and not dropped."""
        return self.queue[-1].version if self.queue else self.version

    def possible_documents(self) -> list[Document]:
        """All known versions that are in force or may soon be."""
        known = self.document
        return ([known] if known is not None else []) + [p.document for p in self.queue]

    def document_for(self, name: str) -> Document | None:
        """The document that a member with this name acts on once it has applied this state."""
        known = self.document
        if known is None or not self.queue or not self.phase:
            return known
        head = self.queue[0]
        if self.phase == "joint":
            return documents.most_restrictive([known, head.document])
        return head.document if name in head.canaries else known

    def gateway_count(self, share: float) -> int:
        """The number of gateways that corresponds to this share, as the admission module expects it."""
        return max(int((1 - 2 * RESERVED_PART) / share + 1 - 1e-9), *(i + 1 for i in self._used_indices()), 1)

    def _used_indices(self) -> set[int]:
        """The indices that members or lost instances may act on."""
        return {m.index for m in self.members.values()} | {h.index for h in self.held.values()}

    def member_named(self, name: str) -> Member | None:
        """The member with this name."""
        return next((m for m in self.members.values() if m.name == name), None)

    # ---- validation

    def check(self, body: Body) -> None:
        """Raise InvalidEntry if this entry must not be written in the current state."""
        match body:
            case Proposed():
                self._check_proposal(body)
            case InForce(version) | JointPhaseStarted(version) | CanaryStarted(version) | Dropped(version):
                if not self.queue or self.queue[0].version != version:
                    raise InvalidEntry(f"version {version} is not the next in line")
            case Joined(newcomers):
                for newcomer in newcomers:
                    if reason := self.join_error(newcomer):
                        raise InvalidEntry(reason)
            case RosterSettled(until):
                if until < self.unsettled_number:
                    raise InvalidEntry("the roster changed meanwhile")

    def _check_proposal(self, body: Proposed) -> None:
        try:
            documents.check(body.document)
            if (last := self.queue[-1].document if self.queue else self.document) is not None:
                documents.check_change(last, body.document)
        except ValueError as error:
            raise InvalidEntry(str(error)) from None
        if body.base != self.newest:
            record = next((r for r in reversed(self.history) if r.version == self.newest), None)
            by = f" by {record.author} ({record.reason})" if record else ""
            raise InvalidEntry(f"made from version {body.base}, but version {self.newest}{by} came meanwhile")
        if len(self.queue) >= MAX_QUEUED:
            raise InvalidEntry(f"{MAX_QUEUED} versions are on their way already")
        if len(self.members) + len(self.held) > body.document.terms.most_instances:
            raise InvalidEntry(f"terms.most_instances: there are {len(self.members) + len(self.held)}")
        if body.canaries and not documents.compatible(last or body.document, body.document):
            raise InvalidEntry(
                "only a version that contradicts nothing may go to a part of the instances first"
            )

    def join_error(self, newcomer: Newcomer) -> str:
        """Why this process can't have a place; empty if it can."""
        other = self.member_named(newcomer.name)
        if other is not None and other.incarnation not in (newcomer.incarnation, newcomer.replaces):
            return f"another process lives under the name {newcomer.name}"
        places = len(self.members) + sum(incarnation not in self.members for incarnation in self.held)
        places -= sum(
            incarnation in self.members or incarnation in self.held
            for incarnation in {newcomer.replaces, newcomer.incarnation}
        )
        if places >= self.terms.most_instances:
            return f"terms.most_instances: {places} have places or are away with a share"
        return ""

    # ---- transitions

    def apply(self, entry: Entry) -> None:
        """Apply the next entry. Raises ValueError if it does not follow the last one."""
        if entry.number != self.number + 1 or entry.previous_chain != self.chain:
            raise ValueError(f"entry {entry.number} does not follow entry {self.number}")
        body = decode_body(entry)
        self.number, self.chain = entry.number, entry.chain
        match body:
            case Proposed():
                version = max([r.version for r in self.history[-1:]], default=0) + 1
                self.queue.append(PendingVersion(version, body.document, body.canaries, body.forced))
                self.history = [
                    *self.history,
                    VersionRecord(version, self.number, body.author, body.reason, body.at_ms, body.token),
                ][-KEPT_HISTORY:]
            case JointPhaseStarted():
                self.phase, self.phase_number = "joint", self.number
            case CanaryStarted():
                self.phase, self.phase_number = "first", self.number
            case InForce(version, forced):
                head = self.queue.pop(0)
                self.version, self.documents[version] = version, head.document
                self.phase, self.phase_number = "", 0
                self._set_status(version, "in force, forced" if forced else "in force", self.number)
                self._discard_old_documents()
            case Dropped(version, reasons):
                for pending in self.queue:
                    why = reasons if pending.version == version else ("made from it",)
                    self._set_status(pending.version, "dropped: " + "; ".join(why))
                self.dropped = self.queue[0]
                self.queue, self.phase, self.phase_number = [], "", 0
            case Joined(newcomers):
                for newcomer in newcomers:
                    self._join(newcomer)
            case Left(incarnations):
                for incarnation in incarnations:
                    self.members.pop(incarnation, None)
                    self.held.pop(incarnation, None)
            case Lost(incarnations, versions):
                for incarnation, version in zip(incarnations, versions, strict=True):
                    self._mark_lost(incarnation, version)
            case ShareReduced(incarnations):
                for incarnation in incarnations:
                    if (held := self.held.get(incarnation)) is not None:
                        held.index, held.share = -1, min(held.share, self.terms.least_share)
            case RosterSettled():
                self._settle_roster()
        if isinstance(body, Joined | Left | Lost | ShareReduced):
            self.unsettled_number = self.number
            self.share = min(self.share, self._equal_share())

    def _set_status(self, version: int, status: str, since: int = 0) -> None:
        for record in self.history:
            if record.version == version:
                record.status, record.in_force_since = status, since

    def version_at(self, number: int) -> int:
        """The version that was in force after entry `number`, or the oldest one whose document is kept."""
        known = [record.version for record in self.history if 0 < record.in_force_since <= number]
        return max(known[-1] if known else 0, min(self.documents, default=0))

    def _discard_old_documents(self) -> None:
        """Keep the documents that some instance may act on, and the last few for operators to look at."""
        oldest = min([self.version, *(h.version for h in self.held.values())])
        for version in sorted(self.documents)[:-KEPT_DOCUMENTS]:
            if version < oldest:
                del self.documents[version]

    def _equal_share(self) -> float:
        """An equal part, for each member, of what lost instances do not hold."""
        available = max(0.0, 1.0 - sum(held.share for held in self.held.values()))
        return max(RESERVED_PART, available) * (1 - RESERVED_PART) / max(1, len(self.members))

    def _free_index(self) -> int:
        used = self._used_indices()
        return next(i for i in range(len(used) + 1) if i not in used)

    def _join(self, newcomer: Newcomer) -> None:
        if newcomer.incarnation in self.members:
            return
        before = self.members.pop(newcomer.replaces, None) or self.held.get(newcomer.incarnation)
        self.held.pop(newcomer.replaces, None)
        index = before.index if before is not None and before.index >= 0 else self._free_index()
        self.members[newcomer.incarnation] = Member(
            newcomer.name, newcomer.incarnation, self.number, index, newcomer.zone
        )

    def _mark_lost(self, incarnation: str, version: int) -> None:
        member = self.members.pop(incarnation, None)
        if member is not None and member.active:
            self.held[incarnation] = HeldShare(
                member.name, incarnation, self.number, member.index, self.settled_share, version
            )

    def _settle_roster(self) -> None:
        for incarnation, member in self.members.items():
            member.active = True
            self.held.pop(incarnation, None)  # it had been lost, has returned and has applied the change
        self._compact_indices()
        self.share = self.settled_share = self._equal_share()
        self.unsettled_number = 0

    def _compact_indices(self) -> None:
        """Move the members with the highest indices to the free indices below them."""
        for member in sorted(self.members.values(), key=lambda m: -m.index):
            if (free := self._free_index()) < member.index:
                member.index = free

    # ---- limits while lost instances hold shares

    def lowest_ratio_for_held(self, new: Document) -> float:
        """The lowest ratio of a new limit to one that a lost instance may act on; 1 if none is lowered."""
        return min(
            (
                documents.lowest_ratio(self.documents[held.version], new)
                for held in self.held.values()
                if held.version in self.documents
            ),
            default=1.0,
        )

    def safe_with_held_shares(self, new: Document) -> bool:
        """Whether all shares together, those of lost instances included, stay within the limits of `new`."""
        lowest = self.lowest_ratio_for_held(new)
        return lowest >= 1 or (lowest >= LOWEST_RATIO and all(h.index < 0 for h in self.held.values()))

    def copy(self) -> State:
        """An independent copy; documents, which are immutable, are shared."""
        duplicate = msgspec.structs.replace(self)
        duplicate.documents, duplicate.queue = dict(self.documents), list(self.queue)
        duplicate.members = {key: msgspec.structs.replace(m) for key, m in self.members.items()}
        duplicate.held = {key: msgspec.structs.replace(h) for key, h in self.held.items()}
        duplicate.history = [msgspec.structs.replace(r) for r in self.history]
        return duplicate


def encode(state: State) -> bytes:
    """Encode a state as a snapshot."""
    return msgspec.msgpack.encode(state)


def decode(data: bytes) -> State:
    """Decode a snapshot. Raises ValueError if the bytes hold none."""
    try:
        return msgspec.msgpack.decode(data, type=State)
    except msgspec.MsgspecError as error:
        raise ValueError(f"no state of the agreement: {error}") from None


def summary(state: State) -> dict[str, Any]:
    """Key figures for log lines."""
    return {
        "number": state.number,
        "version": state.version,
        "members": len(state.members),
        "away": len(state.held),
        "share": round(state.share, 6),
        "queued": len(state.queue),
    }
