"""Replicated settings: a Paxos log of versions and of the instances' roster, followed under leases."""
