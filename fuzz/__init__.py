"""Reproducible fuzzers, checked against oracles; CI runs them for a short time."""
