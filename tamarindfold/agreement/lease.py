"""One instance's view of the replicated settings, and the lease under which it may assume the view complete.

A lease counts from the moment at which a renewal request was sent, and needs replies from a majority of the
keepers that no further entry is chosen or may be. Whatever is chosen later was accepted by one of these
keepers after its reply; so a change cannot have been in force for longer than the lease before this instance
stops acting on the settings that it contradicts. Time is monotonic. No I/O, no clock.

RenewRequest and RenewReply are sent with their field names; `field(name=...)` keeps the sent name.
"""

from __future__ import annotations

from math import inf

from msgspec import Struct, field

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.consensus import CatchUp
from tamarindfold.agreement.document import LOWEST_RATIO, Document
from tamarindfold.agreement.state import Member, State, decode


class RenewRequest(Struct, frozen=True):
    """An instance's report to a keeper (see reports.Report), and its request for updates and a renewal."""

    incarnation: str = field(name="life")
    name: str
    number: int
    chain: bytes
    sent: float  # when it was sent, by the instance's clock; comes back with the reply
    wait_ms: float = 0.0  # how long the keeper may hold back the reply while there are no updates
    ready_version: int = field(name="ready", default=0)
    apply_error: str = field(name="cannot", default="")
    intent: str = field(name="wants", default="stay")
    replaces: str = ""
    zone: int = 0
    lease_remaining_ms: float = field(name="led_ms", default=0.0)


class RenewReply(Struct, frozen=True):
    """A keeper's reply. certain: as far as it can tell, no entry after `number` is chosen or may be."""

    sent: float
    number: int
    certain: bool
    member: bool  # whether the instance has a place, as far as the keeper knows
    diverged: bool = field(name="other_past", default=False)  # the instance's entries are not of this log
    join_error: str = field(name="hindrance", default="")  # why it can't have a place
    updates: CatchUp = field(name="news", default=CatchUp(()))


class EffectiveSettings(Struct, frozen=True):
    """What the instance is to act on now. share 0: it has no share yet."""

    document: Document
    version: int
    share: float
    gateways: int
    index: int
    has_lease: bool
    number: int  # the fencing token of its place; 0: none
    why: str = ""  # why it has no lease


class Lease:
    """The state as one instance knows it, and the lease on it."""

    def __init__(self, incarnation: str, name: str, keepers: int, replaces: str = "", zone: int = 0) -> None:
        self.incarnation, self.name, self.keepers = incarnation, name, keepers
        self.replaces, self.zone = replaces, zone
        self.state = State()
        self.confirmed_at: dict[int, float] = {}  # by keeper: send time of the last request that it confirmed
        self.ready_version, self.apply_error = 0, ""  # as last recorded by record_applicability
        self.inapplicable: dict[int, str] = {}  # versions that can't be applied here, with the reason
        self.leaving = False
        self.share = 0.0  # the share that it acts on
        self.place = (0, 0)  # index, and the number of the entry that gave it
        self.without_lease_since = self.last_lease_end = -inf
        self.has_lease = False
        self.restored = False  # it acts on the state that an earlier incarnation saved
        self.join_error = ""
        self._restricted: tuple[int, Document] | None = None  # cached, by the number of the state

    # ---- renewal

    def renew_request(self, now: float, wait_ms: float) -> RenewRequest:
        """The next request, to any keeper."""
        member = self.state.members.get(self.incarnation)
        intent = "leave" if self.leaving else "stay" if member is not None else "join"
        return RenewRequest(
            self.incarnation,
            self.name,
            self.state.number,
            self.state.chain,
            now,
            wait_ms,
            self.ready_version,
            self.apply_error,
            intent,
            self.replaces,
            self.zone,
            max(0.0, self.expires_at(now) - now) if self.has_lease else 0.0,
        )

    def handle_reply(self, keeper: int, reply: RenewReply) -> bool:
        """Apply a reply and return whether the state changed. Raises ValueError if its updates do not fit."""
        self.join_error = reply.join_error
        if reply.diverged:
            return False
        before = self.state.number
        self._apply_updates(reply.updates)
        if reply.certain and reply.member and reply.number <= self.state.number:
            self.confirmed_at[keeper] = max(self.confirmed_at.get(keeper, -inf), reply.sent)
        return self.state.number > before

    def _apply_updates(self, updates: CatchUp) -> None:
        if updates.state:
            state = decode(updates.state)
            if state.number > self.state.number:
                self.state = state
        for entry in updates.entries:
            if entry.number > self.state.number:
                state = self.state.copy()  # readers of the old one must not see half of a change
                state.apply(entry)
                self.state = state

    def record_applicability(self, version: int, error: str) -> bool:
        """Record whether a version can be applied here (error: why not); False if that is known already."""
        if (version, error) == (self.ready_version, self.apply_error):
            return False
        self.ready_version, self.apply_error = version, error
        self.inapplicable = {v: why for v, why in self.inapplicable.items() if v >= self.state.version}
        if error:
            self.inapplicable[version] = error
        return True

    def restore(self, data: bytes, left: bool) -> None:
        """Load the state that an earlier incarnation saved. Raises ValueError if the bytes hold none.

        Unless that incarnation left the roster, the instance may act on the least share until it has a lease.
        """
        self.state = decode(data)
        self.restored = self.state.document is not None and not left

    # ---- the lease

    def expires_at(self, now: float) -> float:
        """When the lease ends; minus infinity if there is none."""
        sent = sorted(self.confirmed_at.values(), reverse=True)
        majority = self.keepers // 2 + 1
        if len(sent) < majority or self.leaving:
            return -inf
        member = self.state.members.get(self.incarnation)
        if member is None or not member.active or self.in_force_inapplicable:
            return -inf
        return sent[majority - 1] + self.state.terms.lease_ms

    @property
    def in_force_inapplicable(self) -> bool:
        """Whether the version in force can't be applied here, which means that an operator forced it."""
        return self.state.version in self.inapplicable

    def effective_settings(self, now: float) -> EffectiveSettings | None:
        """What to act on now; None if no settings are known."""
        state = self.state
        if state.document is None:
            return None
        has_lease = now < self.expires_at(now)
        if has_lease:
            return self._settings_with_lease(now)
        if self.has_lease:
            # The lease may have ended long ago, if the process was suspended: the time for which the instance
            # may keep its share counts from the end of the lease, not from now.
            self.without_lease_since = min(now, self.last_lease_end)
        self.has_lease = False
        return self._settings_without_lease(now)

    def _settings_with_lease(self, now: float) -> EffectiveSettings:
        state = self.state
        member = state.members[self.incarnation]
        document = state.document_for(self.name)
        assert document is not None
        self.has_lease, self.restored, self.last_lease_end = True, False, self.expires_at(now)
        self.share, self.place = state.share, (member.index, member.number)
        return EffectiveSettings(
            document,
            state.version,
            state.share,
            state.gateway_count(state.share),
            member.index,
            True,
            member.number,
        )

    def _share_without_lease(self, member: Member | None) -> tuple[float, int]:
        """Share and index without a lease: the last ones, but no more than the state applied since allows.

        The keepers rely on that, since the instance reports which entries it has applied.
        """
        if member is None:
            return self.share, self.place[0]
        return min(self.share, self.state.share), member.index if member.active else self.place[0]

    def _settings_without_lease(self, now: float) -> EffectiveSettings:
        """The most restrictive combination of all versions that may be in force, with repeats forbidden.

        The share is the last one for `unled_ms`, and from then on the least one.
        """
        state, terms = self.state, self.state.terms
        if self._restricted is None or self._restricted[0] != state.number:
            self._restricted = (
                state.number,
                documents.forbid_repeats(documents.most_restrictive(state.possible_documents())),
            )
        document = self._restricted[1]
        member = state.members.get(self.incarnation)
        long_ago = now - self.without_lease_since >= terms.unled_ms
        share, index = self._share_without_lease(member)
        if long_ago and (self.share or self.restored):
            share = min(share or 1.0, terms.least_share * LOWEST_RATIO)
        self.share = share
        gateways = state.gateway_count(share) if share else 1
        if long_ago or index >= gateways:  # no index is reserved for it: derive one from the incarnation
            index = int.from_bytes(self.incarnation.encode()[:8], "big") % gateways
        why = (
            "can't apply what is in force: " + self.inapplicable[state.version]
            if self.in_force_inapplicable
            else "leaving"
            if self.leaving
            else "no place yet"
            if member is None or not member.active
            else "no majority of keepers answers"
        )
        return EffectiveSettings(document, state.version, share, gateways, index, False, 0, why)
