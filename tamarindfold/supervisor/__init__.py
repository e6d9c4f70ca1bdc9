"""Keeps the programs of a fleet running on one machine: start order, readiness, bounded restarts."""
