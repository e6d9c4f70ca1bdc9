"""Who a request belongs to: an API key by the registry, a token by introspection and, where there is one, by
the registry too. Says customer and plan, or why not."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from tamarindfold.config.model import GatewayConfig
from tamarindfold.http1.requests import Rejected
from tamarindfold.identity import keys
from tamarindfold.identity.driver import NOT_KNOWN, Identity
from tamarindfold.identity.resolve import Denied, Known
from tamarindfold.ingress.admission import Admission, Asked, Forbidden
from tamarindfold.introspection import bearer
from tamarindfold.introspection.claims import Claims
from tamarindfold.introspection.driver import Inactive, Introspector, Unknown

NOT_READY_MS = 1000.0
MOST_TOLD = 10_000  # clients whose contradiction was logged already


class Unauthorized(Exception):
    """No credentials, bad ones, or malformed ones: 401 or 400, with the code of RFC 6750 section 3.1."""

    def __init__(self, status: int, error: str, detail: str) -> None:
        super().__init__(detail)
        self.status, self.error, self.detail = status, error, detail


class Unchecked(Exception):
    """Nobody could say whether the credentials are good: 503, fail closed."""

    def __init__(self, detail: str, retry_after_ms: float) -> None:
        super().__init__(detail)
        self.detail, self.retry_after_ms = detail, retry_after_ms


@dataclass(slots=True)
class Entry:
    """Whose a request is; until when what it came with is good, in milliseconds since the epoch."""

    customer: int
    plan: int
    until_ms: float
    known: Known | None = None


class Door:
    """The one order in which credentials are looked at."""

    def __init__(
        self,
        config: GatewayConfig,
        introspector: Introspector,
        identity: Identity | None,
        log: Callable[..., None],
    ) -> None:
        self.settle(config, True)
        self.introspector, self.identity, self.log = introspector, identity, log
        self.told: OrderedDict[str, None] = OrderedDict()

    def settle(self, config: GatewayConfig, led: bool) -> None:
        """Go by these settings from now on; led: they are known to be in force."""
        self.admission = Admission(config)
        self.admission.router.has_lease = led
        self.stale_ok = [c.unchecked == "stale" for c in config.classes]
        self.plan_claim = config.customers.plan_claim

    def enter(self, asked: Asked, give_up_ms: float, peer: str) -> Entry:
        """Customer and plan; Unauthorized, Forbidden, Unchecked or Rejected where there are none."""
        try:
            token = bearer.token(asked.authorization)
        except bearer.BadCredentials as error:
            raise Unauthorized(400, "invalid_request", str(error)) from None
        if self.identity is not None:
            key = asked.key
            if key is not None and token is not None and token != key:
                raise Rejected(400, "a key and a token that differ: give one of them")
            if key is None and token is not None and keys.looks_like_key(token.decode()):
                key = token
            if key is not None:
                return self._by_key(self.identity, key, give_up_ms, peer)
        if token is None:
            raise Unauthorized(401, "", "a bearer token is needed")
        word = self.introspector.check(token, give_up_ms, self.stale_ok[asked.cls])
        if isinstance(word, Unknown):
            raise Unchecked(word.reason, word.retry_after_ms)
        if isinstance(word, Inactive):
            raise Unauthorized(401, "invalid_token", word.reason)
        claims = word.claims
        if self.identity is None:
            customer, plan = self.admission.who(claims, asked.scopes)
            return Entry(customer, plan, claims.expires_ms)
        self.admission.scoped(claims, asked.scopes)
        return self._by_client(self.identity, claims, give_up_ms, peer)

    def _by_key(self, identity: Identity, key: bytes, give_up_ms: float, peer: str) -> Entry:
        text = key.decode("ascii", "replace")
        found = identity.sure(lambda: identity.by_key(text), give_up_ms)
        self._ready(found)
        if isinstance(found, Denied):
            raise Unauthorized(401, "invalid_token", found.reason)
        identity.used(found, peer)
        return Entry(found.customer, found.plan, found.until_ms, found)

    def _by_client(self, identity: Identity, claims: Claims, give_up_ms: float, peer: str) -> Entry:
        """The registry goes before the token: another plan named there is told once, not obeyed."""
        found = identity.sure(lambda: identity.by_client(claims.client_id), give_up_ms)
        self._ready(found)
        if isinstance(found, Denied):
            raise Forbidden(found.reason)
        named = claims.named(self.plan_claim)
        tables = identity.follower.tables
        if named and tables is not None and named != tables.plans[found.plan].plan:
            self._tell(claims.client_id, named, tables.plans[found.plan].plan)
        identity.used(found, peer)
        return Entry(found.customer, found.plan, min(claims.expires_ms, found.until_ms), found)

    def _tell(self, client: str, named: str, registered: str) -> None:
        if client not in self.told:
            self.told[client] = None
            if len(self.told) > MOST_TOLD:
                self.told.popitem(last=False)
            self.log("identity.plan_contradicted", client=client, token_says=named, registry_says=registered)

    @staticmethod
    def _ready(found: Known | Denied) -> None:
        if found is NOT_KNOWN:
            raise Unchecked(NOT_KNOWN.reason, NOT_READY_MS)
