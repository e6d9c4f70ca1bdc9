"""A reverse proxy that asks for each request, as nginx, Traefik, Caddy and Envoy document their sub-requests.

What each of them sets, keeps and drops is in KINDS; their quirks, and those of their operators, are faults.
Sources: nginx ngx_http_auth_request_module, Traefik ForwardAuth middleware, Caddy forward_auth directive,
Envoy ext_authz HTTP service, as their manuals describe them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

import gevent
import msgspec
from gevent import socket
from msgspec import Struct

from tamarindfold.config.addresses import split_address
from tamarindfold.config.derive import backend_id
from tamarindfold.http1 import write
from tamarindfold.http1.requests import Headers, Request
from tamarindfold.http1.responses import BadResponse
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.pool import Connection, Pool
from tamarindfold.standins.base import Fault, Standin, open_ledger, serve_http

REQUEST_ID = b"x-request-id"
ANSWER_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Kind:
    """How one proxy asks. Header names as it writes them; empty: it does not tell that."""

    method: bytes
    uri: bytes
    host: bytes = b""
    own_method: bool = False  # the sub-request has the original method and path, below a prefix
    passes: frozenset[int] | None = None  # refusals handed to the client as they are; None: all
    refusal_body: bool = True


KINDS = {
    "nginx": Kind(b"x-original-method", b"x-original-uri", passes=frozenset((401, 403)), refusal_body=False),
    "traefik": Kind(b"x-forwarded-method", b"x-forwarded-uri", b"x-forwarded-host"),
    "caddy": Kind(b"x-forwarded-method", b"x-forwarded-uri", b"x-forwarded-host"),
    "envoy": Kind(b"", b"", own_method=True),
}


class ProxyConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One proxy. gateways: where it asks; servers: where it sends, in the form in which it chooses itself."""

    name: str = "proxy"
    kind: Literal["nginx", "traefik", "caddy", "envoy"] = "traefik"
    form: Literal["report", "decide"] = "report"
    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    source: str = ""  # the loopback address that it speaks from
    gateways: list[str] = []
    servers: list[str] = []
    prefix: str = "/auth"
    auth_timeout_ms: float = 1_000.0
    default_time_ms: float = 10_000.0
    faults: list[Fault] = []


@dataclass(slots=True)
class Permitted:
    """What a permit says."""

    gateway: str
    headers: Headers  # the tamarind- ones
    server: str

    def get(self, name: bytes, default: bytes = b"") -> bytes:
        """One of them."""
        return next((value for known, value in self.headers if known == name), default)


@dataclass(slots=True)
class Answer:
    """An answer read whole."""

    status: int
    headers: Headers
    body: bytes


class ProxyServer(Standin):
    """Asks, sends on, answers, reports."""

    kinds = frozenset(
        (
            "body_announced",
            "headers_joined",
            "ask_twice",
            "ask_elsewhere",
            "auth_slow",
            "auth_timeout",
            "fail_open",
            "drop_refusal_body",
            "report_twice",
            "report_never",
            "report_early",
            "report_elsewhere",
            "report_late",
        )
    )

    def __init__(self, config: ProxyConfig) -> None:
        super().__init__(config.seed, open_ledger(config.ledger), config.faults, config.host, config.port)
        self.config, self.kind = config, KINDS[config.kind]
        self.gateways = list(config.gateways)
        self.turn = self.numbers = 0
        self.pool = Pool(5_000, 64, 4_000, 500, config.source, ANSWER_BYTES, self.clock)

    def birth(self) -> dict[str, Any]:
        return super().birth() | {"source": self.config.source, "kind": self.config.kind}

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        serve_http(sock, self.clock, lambda sock, request, first: self._one(sock, request, first, peer[0]))

    def _one(self, sock: socket.socket, request: Request, first: float, peer: str) -> None:
        asked_at = self.clock()
        self.numbers += 1
        name = request.get(names.REQUEST) or b"%s-%d" % (self.config.name.encode(), self.numbers)
        said = self._ask(request, name, peer)
        if isinstance(said, Permitted):
            permit: Permitted | None = said
        elif said.status >= 500 and self.fault("fail_open") is not None:
            self.ledger.note(self.clock(), "let_through", **{"try": name.decode()}, status=said.status)
            permit = None
        else:
            self.ledger.note(self.clock(), "turned_away", **{"try": name.decode()}, status=said.status)
            body = b"" if self.fault("drop_refusal_body") is not None else said.body
            sock.sendall(
                write.response(said.status, said.headers, body, request.keep_alive, request.method == "HEAD")
            )
            return
        answer, elapsed_ms, reached = self._send(request, name, permit, asked_at)
        self._tell(name, permit, answer, elapsed_ms, reached)
        sock.sendall(
            write.response(
                answer.status, answer.headers, answer.body, request.keep_alive, request.method == "HEAD"
            )
        )

    # ---- the sub-request

    def _sub_request(self, request: Request, name: bytes, peer: str) -> bytes:
        """As this kind of proxy writes it."""
        kind, method = self.kind, request.method.encode()
        dropped = {
            REQUEST_ID,
            b"x-forwarded-for",
            b"host",
            b"content-length",
            b"connection",
            kind.method,
            kind.uri,
            kind.host,
        }
        headers = [pair for pair in request.headers if pair[0] not in dropped]
        before = [value for known, value in request.headers if known == b"x-forwarded-for"]
        headers += [(REQUEST_ID, name), (b"x-forwarded-for", b", ".join([*before, peer.encode()]))]
        host = request.get(b"host") or b""
        told = (
            (kind.method, method),
            (kind.uri, request.target),
            (kind.host, host),
            (names.REFUSALS if kind.passes is not None else b"", b"as_403"),
        )
        headers += [(known, value) for known, value in told if known]
        if self.fault("headers_joined") is not None:
            joined: dict[bytes, bytes] = {}
            for known, value in headers:
                joined[known] = joined[known] + b", " + value if known in joined else value
            headers = list(joined.items())
        prefix = self.config.prefix.encode()
        if self.fault("body_announced") is not None and request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        elif kind.own_method and request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"0"))
        line = (method, prefix + request.target) if kind.own_method else (b"GET", prefix)
        out = [b"%s %s HTTP/1.1\r\nhost: %s\r\n" % (*line, host or b"auth")]
        out += [b"%s: %s\r\n" % pair for pair in headers]
        return b"".join(out) + b"\r\n"

    def _ask(self, request: Request, name: bytes, peer: str) -> Permitted | Answer:
        """The permit, or the answer for the client."""
        if not self.gateways:
            return Answer(503, [], b"no authorization service is configured")
        data = self._sub_request(request, name, peer)
        self.turn = (self.turn + 1) % len(self.gateways)
        order = self.gateways[self.turn :] + self.gateways[: self.turn]
        if (slow := self.fault("auth_slow")) is not None:
            gevent.sleep(slow.delay_ms / 1000)
        if self.fault("report_early") is not None:
            gevent.spawn_later(0.001, self._post, order[0], name.decode(), 200, 1.0, {})
        if self.fault("ask_twice") is not None:
            gevent.spawn(self._exchange, order[0], data, self.config.auth_timeout_ms)
        if self.fault("ask_elsewhere") is not None and len(order) > 1:
            gevent.spawn(self._exchange, order[1], data, self.config.auth_timeout_ms)
        allowed = self.fault("auth_timeout")
        patience = allowed.delay_ms if allowed is not None else self.config.auth_timeout_ms
        said = None
        for gateway in order:
            try:
                said = self._exchange(gateway, data, patience)
                break
            except ConnectionRefusedError:
                continue  # nothing was asked there
            except (OSError, BadResponse):
                return Answer(503, [], b"no answer from the authorization service")
        if said is None:
            return Answer(503, [], b"no authorization service is there")
        if 200 <= said.status < 300:
            own = [pair for pair in said.headers if pair[0].startswith(names.OWN_PREFIX)]
            permit = Permitted(gateway, own, "")
            permit.server = permit.get(names.SERVER).decode()
            self.ledger.note(
                self.clock(),
                "permitted",
                **{"try": permit.get(names.REQUEST).decode()},
                gateway=gateway,
                server=permit.server,
            )
            return permit
        return self._refused(said)

    def _refused(self, said: Answer) -> Answer:
        """What this kind of proxy hands to the client of a refusal."""
        kind = self.kind
        if kind.passes is not None and said.status not in kind.passes:
            return Answer(500, [], b"")
        meant = next((int(value) for known, value in said.headers if known == names.STATUS), said.status)
        kept = [pair for pair in said.headers if pair[0] not in write.HOP_BY_HOP]
        if not kind.refusal_body:  # what its operator handed on by hand, from docs/operate-proxies.md
            kept = [
                pair
                for pair in kept
                if pair[0] in (b"www-authenticate", b"retry-after", names.OUTCOME, names.RETRY_AFTER_MS)
            ]
        return Answer(meant, kept, said.body if kind.refusal_body else b"")

    # ---- the request itself

    def _send(
        self, request: Request, name: bytes, permit: Permitted | None, asked_at: float
    ) -> tuple[Answer, float, bool]:
        """Send it to the server; the answer, how long that took, and whether a byte was written."""
        servers = self.config.servers
        server = (
            permit.server
            if permit is not None and permit.server
            else (servers[self.numbers % len(servers)] if servers else "")
        )
        if not server:
            return Answer(503, [], b"no server is known"), 0.0, False
        left = float(permit.get(names.TIME_LEFT)) if permit is not None else self.config.default_time_ms
        own = permit.headers if permit is not None else [(names.REQUEST, name)]
        kept = [
            pair
            for pair in request.headers
            if pair[0] not in write.HOP_BY_HOP
            and not pair[0].startswith(names.OWN_PREFIX)
            and pair[0] not in (b"host", b"authorization")
        ]
        kept += [pair for pair in own if pair[0] not in (names.OUTCOME, names.SERVER)]
        data = write.request(request.method, request.target, server.encode(), kept, request.body)
        began = self.clock()
        try:
            connection = self._connection(server, request.method == "GET")
        except OSError:
            return Answer(502, [], b"the server is out of reach"), self.clock() - began, False
        try:
            answer = self._over(connection, data, left - (began - asked_at), request.method == "HEAD")
        except TimeoutError:
            return Answer(504, [(names.OUTCOME, b"failed")], b""), self.clock() - began, True
        except (OSError, BadResponse):
            return Answer(502, [(names.OUTCOME, b"failed")], b""), self.clock() - began, True
        outcome = b"served" if answer.status < 500 else b"failed"
        answer.headers = [
            pair
            for pair in answer.headers
            if pair[0] not in write.HOP_BY_HOP and not pair[0].startswith(names.OWN_PREFIX)
        ] + [(names.OUTCOME, outcome)]
        return answer, self.clock() - began, True

    # ---- the report

    def _tell(
        self, name: bytes, permit: Permitted | None, answer: Answer, elapsed_ms: float, reached: bool
    ) -> None:
        if self.config.form == "decide" or self.fault("report_never") is not None:
            return
        if permit is not None:
            request, gateway = permit.get(names.REQUEST).decode(), permit.gateway
        else:
            request, gateway = name.decode(), self.gateways[self.turn]
        more: dict[str, Any] = {"never_ran": True} if not reached else {}
        if permit is not None:
            more["instance"] = int(permit.get(names.INSTANCE))
        status = answer.status if reached and answer.status not in (502, 504) else 0
        if self.fault("report_elsewhere") is not None:
            gateway = self.gateways[(self.gateways.index(gateway) + 1) % len(self.gateways)]
        times = 2 if self.fault("report_twice") is not None else 1
        late = self.fault("report_late")
        after_s = late.delay_ms / 1000 if late is not None else 0.0
        for _ in range(times):
            gevent.spawn_later(after_s, self._post, gateway, request, status, elapsed_ms, more)

    def _post(self, gateway: str, request: str, status: int, elapsed_ms: float, more: dict[str, Any]) -> None:
        body = msgspec.json.encode({"request": request, "status": status, "elapsed_ms": elapsed_ms} | more)
        try:
            said = self._exchange(gateway, write.request("POST", b"/report", b"gateway", [], body), 1_000.0)
        except (OSError, BadResponse) as error:
            self.ledger.note(self.clock(), "report_lost", **{"try": request}, how=type(error).__name__)
            return
        self.ledger.note(
            self.clock(),
            "reported",
            **{"try": request},
            status=said.status,
            told=said.body[:100].decode(errors="replace"),
        )

    # ---- connections

    def _connection(self, address: str, may_reuse: bool) -> Connection:
        target = split_address(address, "address")
        backend = backend_id(*target)
        return (self.pool.acquire_idle(backend) if may_reuse else None) or self.pool.connect(
            backend, target, 0.5
        )

    def _exchange(self, address: str, data: bytes, patience_ms: float) -> Answer:
        """One request and its answer on a kept connection; OSError where none came in time."""
        return self._over(self._connection(address, True), data, patience_ms, False)

    def _over(self, connection: Connection, data: bytes, patience_ms: float, no_body: bool) -> Answer:
        until, reader, sock = self.clock() + patience_ms, connection.reader, connection.sock
        reader.begin(no_body)

        def receive(size: int) -> bytes:
            sock.settimeout(max(0.001, (until - self.clock()) / 1000))
            data: bytes = sock.recv(size)
            return data

        try:
            sock.settimeout(max(0.001, patience_ms / 1000))
            sock.sendall(data)
            reader.read(receive)
        finally:
            if reader.complete:
                self.pool.release(connection)
            else:
                self.pool.close(connection)
        return Answer(reader.status, reader.headers, reader.body)

    def command(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Adds PUT /gateways."""
        if (method, path) == ("PUT", "/gateways"):
            self.gateways = msgspec.convert(body, list[str])
            return 200, {}
        return super().command(method, path, body)
