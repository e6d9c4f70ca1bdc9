"""The files next to a registry's store: signing key, public key, and the pepper of the key hashes."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

PEPPER_BYTES = 32


def _path_with_suffix(store: Path, suffix: str) -> Path:
    return store.with_name(store.name + suffix)


def private_path(store: Path) -> Path:
    """Return the path of the signing key, which only the registry reads."""
    return _path_with_suffix(store, ".key")


def public_path(store: Path) -> Path:
    """Return the path of the public key, which gateways need."""
    return _path_with_suffix(store, ".pub")


def pepper_path(store: Path) -> Path:
    """Return the path of the pepper, which gateways and the issuer of keys need."""
    return _path_with_suffix(store, ".pepper")


def _write_new(path: Path, data: bytes, mode: int) -> None:
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode), "wb") as file:
        file.write(data)


def create_key_pair(store: Path) -> None:
    """Create a signing key and its public key; OSError where one of the files exists."""
    key = Ed25519PrivateKey.generate()
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    public = key.public_key().public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    _write_new(private_path(store), private, 0o600)
    _write_new(public_path(store), public, 0o644)


def create_all(store: Path) -> None:
    """Create both keys and the pepper; OSError where one of the files exists."""
    create_key_pair(store)
    _write_new(pepper_path(store), secrets.token_bytes(PEPPER_BYTES), 0o600)


def private_key(store: Path) -> Ed25519PrivateKey:
    """Load the signing key of a store; ValueError where the file holds no Ed25519 key."""
    return signing_key(private_path(store))


def signing_key(path: Path) -> Ed25519PrivateKey:
    """Load a signing key; ValueError where the file holds no Ed25519 key."""
    key = serialization.load_pem_private_key(path.read_bytes(), None)
    if not isinstance(key, Ed25519PrivateKey):
        raise ValueError(f"{path}: not an Ed25519 key")
    return key


def public_key(path: Path) -> Ed25519PublicKey:
    """Load a public key; ValueError where the file holds no Ed25519 key."""
    key = serialization.load_pem_public_key(path.read_bytes())
    if not isinstance(key, Ed25519PublicKey):
        raise ValueError(f"{path}: not an Ed25519 key")
    return key


def pepper(path: Path) -> bytes:
    """Load the pepper; ValueError where the file is too short."""
    data = path.read_bytes()
    if len(data) < PEPPER_BYTES:
        raise ValueError(f"{path}: shorter than {PEPPER_BYTES} bytes")
    return data
