"""Authenticates requests: API keys against the registry; tokens by introspection, and where a registry is
configured, their clients against it too. Yields the customer and plan of a request, or raises."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from tamarindfold.config.model import GatewayConfig
from tamarindfold.http1.requests import Rejected
from tamarindfold.identity import keys
from tamarindfold.identity.driver import REGISTRY_UNAVAILABLE, RegistryClient
from tamarindfold.identity.resolve import Denied, ResolvedCredential
from tamarindfold.ingress.admission import Admission, Forbidden, RequestParameters
from tamarindfold.introspection import bearer
from tamarindfold.introspection.claims import Claims
from tamarindfold.introspection.driver import Inactive, Introspector, Unknown

REGISTRY_RETRY_AFTER_MS = 1000.0
MAX_LOGGED_CLIENTS = 10_000  # clients whose contradiction was logged, so that each is logged once


class Unauthorized(Exception):
    """Missing, invalid or malformed credentials: 401 or 400, with the error code of RFC 6750 section 3.1."""

    def __init__(self, status: int, error: str, detail: str) -> None:
        super().__init__(detail)
        self.status, self.error, self.detail = status, error, detail


class VerificationUnavailable(Exception):
    """The credentials could not be verified: 503, fail closed."""

    def __init__(self, detail: str, retry_after_ms: float) -> None:
        super().__init__(detail)
        self.detail, self.retry_after_ms = detail, retry_after_ms


@dataclass(slots=True)
class Principal:
    """The owner of a request, and until when its credential is valid, in milliseconds since the epoch."""

    customer: int
    plan: int
    valid_until_ms: float
    credential: ResolvedCredential | None = None  # the registry's entry, if a registry is configured


class Authenticator:
    """Verifies the credentials of requests, API keys before tokens."""

    def __init__(
        self,
        config: GatewayConfig,
        introspector: Introspector,
        identity: RegistryClient | None,
        log: Callable[..., None],
    ) -> None:
        self.apply(config, True)
        self.introspector, self.identity, self.log = introspector, identity, log
        self.logged_clients: OrderedDict[str, None] = OrderedDict()

    def apply(self, config: GatewayConfig, has_lease: bool) -> None:
        """Switch to these settings; has_lease: whether they are known to be in force."""
        self.admission = Admission(config)
        self.admission.router.has_lease = has_lease
        self.stale_ok = [c.unchecked == "stale" for c in config.classes]
        self.plan_claim = config.customers.plan_claim

    def authenticate(self, parameters: RequestParameters, give_up_ms: float, peer: str) -> Principal:
        """The owner of a request; raises Unauthorized, Forbidden, VerificationUnavailable or Rejected."""
        try:
            token = bearer.parse_authorization(parameters.authorization)
        except bearer.BadCredentials as error:
            raise Unauthorized(400, "invalid_request", str(error)) from None
        if self.identity is not None:
            key = parameters.key
            if key is not None and token is not None and token != key:
                raise Rejected(400, "a key and a token that differ: give one of them")
            if key is None and token is not None and keys.looks_like_key(token.decode()):
                key = token
            if key is not None:
                return self._by_key(self.identity, key, give_up_ms, peer)
        if token is None:
            raise Unauthorized(401, "", "a bearer token is needed")
        result = self.introspector.check(token, give_up_ms, self.stale_ok[parameters.cls])
        if isinstance(result, Unknown):
            raise VerificationUnavailable(result.reason, result.retry_after_ms)
        if isinstance(result, Inactive):
            raise Unauthorized(401, "invalid_token", result.reason)
        claims = result.claims
        if self.identity is None:
            customer, plan = self.admission.customer_and_plan(claims, parameters.scopes)
            return Principal(customer, plan, claims.expires_ms)
        self.admission.require_scopes(claims, parameters.scopes)
        return self._by_client(self.identity, claims, give_up_ms, peer)

    def _by_key(self, identity: RegistryClient, key: bytes, give_up_ms: float, peer: str) -> Principal:
        text = key.decode("ascii", "replace")
        found = identity.resolve_confirmed(lambda: identity.by_key(text), give_up_ms)
        self._require_registry(found)
        if isinstance(found, Denied):
            raise Unauthorized(401, "invalid_token", found.reason)
        identity.record_use(found, peer)
        return Principal(found.customer, found.plan, found.until_ms, found)

    def _by_client(self, identity: RegistryClient, claims: Claims, give_up_ms: float, peer: str) -> Principal:
        """The registry overrides the token: a plan claim that differs is logged once and ignored."""
        found = identity.resolve_confirmed(lambda: identity.by_client(claims.client_id), give_up_ms)
        self._require_registry(found)
        if isinstance(found, Denied):
            raise Forbidden(found.reason)
        claimed = claims.text_claim(self.plan_claim)
        tables = identity.follower.tables
        if claimed and tables is not None and claimed != tables.plans[found.plan].plan:
            self._log_contradiction(claims.client_id, claimed, tables.plans[found.plan].plan)
        identity.record_use(found, peer)
        return Principal(found.customer, found.plan, min(claims.expires_ms, found.until_ms), found)

    def _log_contradiction(self, client: str, claimed: str, registered: str) -> None:
        if client not in self.logged_clients:
            self.logged_clients[client] = None
            if len(self.logged_clients) > MAX_LOGGED_CLIENTS:
                self.logged_clients.popitem(last=False)
            self.log(
                "identity.plan_contradicted", client=client, token_says=claimed, registry_says=registered
            )

    @staticmethod
    def _require_registry(found: ResolvedCredential | Denied) -> None:
        """Raises VerificationUnavailable while the registry's tables have not been loaded."""
        if found is REGISTRY_UNAVAILABLE:
            raise VerificationUnavailable(REGISTRY_UNAVAILABLE.reason, REGISTRY_RETRY_AFTER_MS)
