"""Lookup time in the prefix trie, compared with a linear scan of the networks."""

from __future__ import annotations

import argparse
import sys
import time
from ipaddress import IPv4Network
from pathlib import Path
from random import Random

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from tamarindfold.ds.prefixes import PrefixTrie

SIZES = (10, 1_000, 100_000)


def one_size(count: int) -> dict[str, float]:
    """Microseconds per lookup among this many networks, and their ratio. Checks that both find the same."""
    random = Random(count)
    networks: dict[IPv4Network, int] = {}
    while len(networks) < count:
        length = random.choice((8, 12, 16, 20, 24, 24, 24, 28, 32))
        networks[IPv4Network((random.getrandbits(32) >> (32 - length) << (32 - length), length))] = length
    trie: PrefixTrie[int] = PrefixTrie()
    for network, length in networks.items():
        trie.add(str(network), length)
    scan_list = [
        (int(n.network_address) >> (32 - n.prefixlen), 32 - n.prefixlen, n.prefixlen) for n in networks
    ]
    wanted = [random.getrandbits(32) for _ in range(20_000)]
    # IPv4-mapped IPv6 addresses, as the trie stores them
    mapped = [0xFFFF << 32 | address for address in wanted]
    started_at = time.perf_counter()
    found = [trie.find(address) for address in mapped]
    trie_us = (time.perf_counter() - started_at) / len(wanted) * 1e6
    scans = max(3, min(len(wanted), 2_000_000 // count))
    started_at = time.perf_counter()
    scanned = [
        max((length for bits, shift, length in scan_list if address >> shift == bits), default=None)
        for address in wanted[:scans]
    ]
    scan_us = (time.perf_counter() - started_at) / scans * 1e6
    assert scanned == found[:scans]
    return {"trie_us": round(trie_us, 2), "scan_us": round(scan_us, 2), "ratio": round(trie_us / scan_us, 5)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = {str(count): one_size(count) for count in SIZES}
    for count, figures in result.items():
        print(count, figures)
    if args.json:
        print(
            msgspec.json.encode(
                {"lookup_ratio_to_scan": {c: f["ratio"] for c, f in result.items()}, "sizes": result}
            ).decode()
        )


if __name__ == "__main__":
    main()
