"""Persistent TCP connections: one connection to one address, re-established after any loss."""
