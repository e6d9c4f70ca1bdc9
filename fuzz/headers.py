"""Fuzzes what a stranger's bytes reach first: header parsing, addresses, original requests, reports.

    python -m fuzz.headers --seconds 20 [--seed N]

Inputs are built from pieces that such parsers trip over, then bent: bytes flipped, cut, doubled, moved. Each
target is held to an oracle: another reader (the standard library's ipaddress), the same bytes split
otherwise, or the rule that only Rejected with a 4xx or 5xx may come out. Exit 1 and a line with the input
for a find.
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

PIECES = [
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
NAMES = [
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
TRUSTED = ["10.0.0.0/8", "fd00::/8", "127.0.0.0/8"]
TRUST = TrustedProxies(TRUSTED)
NETWORKS = [ip_network(text) for text in TRUSTED]
CONFIGURED = (
    OriginalRequestHeaders(),
    OriginalRequestHeaders.from_config(["x-original-method"], ["x-original-uri"], ["host"], "/auth", ["a"]),
)


class Found(Exception):
    """A target broke its oracle."""


def value(random: Random) -> bytes:
    """Some pieces, bent."""
    data = bytearray(b"".join(random.choices(PIECES, k=random.randint(0, 5))))
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


def headers(random: Random) -> Headers:
    """Header pairs as the reader gives them: names in lower case, any value."""
    return [(random.choice(NAMES).lower(), value(random)) for _ in range(random.randint(0, 6))]


# ---- targets


def addresses(random: Random) -> None:
    """An address is one to us exactly when it is one to ipaddress, and is the same."""
    text = value(random).decode("latin-1")
    try:
        ours: int | None = parse_address(text)
    except ValueError:
        ours = None
    try:
        theirs = ip_address(text)
        bits: int | None = int(theirs) if theirs.version == 6 else 0xFFFF << 32 | int(theirs)
        if "%" in text:
            bits = None  # a scope belongs to one machine: no address from elsewhere has one
    except ValueError:
        bits = None
    if ours != bits:
        raise Found(f"parse_address({text!r}): {ours}, ipaddress: {bits}")


def tries(random: Random) -> None:
    """The trie finds what a scan of networks finds."""
    networks = [
        ip_network((random.getrandbits(32) >> (32 - n) << (32 - n), n))
        for n in random.choices(range(33), k=random.randint(0, 12))
    ]
    trie: PrefixTrie[str] = PrefixTrie()
    for network in networks:
        trie.add(str(network), str(network))
    inside = [int(n.network_address) | random.getrandbits(32) & int(n.hostmask) for n in networks]
    for one in [random.getrandbits(32), *inside]:
        holding = [n for n in networks if ip_address(one) in n]
        best = max(holding, key=lambda n: n.prefixlen, default=None)
        found = trie.find(0xFFFF << 32 | one)
        if found != (str(best) if best is not None else None):
            raise Found(f"trie of {networks} for {ip_address(one)}: {found}, scan: {best}")


def chains(random: Random) -> None:
    """A chain gives an address or 400; behind an untrusted peer nothing in it counts."""
    given = [pair for pair in headers(random) if pair[0] in (b"x-forwarded-for", b"forwarded")]
    peer = random.choice(["10.0.0.9", "203.0.113.9", "::ffff:10.1.1.1", "2001:db8::7"])
    try:
        client = TRUST.client_address(peer, given)
    except Rejected as fault:
        if fault.status != 400:
            raise Found(f"chain {given!r}: {fault.status}") from None
        return
    parsed = ip_address(client)
    parsed = getattr(parsed, "ipv4_mapped", None) or parsed
    trusted = any(parsed.version == n.version and parsed in n for n in NETWORKS)
    outside = peer in ("203.0.113.9", "2001:db8::7")
    if (outside and client != peer) or (client in TRUST) != trusted:
        raise Found(f"chain {given!r} from {peer}: {client}")


def originals(random: Random) -> None:
    """An original request has a method and a target that stood in the headers or the path, or is a 4xx."""
    target = random.choice((b"/auth", b"/auth" + value(random)))
    asked = Request(random.choice(("GET", "POST")), target, headers(random))
    for names in CONFIGURED:
        try:
            found = parse_original_request(asked, names)
        except Rejected as fault:
            if not 400 <= fault.status < 500:
                raise Found(f"original {asked!r}: {fault.status}") from None
            continue
        stood = {v for _, v in asked.headers} | {asked.target.removeprefix(b"/auth"), asked.method.encode()}
        if found.target not in stood or found.method.encode() not in stood:
            raise Found(f"original {asked!r}: {found!r}")


def reports(random: Random) -> None:
    """A body is reports within their bounds, or 400 or 413."""
    good = b'{"request":"b","status":0,"elapsed_ms":2.5,"units":1}\n'
    body = b"".join(random.choices([*PIECES, b"\n", good], k=random.randint(0, 6)))
    try:
        found = parse_reports(body)
    except Rejected as fault:
        if fault.status not in (400, 413):
            raise Found(f"reports {body!r}: {fault.status}") from None
        return
    if not all(r.status in (0, *range(100, 600)) and r.elapsed_ms >= 0 and r.units >= 0 for r in found):
        raise Found(f"reports {body!r}: {found}")


def tokens(random: Random) -> None:
    """An Authorization value gives a token of allowed characters, none, or BadCredentials."""
    given = value(random)
    try:
        token = bearer.parse_authorization(given)
    except bearer.BadCredentials:
        return
    if token is not None and (not token or any(c <= 32 or c > 126 or c in b'",\\' for c in token)):
        raise Found(f"bearer {given!r}: {token!r}")


def _read_all(parts: list[bytes]) -> tuple[list[tuple[str, bytes, Headers, bytes]], int]:
    """What a reader makes of bytes that come in these parts, and the status where it gives up."""
    reader = RequestReader(4096, 40, 4096)
    status = 0
    try:
        for part in parts:
            reader.feed(part)
    except Rejected as fault:
        status = fault.status
    return [(r.method, r.target, r.headers, r.body) for r in reader.ready], status


def messages(random: Random) -> None:
    """The same bytes are the same requests however they are split; values hold no CR, LF or NUL."""
    target = value(random).replace(b" ", b"")
    lines = [random.choice((b"GET", b"POST", b"get", b"")) + b" /" + target + b" HTTP/1.1"]
    lines += [
        random.choice(NAMES) + random.choice((b": ", b":", b" : ")) + value(random)
        for _ in range(random.randint(0, 6))
    ]
    lines.append(b"Host: a")
    data = b"\r\n".join(lines) + b"\r\n\r\n" + random.choice((b"", b"5\r\nhello\r\n0\r\n\r\n", b"hello"))
    whole, status = _read_all([data])
    cuts = sorted(random.sample(range(len(data) + 1), min(4, len(data))))
    split, split_status = _read_all([data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)])
    # bounds count what was fed, so a fault may come a part earlier; which requests were whole may not differ
    if whole != split or bool(status) != bool(split_status):
        raise Found(f"message {data!r}: {whole} {status}, in parts {cuts}: {split} {split_status}")
    for method, target, found, _ in whole:
        if any(c in target + b"".join(v for _, v in found) for c in b"\r\n\x00") or not method.isascii():
            raise Found(f"message {data!r}: {target!r} {found!r}")
    if status and not 400 <= status < 600:
        raise Found(f"message {data!r}: status {status}")


TARGETS: list[Callable[[Random], None]] = [addresses, tries, chains, originals, reports, tokens, messages]


def run(seed: int, rounds: int | None, seconds: float | None) -> tuple[int, list[str]]:
    """Rounds over all targets, by count or time; how many, and what was found (one for each target)."""
    until = time.monotonic() + seconds if seconds is not None else None
    found: dict[str, str] = {}
    done = 0
    while (rounds is None or done < rounds) and (until is None or time.monotonic() < until):
        for target in TARGETS:
            if target.__name__ in found:
                continue
            try:
                target(Random(f"{seed}/{done}/{target.__name__}"))
            except Found as find:
                found[target.__name__] = f"{target.__name__}, seed {seed}, round {done}: {find}"
            except Exception as error:
                found[target.__name__] = (
                    f"{target.__name__}, seed {seed}, round {done}: {type(error).__name__}: {error}"
                )
        done += 1
    return done, list(found.values())


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m fuzz.headers", description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    done, found = run(args.seed, None, args.seconds)
    print(f"{done} rounds of {len(TARGETS)} targets, {len(found)} finds")
    for line in found:
        print(line)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
