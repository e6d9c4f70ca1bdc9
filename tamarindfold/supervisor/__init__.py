"""Keeps the programs of a fleet running on one machine: order, readiness, restarts within limits."""
