"""Replicated settings: a Paxos log of versions and roster changes, which instances follow under leases."""
