"""Fuzzes the parsers of untrusted input: requests, addresses, original requests, reports, bearer tokens.

    python -m fuzz.headers --seconds 20 [--seed N]

Inputs are joined from fragments that are difficult for such parsers, then mutated: bytes are changed,
deleted, duplicated and inserted. Each target is compared with an oracle: another implementation (such as the
standard library's ipaddress), the same bytes split differently, or the rule that the only exception is
Rejected with a 4xx or 5xx status. Each failure is printed with its input, and the exit code is then 1.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from ipaddress import ip_address, ip_network
from random import Random

from tamarindfold.ds.prefixes import PrefixTrie, parse_address
from tamarindfold.forward.addresses import TrustedProxies
from tamarindfold.forward.original import OriginalRequestHeaders, parse_original_request
from tamarindfold.forward.reports import parse_reports
from tamarindfold.http1.requests import Headers, Rejected, Request, RequestReader
from tamarindfold.introspection import bearer

FRAGMENTS = [
    b"10.0.0.1",
    b"203.0.113.7",
    b"::ffff:10.0.0.1",
    b"2001:db8::1",
    b"[2001:db8::1]:80",
    b"1.2.3.4:99999",
    b"0x7f.1",
    b"010.0.0.1",
    b"1.1",
    b"fe80::1%eth0",
    b"for=",
    b'For="[::1]"',
    b"unknown",
    b"_hidden",
    b";proto=http",
    b",",
    b", ",
    b'"',
    b"\\",
    b"%00",
    b"%2e",
    b"/",
    b"//",
    b"/../",
    b"?a=1",
    b"#",
    b" ",
    b"\t",
    b"\x00",
    b"\r",
    b"\n",
    b"\r\n",
    b"\xff",
    b"\xc0\xaf",
    b"Bearer ",
    b"bearer  a",
    b"a.b.c==",
    b"GET",
    b"get",
    b"x" * 300,
    b"9" * 30,
    b"-1",
    b"1e400",
    b"NaN",
    b"{",
    b"}",
    b"chunked",
    b"100-continue",
    b"0",
    b"5",
    b"+5",
    b"5, 5",
    b'{"request":"a","status":200,"elapsed_ms":1}',
]
HEADER_NAMES = [
    b"Host",
    b"X-Forwarded-For",
    b"Forwarded",
    b"X-Forwarded-Method",
    b"X-Original-Method",
    b"X-Forwarded-Uri",
    b"X-Original-URI",
    b"Authorization",
    b"Content-Length",
    b"Transfer-Encoding",
    b"Expect",
    b"Connection",
    b"X-Request-Id",
    b"tamarind-units",
    b"Upgrade",
    b"X-Forwarded-Host",
    b"",
]
TRUSTED_RANGES = ["10.0.0.0/8", "fd00::/8", "127.0.0.0/8"]
TRUSTED_PROXIES = TrustedProxies(TRUSTED_RANGES)
TRUSTED_NETWORKS = [ip_network(text) for text in TRUSTED_RANGES]
HEADER_CONFIGURATIONS = (
    OriginalRequestHeaders(),
    OriginalRequestHeaders.from_config(["x-original-method"], ["x-original-uri"], ["host"], "/auth", ["a"]),
)


class OracleMismatch(Exception):
    """A target behaved differently from its oracle; the text holds the input."""


def random_value(random: Random) -> bytes:
    """Up to five fragments, with up to four mutations."""
    data = bytearray(b"".join(random.choices(FRAGMENTS, k=random.randint(0, 5))))
    for _ in range(random.choice((0, 0, 1, 2, 4))):
        if not data:
            break
        at = random.randrange(len(data))
        match random.randrange(4):
            case 0:
                data[at] = random.randrange(256)
            case 1:
                del data[at : at + random.randint(1, 4)]
            case 2:
                data[at:at] = data[at : at + random.randint(1, 8)]
            case _:
                data.insert(at, random.choice(b'\x00\r\n\t ,;:="[]%/\\'))
    return bytes(data)


def random_headers(random: Random) -> Headers:
    """Header pairs as the request reader returns them: lower-case names, any value."""
    return [(random.choice(HEADER_NAMES).lower(), random_value(random)) for _ in range(random.randint(0, 6))]


# ---- targets: their names are part of the random seeds and of the output


def addresses(random: Random) -> None:
    """The address parser accepts what ipaddress accepts, with the same result."""
    text = random_value(random).decode("latin-1")
    try:
        actual: int | None = parse_address(text)
    except ValueError:
        actual = None
    try:
        parsed = ip_address(text)
        expected: int | None = int(parsed) if parsed.version == 6 else 0xFFFF << 32 | int(parsed)
        if "%" in text:
            expected = None  # scoped addresses are local to one machine and must be rejected
    except ValueError:
        expected = None
    if actual != expected:
        raise OracleMismatch(f"parse_address({text!r}): {actual}, ipaddress: {expected}")


def tries(random: Random) -> None:
    """The prefix trie finds the same network as a linear scan."""
    networks = [
        ip_network((random.getrandbits(32) >> (32 - n) << (32 - n), n))
        for n in random.choices(range(33), k=random.randint(0, 12))
    ]
    trie: PrefixTrie[str] = PrefixTrie()
    for network in networks:
        trie.add(str(network), str(network))
    members = [int(n.network_address) | random.getrandbits(32) & int(n.hostmask) for n in networks]
    for candidate in [random.getrandbits(32), *members]:
        matching = [n for n in networks if ip_address(candidate) in n]
        best = max(matching, key=lambda n: n.prefixlen, default=None)
        found = trie.find(0xFFFF << 32 | candidate)
        if found != (str(best) if best is not None else None):
            raise OracleMismatch(f"trie of {networks} for {ip_address(candidate)}: {found}, scan: {best}")


def chains(random: Random) -> None:
    """A forwarding chain gives a client address or 400; from an untrusted peer, the chain is ignored."""
    chain = [pair for pair in random_headers(random) if pair[0] in (b"x-forwarded-for", b"forwarded")]
    peer = random.choice(["10.0.0.9", "203.0.113.9", "::ffff:10.1.1.1", "2001:db8::7"])
    try:
        client = TRUSTED_PROXIES.client_address(peer, chain)
    except Rejected as rejection:
        if rejection.status != 400:
            raise OracleMismatch(f"chain {chain!r}: {rejection.status}") from None
        return
    parsed = ip_address(client)
    parsed = getattr(parsed, "ipv4_mapped", None) or parsed
    trusted = any(parsed.version == n.version and parsed in n for n in TRUSTED_NETWORKS)
    is_untrusted_peer = peer in ("203.0.113.9", "2001:db8::7")
    if (is_untrusted_peer and client != peer) or (client in TRUSTED_PROXIES) != trusted:
        raise OracleMismatch(f"chain {chain!r} from {peer}: {client}")


def originals(random: Random) -> None:
    """Method and target of an original request are taken from headers or path; otherwise it is a 4xx."""
    target = random.choice((b"/auth", b"/auth" + random_value(random)))
    request = Request(random.choice(("GET", "POST")), target, random_headers(random))
    for names in HEADER_CONFIGURATIONS:
        try:
            found = parse_original_request(request, names)
        except Rejected as rejection:
            if not 400 <= rejection.status < 500:
                raise OracleMismatch(f"original {request!r}: {rejection.status}") from None
            continue
        allowed = {v for _, v in request.headers} | {
            request.target.removeprefix(b"/auth"),
            request.method.encode(),
        }
        if found.target not in allowed or found.method.encode() not in allowed:
            raise OracleMismatch(f"original {request!r}: {found!r}")


def reports(random: Random) -> None:
    """A body gives reports with all values in range, or 400 or 413."""
    valid_line = b'{"request":"b","status":0,"elapsed_ms":2.5,"units":1}\n'
    body = b"".join(random.choices([*FRAGMENTS, b"\n", valid_line], k=random.randint(0, 6)))
    try:
        found = parse_reports(body)
    except Rejected as rejection:
        if rejection.status not in (400, 413):
            raise OracleMismatch(f"reports {body!r}: {rejection.status}") from None
        return
    if not all(r.status in (0, *range(100, 600)) and r.elapsed_ms >= 0 and r.units >= 0 for r in found):
        raise OracleMismatch(f"reports {body!r}: {found}")


def tokens(random: Random) -> None:
    """An Authorization value gives a token of allowed characters, None, or BadCredentials."""
    header = random_value(random)
    try:
        token = bearer.parse_authorization(header)
    except bearer.BadCredentials:
        return
    if token is not None and (not token or any(c <= 32 or c > 126 or c in b'",\\' for c in token)):
        raise OracleMismatch(f"bearer {header!r}: {token!r}")


def _read_all(parts: list[bytes]) -> tuple[list[tuple[str, bytes, Headers, bytes]], int]:
    """The requests read from these parts, and the status if the reader rejects the input, else 0."""
    reader = RequestReader(4096, 40, 4096)
    status = 0
    try:
        for part in parts:
            reader.feed(part)
    except Rejected as rejection:
        status = rejection.status
    return [(r.method, r.target, r.headers, r.body) for r in reader.ready], status


def messages(random: Random) -> None:
    """The same bytes give the same requests however they are split; no value contains CR, LF or NUL."""
    target = random_value(random).replace(b" ", b"")
    lines = [random.choice((b"GET", b"POST", b"get", b"")) + b" /" + target + b" HTTP/1.1"]
    lines += [
        random.choice(HEADER_NAMES) + random.choice((b": ", b":", b" : ")) + random_value(random)
        for _ in range(random.randint(0, 6))
    ]
    lines.append(b"Host: a")
    data = b"\r\n".join(lines) + b"\r\n\r\n" + random.choice((b"", b"5\r\nhello\r\n0\r\n\r\n", b"hello"))
    whole, status = _read_all([data])
    cuts = sorted(random.sample(range(len(data) + 1), min(4, len(data))))
    split, split_status = _read_all([data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)])
    # The size limits count the bytes fed so far, so a rejection may come one part earlier and with another
    # status; the complete requests must not differ.
    if whole != split or bool(status) != bool(split_status):
        raise OracleMismatch(f"message {data!r}: {whole} {status}, in parts {cuts}: {split} {split_status}")
    for method, target, found, _ in whole:
        if any(c in target + b"".join(v for _, v in found) for c in b"\r\n\x00") or not method.isascii():
            raise OracleMismatch(f"message {data!r}: {target!r} {found!r}")
    if status and not 400 <= status < 600:
        raise OracleMismatch(f"message {data!r}: status {status}")


TARGETS: list[Callable[[Random], None]] = [addresses, tries, chains, originals, reports, tokens, messages]


def run(seed: int, rounds: int | None, seconds: float | None) -> tuple[int, list[str]]:
    """Run all targets for a number of rounds or seconds.

    Returns the number of completed rounds and the failures; a target is skipped after its first failure.
    """
    deadline = time.monotonic() + seconds if seconds is not None else None
    failures: dict[str, str] = {}
    done = 0
    while (rounds is None or done < rounds) and (deadline is None or time.monotonic() < deadline):
        for target in TARGETS:
            if target.__name__ in failures:
                continue
            try:
                target(Random(f"{seed}/{done}/{target.__name__}"))
            except OracleMismatch as mismatch:
                failures[target.__name__] = f"{target.__name__}, seed {seed}, round {done}: {mismatch}"
            except Exception as error:
                failures[target.__name__] = (
                    f"{target.__name__}, seed {seed}, round {done}: {type(error).__name__}: {error}"
                )
        done += 1
    return done, list(failures.values())


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m fuzz.headers", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    done, failures = run(args.seed, None, args.seconds)
    print(f"{done} rounds of {len(TARGETS)} targets, {len(failures)} failures")
    for line in failures:
        print(line)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
