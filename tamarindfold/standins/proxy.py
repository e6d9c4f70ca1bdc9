"""A reverse proxy that authorizes each request by a sub-request to a gateway (forward authentication).

PROFILES holds what nginx, Traefik, Caddy and Envoy send, keep and drop; misconfigurations and rarer behaviour
are simulated as faults. Sources: the manuals of nginx (ngx_http_auth_request_module), Traefik (ForwardAuth
middleware), Caddy (forward_auth directive) and Envoy (ext_authz HTTP service).
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
MAX_RESPONSE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ProxyProfile:
    """How one product sends its sub-request. An empty header name means that it does not send that header."""

    method_header: bytes
    uri_header: bytes
    host_header: bytes = b""
    own_method: bool = False  # the sub-request has the original method, and the original path after a prefix
    forwarded_refusals: frozenset[int] | None = None  # refusal statuses passed to the client; None: all
    refusal_body: bool = True


PROFILES = {
    "nginx": ProxyProfile(
        b"x-original-method",
        b"x-original-uri",
        forwarded_refusals=frozenset((401, 403)),
        refusal_body=False,
    ),
    "traefik": ProxyProfile(b"x-forwarded-method", b"x-forwarded-uri", b"x-forwarded-host"),
    "caddy": ProxyProfile(b"x-forwarded-method", b"x-forwarded-uri", b"x-forwarded-host"),
    "envoy": ProxyProfile(b"", b"", own_method=True),
}


class ProxyConfig(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Configuration of one proxy.

    gateways: addresses for sub-requests. servers: addresses of the servers, for a proxy that chooses the
    server itself. form: `report` if it reports the outcome of each request to the gateway, `decide` if not.
    default_time_ms: time limit of a request that it sends without a permit.
    """

    name: str = "proxy"
    kind: Literal["nginx", "traefik", "caddy", "envoy"] = "traefik"
    form: Literal["report", "decide"] = "report"
    seed: int = 1
    host: str = "127.0.0.1"
    port: int = 0
    ledger: str = ""
    source: str = ""  # loopback address from which it connects
    gateways: list[str] = []
    servers: list[str] = []
    prefix: str = "/auth"
    auth_timeout_ms: float = 1_000.0
    default_time_ms: float = 10_000.0
    faults: list[Fault] = []


@dataclass(slots=True)
class Permit:
    """A gateway's permission to send the request."""

    gateway: str
    headers: Headers  # those of the response whose names begin with names.OWN_PREFIX
    server: str

    def get(self, name: bytes, default: bytes = b"") -> bytes:
        """The value of one header."""
        return next((value for known, value in self.headers if known == name), default)


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class ProxyServer(Standin):
    """Asks a gateway for a permit, sends the request to the server, responds, and reports the outcome."""

    fault_kinds = frozenset(
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
        self.config, self.profile = config, PROFILES[config.kind]
        self.gateways = list(config.gateways)
        self.gateway_index = 0  # the gateway that the latest sub-request was sent to first
        self.request_count = 0
        self.pool = Pool(5_000, 64, 4_000, 500, config.source, MAX_RESPONSE_BYTES, self.clock)

    def startup_fields(self) -> dict[str, Any]:
        return super().startup_fields() | {"source": self.config.source, "kind": self.config.kind}

    def serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        serve_http(sock, self.clock, lambda sock, request, _: self._handle(sock, request, peer[0]))

    def _handle(self, sock: socket.socket, request: Request, peer: str) -> None:
        asked_at = self.clock()
        self.request_count += 1
        name = request.get(names.REQUEST) or b"%s-%d" % (self.config.name.encode(), self.request_count)
        result = self._authorize(request, name, peer)
        if isinstance(result, Permit):
            permit: Permit | None = result
        elif result.status >= 500 and self.active_fault("fail_open") is not None:
            self.ledger.record(self.clock(), "let_through", **{"try": name.decode()}, status=result.status)
            permit = None
        else:
            self.ledger.record(self.clock(), "turned_away", **{"try": name.decode()}, status=result.status)
            body = b"" if self.active_fault("drop_refusal_body") is not None else result.body
            sock.sendall(
                write.response(
                    result.status, result.headers, body, request.keep_alive, request.method == "HEAD"
                )
            )
            return
        response, elapsed_ms, was_sent = self._send(request, name, permit, asked_at)
        self._report(name, permit, response, elapsed_ms, was_sent)
        sock.sendall(
            write.response(
                response.status,
                response.headers,
                response.body,
                request.keep_alive,
                request.method == "HEAD",
            )
        )

    # ---- the sub-request

    def _sub_request(self, request: Request, name: bytes, peer: str) -> bytes:
        """Encode the sub-request as this product sends it."""
        profile, method = self.profile, request.method.encode()
        dropped = {
            REQUEST_ID,
            b"x-forwarded-for",
            b"host",
            b"content-length",
            b"connection",
            profile.method_header,
            profile.uri_header,
            profile.host_header,
        }
        headers = [pair for pair in request.headers if pair[0] not in dropped]
        forwarded_for = [value for known, value in request.headers if known == b"x-forwarded-for"]
        headers += [(REQUEST_ID, name), (b"x-forwarded-for", b", ".join([*forwarded_for, peer.encode()]))]
        host = request.get(b"host") or b""
        added = (
            (profile.method_header, method),
            (profile.uri_header, request.target),
            (profile.host_header, host),
            (names.REFUSALS if profile.forwarded_refusals is not None else b"", b"as_403"),
        )
        headers += [(known, value) for known, value in added if known]
        if self.active_fault("headers_joined") is not None:
            joined: dict[bytes, bytes] = {}
            for known, value in headers:
                joined[known] = joined[known] + b", " + value if known in joined else value
            headers = list(joined.items())
        prefix = self.config.prefix.encode()
        if self.active_fault("body_announced") is not None and request.body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        elif profile.own_method and request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"0"))
        request_line = (method, prefix + request.target) if profile.own_method else (b"GET", prefix)
        lines = [b"%s %s HTTP/1.1\r\nhost: %s\r\n" % (*request_line, host or b"auth")]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        return b"".join(lines) + b"\r\n"

    def _authorize(self, request: Request, name: bytes, peer: str) -> Permit | Response:
        """Ask the gateways in turn; returns a permit, or the response for the client."""
        if not self.gateways:
            return Response(503, [], b"no authorization service is configured")
        data = self._sub_request(request, name, peer)
        self.gateway_index = (self.gateway_index + 1) % len(self.gateways)
        order = self.gateways[self.gateway_index :] + self.gateways[: self.gateway_index]
        if (slow := self.active_fault("auth_slow")) is not None:
            gevent.sleep(slow.delay_ms / 1000)
        if self.active_fault("report_early") is not None:
            gevent.spawn_later(0.001, self._post, order[0], name.decode(), 200, 1.0, {})
        if self.active_fault("ask_twice") is not None:
            gevent.spawn(self._exchange, order[0], data, self.config.auth_timeout_ms)
        if self.active_fault("ask_elsewhere") is not None and len(order) > 1:
            gevent.spawn(self._exchange, order[1], data, self.config.auth_timeout_ms)
        timeout_fault = self.active_fault("auth_timeout")
        timeout_ms = timeout_fault.delay_ms if timeout_fault is not None else self.config.auth_timeout_ms
        response = None
        for gateway in order:
            try:
                response = self._exchange(gateway, data, timeout_ms)
                break
            except ConnectionRefusedError:
                continue  # this gateway did not receive the sub-request
            except (OSError, BadResponse):
                return Response(503, [], b"no answer from the authorization service")
        if response is None:
            return Response(503, [], b"authorization service is unreachable")
        if 200 <= response.status < 300:
            permit_headers = [pair for pair in response.headers if pair[0].startswith(names.OWN_PREFIX)]
            permit = Permit(gateway, permit_headers, "")
            permit.server = permit.get(names.SERVER).decode()
            self.ledger.record(
                self.clock(),
                "permitted",
                **{"try": permit.get(names.REQUEST).decode()},
                gateway=gateway,
                server=permit.server,
            )
            return permit
        return self._refusal(response)

    def _refusal(self, response: Response) -> Response:
        """Convert a gateway's refusal to what this product sends to the client."""
        profile = self.profile
        if profile.forwarded_refusals is not None and response.status not in profile.forwarded_refusals:
            return Response(500, [], b"")
        intended_status = next(
            (int(value) for known, value in response.headers if known == names.STATUS), response.status
        )
        kept = [pair for pair in response.headers if pair[0] not in write.HOP_BY_HOP]
        if not profile.refusal_body:
            # only the headers that the configuration in docs/operate-proxies.md keeps
            kept = [
                pair
                for pair in kept
                if pair[0] in (b"www-authenticate", b"retry-after", names.OUTCOME, names.RETRY_AFTER_MS)
            ]
        return Response(intended_status, kept, response.body if profile.refusal_body else b"")

    # ---- the request itself

    def _send(
        self, request: Request, name: bytes, permit: Permit | None, asked_at: float
    ) -> tuple[Response, float, bool]:
        """Send the request to the server; returns response, elapsed milliseconds, and whether it was sent."""
        servers = self.config.servers
        server = (
            permit.server
            if permit is not None and permit.server
            else (servers[self.request_count % len(servers)] if servers else "")
        )
        if not server:
            return Response(503, [], b"no server is known"), 0.0, False
        time_left_ms = (
            float(permit.get(names.TIME_LEFT)) if permit is not None else self.config.default_time_ms
        )
        permit_headers = permit.headers if permit is not None else [(names.REQUEST, name)]
        kept = [
            pair
            for pair in request.headers
            if pair[0] not in write.HOP_BY_HOP
            and not pair[0].startswith(names.OWN_PREFIX)
            and pair[0] not in (b"host", b"authorization")
        ]
        kept += [pair for pair in permit_headers if pair[0] not in (names.OUTCOME, names.SERVER)]
        data = write.request(request.method, request.target, server.encode(), kept, request.body)
        started_at = self.clock()
        try:
            connection = self._connection(server, request.method == "GET")
        except OSError:
            return Response(502, [], b"the server is unreachable"), self.clock() - started_at, False
        try:
            response = self._exchange_on(
                connection, data, time_left_ms - (started_at - asked_at), request.method == "HEAD"
            )
        except TimeoutError:
            return Response(504, [(names.OUTCOME, b"failed")], b""), self.clock() - started_at, True
        except (OSError, BadResponse):
            return Response(502, [(names.OUTCOME, b"failed")], b""), self.clock() - started_at, True
        outcome = b"served" if response.status < 500 else b"failed"
        response.headers = [
            pair
            for pair in response.headers
            if pair[0] not in write.HOP_BY_HOP and not pair[0].startswith(names.OWN_PREFIX)
        ] + [(names.OUTCOME, outcome)]
        return response, self.clock() - started_at, True

    # ---- the report

    def _report(
        self, name: bytes, permit: Permit | None, response: Response, elapsed_ms: float, was_sent: bool
    ) -> None:
        """Report the outcome to the gateway that gave the permit, unless a fault changes that."""
        if self.config.form == "decide" or self.active_fault("report_never") is not None:
            return
        if permit is not None:
            request, gateway = permit.get(names.REQUEST).decode(), permit.gateway
        else:
            request, gateway = name.decode(), self.gateways[self.gateway_index]
        optional_fields: dict[str, Any] = {"never_ran": True} if not was_sent else {}
        if permit is not None:
            optional_fields["instance"] = int(permit.get(names.INSTANCE))
        status = response.status if was_sent and response.status not in (502, 504) else 0
        if self.active_fault("report_elsewhere") is not None:
            gateway = self.gateways[(self.gateways.index(gateway) + 1) % len(self.gateways)]
        times = 2 if self.active_fault("report_twice") is not None else 1
        late = self.active_fault("report_late")
        delay_s = late.delay_ms / 1000 if late is not None else 0.0
        for _ in range(times):
            gevent.spawn_later(delay_s, self._post, gateway, request, status, elapsed_ms, optional_fields)

    def _post(
        self, gateway: str, request: str, status: int, elapsed_ms: float, optional_fields: dict[str, Any]
    ) -> None:
        body = msgspec.json.encode(
            {"request": request, "status": status, "elapsed_ms": elapsed_ms} | optional_fields
        )
        try:
            response = self._exchange(
                gateway, write.request("POST", b"/report", b"gateway", [], body), 1_000.0
            )
        except (OSError, BadResponse) as error:
            self.ledger.record(self.clock(), "report_lost", **{"try": request}, how=type(error).__name__)
            return
        self.ledger.record(
            self.clock(),
            "reported",
            **{"try": request},
            status=response.status,
            told=response.body[:100].decode(errors="replace"),
        )

    # ---- connections

    def _connection(self, address: str, may_reuse: bool) -> Connection:
        target = split_address(address, "address")
        backend = backend_id(*target)
        return (self.pool.acquire_idle(backend) if may_reuse else None) or self.pool.connect(
            backend, target, 0.5
        )

    def _exchange(self, address: str, data: bytes, timeout_ms: float) -> Response:
        """Send a request on a pooled connection and return the response; OSError on a failure or time-out."""
        return self._exchange_on(self._connection(address, True), data, timeout_ms, False)

    def _exchange_on(self, connection: Connection, data: bytes, timeout_ms: float, no_body: bool) -> Response:
        deadline, reader, sock = self.clock() + timeout_ms, connection.reader, connection.sock
        reader.begin(no_body)

        def receive(size: int) -> bytes:
            sock.settimeout(max(0.001, (deadline - self.clock()) / 1000))
            data: bytes = sock.recv(size)
            return data

        try:
            sock.settimeout(max(0.001, timeout_ms / 1000))
            sock.sendall(data)
            reader.read(receive)
        finally:
            if reader.complete:
                self.pool.release(connection)
            else:
                self.pool.close(connection)
        return Response(reader.status, reader.headers, reader.body)

    def handle_admin(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Adds PUT /gateways, which replaces the list of gateways."""
        if (method, path) == ("PUT", "/gateways"):
            self.gateways = msgspec.convert(body, list[str])
            return 200, {}
        return super().handle_admin(method, path, body)
