"""The registry's credential table against a dict of objects, and the propagation time of commits.

Reports memory, lookup time, snapshot times and the longest stall of the event loop for each number of keys,
and how long it takes until a commit is in force on three followers.
"""

from __future__ import annotations

import argparse
import gc
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from random import Random
from typing import Any

import gevent
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from hdrh.histogram import HdrHistogram

sys.path.insert(0, str(Path(__file__).parent.parent))

from tamarindfold.identity import files
from tamarindfold.identity.driver import RegistryClient
from tamarindfold.identity.history import History
from tamarindfold.identity.model import AddCustomer, CredentialRow, DefinePlan, Issue, PlanFigures, SetPlan
from tamarindfold.identity.store import Store
from tamarindfold.identity.tables import Snapshot, Tables
from tamarindfold.identity.wire import decode_update, encode_update
from tamarindfold.ingress.clock import SteadyClock
from tamarindfold.registry.server import RegistryServer

BASE_CHANGES = [
    DefinePlan("small", PlanFigures(5, 10)),
    DefinePlan("large", PlanFigures(50, 100)),
    AddCustomer("anna", "small", 1),
]
LOOKUPS = 100_000


def key_hashes(count: int) -> list[int]:
    """Random key hashes, the same for the same count."""
    random = Random(count)
    return [random.getrandbits(64) for _ in range(count)]


def history_with_keys(count: int) -> History:
    history = History()
    for number, change in enumerate(BASE_CHANGES):
        history.extend(change, 0.0, number)
    for i, key_hash in enumerate(key_hashes(count)):
        history.extend(Issue(f"k{i}", "key", key_hash, i.to_bytes(16, "big"), "anna"), 0.0, i)
    return history


def allocated_bytes(make: Any) -> tuple[int, Any]:
    """The bytes that stay allocated after a call of `make`, and the object that it returned."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def credential_dict(count: int) -> dict[int, CredentialRow]:
    """The structure to compare with: a dict with one object per credential."""
    return {
        key_hash: CredentialRow(
            key_hash, f"k{i}", "key", i.to_bytes(16, "big"), 1, 1, 1e15 + i, float(i), 2e15 + i
        )
        for i, key_hash in enumerate(key_hashes(count))
    }


def lookup_ns(find: Any, wanted: list[int]) -> float:
    """Nanoseconds per lookup, the best of five rounds."""
    best = float("inf")
    for _ in range(5):
        started_at = time.perf_counter()
        for key_hash in wanted:
            find(key_hash)
        best = min(best, (time.perf_counter() - started_at) / len(wanted) * 1e9)
    return best


def stall_ms(envelope: bytes, key: Ed25519PublicKey) -> float:
    """The longest stall of the event loop while a snapshot is decoded and applied.

    It is decoded in a thread, as the driver does it.
    """
    longest = 0.0
    done = False

    def tick() -> None:
        nonlocal longest
        last = time.perf_counter()
        while not done:
            gevent.sleep(0.0005)
            now = time.perf_counter()
            longest, last = max(longest, now - last), now

    ticker = gevent.spawn(tick)
    gevent.sleep(0.01)
    body, _ = gevent.get_hub().threadpool.apply(decode_update, (envelope, key))
    Tables(body)
    gevent.sleep(0.01)
    done = True
    ticker.join()
    return longest * 1000


def one_size(count: int) -> dict[str, float]:
    key = Ed25519PrivateKey.generate()
    history = history_with_keys(count)
    envelope = encode_update(history.snapshot(), 0.0, key)
    started_at = time.perf_counter()
    body, _ = decode_update(envelope, key.public_key())
    decode_ms = (time.perf_counter() - started_at) * 1000
    assert isinstance(body, Snapshot)
    started_at = time.perf_counter()
    tables = Tables(body)
    apply_ms = (time.perf_counter() - started_at) * 1000
    table_bytes = sum(len(getattr(body.columns, c)) for c in body.columns.__slots__)
    dict_bytes, plain = allocated_bytes(lambda: credential_dict(count))
    wanted = Random(7).choices(key_hashes(count), k=LOOKUPS)
    table_ns, dict_ns = lookup_ns(tables.credential, wanted), lookup_ns(plain.get, wanted)
    row_ns = lookup_ns(tables.keys.find, wanted)
    history.extend(SetPlan("anna", "large", 1, 1.0), 0.0, 1)
    delta, _ = decode_update(
        encode_update(history.since(1, history.state.version - 1, history.chains[-2], False), 0.0, key),
        key.public_key(),
    )
    started_at = time.perf_counter()
    tables.apply(delta)  # type: ignore[arg-type]
    change_ms = (time.perf_counter() - started_at) * 1000
    return {
        "bytes_per_key": round(table_bytes / count, 1),
        "dict_bytes_per_key": round(dict_bytes / count, 1),
        "loop_stall_ms": round(stall_ms(envelope, key.public_key()), 1),
        "lookup_ns": round(table_ns),
        "dict_lookup_ns": round(dict_ns),
        "row_ns": round(row_ns),
        "lookup_ratio_to_dict": round(table_ns / dict_ns, 2),
        "snapshot_read_ms": round(decode_ms, 2),
        "snapshot_apply_ms": round(apply_ms, 3),
        "change_apply_ms": round(change_ms, 4),
        "envelope_mb": round(len(envelope) / 1e6, 1),
    }


def propagation(commits: int) -> dict[str, float]:
    """Percentiles of the time of a commit, and until it is in force on all of three followers over TCP."""
    clock = SteadyClock().now
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "r.db"
        files.create_all(path)
        store = Store(path, create=True)
        store.commit(BASE_CHANGES, 0.0)
        registry = RegistryServer(Store(path), files.private_key(path), "127.0.0.1", 0, lambda *_, **__: None)
        host, _, port = registry.start().rpartition(":")
        public, pepper = files.public_key(files.public_path(path)), files.pepper(files.pepper_path(path))
        followers = [
            RegistryClient(
                (host, int(port)),
                public,
                pepper,
                Path(folder) / f"{i}.bin",
                0,
                20_000,
                50,
                "",
                clock,
                lambda _: None,
                lambda *_, **__: None,
            )
            for i in range(3)
        ]
        for follower in followers:
            follower.start()
        in_force_us = HdrHistogram(1, 60_000_000, 3)
        commit_us = HdrHistogram(1, 60_000_000, 3)
        random = Random(1)
        while not all(f.version == store.history.state.version for f in followers):
            gevent.sleep(0.005)
        for i in range(commits):
            gevent.sleep(0.03 + 0.03 * random.random())
            started_at = time.perf_counter()
            version = store.commit([AddCustomer(f"c{i}", "small", 1)], float(i))
            commit_us.record_value(int((time.perf_counter() - started_at) * 1e6))
            while not all(f.version >= version for f in followers):
                gevent.sleep(0.0005)
            in_force_us.record_value(int((time.perf_counter() - started_at) * 1e6))
        for follower in followers:
            follower.stop()
        registry.stop()
        store.close()
    return {
        "commit_p50_ms": commit_us.get_value_at_percentile(50) / 1000,
        "in_force_p50_ms": in_force_us.get_value_at_percentile(50) / 1000,
        "in_force_p99_ms": in_force_us.get_value_at_percentile(99) / 1000,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="one JSON object on the last line")
    parser.add_argument("--sizes", default="10000,100000,1000000")
    parser.add_argument("--commits", type=int, default=200)
    args = parser.parse_args()
    result: dict[str, Any] = {}
    sizes = {}
    for count in map(int, args.sizes.split(",")):
        sizes[str(count)] = one_size(count)
        print(count, sizes[str(count)])
    for figure in ("bytes_per_key", "dict_bytes_per_key", "lookup_ratio_to_dict", "snapshot_apply_ms"):
        result[figure] = {count: figures[figure] for count, figures in sizes.items()}
    result |= {"sizes": sizes, "spread": propagation(args.commits)}
    print(result["spread"])
    if args.json:
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
