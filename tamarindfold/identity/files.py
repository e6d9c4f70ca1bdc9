"""The files beside a store: the registry's signing key, its public half, and the pepper of the hashes."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

PEPPER_BYTES = 32


def _beside(store: Path, kind: str) -> Path:
    return store.with_name(store.name + kind)


def private_path(store: Path) -> Path:
    """Where the signing key is; only the registry reads it."""
    return _beside(store, ".key")


def public_path(store: Path) -> Path:
    """Where its public half is; gateways need it."""
    return _beside(store, ".pub")


def pepper_path(store: Path) -> Path:
    """Where the pepper is; gateways and whoever issues keys need it."""
    return _beside(store, ".pepper")


def _write_new(path: Path, data: bytes, mode: int) -> None:
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode), "wb") as file:
        file.write(data)


def make_pair(store: Path) -> None:
    """Make a signing key and its public half; OSError where one is there already."""
    key = Ed25519PrivateKey.generate()
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    public = key.public_key().public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    _write_new(private_path(store), private, 0o600)
    _write_new(public_path(store), public, 0o644)


def make(store: Path) -> None:
    """Make all three; OSError where one is there already."""
    make_pair(store)
    _write_new(pepper_path(store), secrets.token_bytes(PEPPER_BYTES), 0o600)


def private_key(store: Path) -> Ed25519PrivateKey:
    """The signing key of a store; ValueError where the file holds none."""
    return signing_key(private_path(store))


def signing_key(path: Path) -> Ed25519PrivateKey:
    """A signing key; ValueError where the file holds none."""
    key = serialization.load_pem_private_key(path.read_bytes(), None)
    if not isinstance(key, Ed25519PrivateKey):
        raise ValueError(f"{path}: not an Ed25519 key")
    return key


def public_key(path: Path) -> Ed25519PublicKey:
    """A public key; ValueError where the file holds none."""
    key = serialization.load_pem_public_key(path.read_bytes())
    if not isinstance(key, Ed25519PublicKey):
        raise ValueError(f"{path}: not an Ed25519 key")
    return key


def pepper(path: Path) -> bytes:
    """The pepper; ValueError where the file is too short for one."""
    data = path.read_bytes()
    if len(data) < PEPPER_BYTES:
        raise ValueError(f"{path}: shorter than {PEPPER_BYTES} bytes")
    return data
