"""Limits beside the module's quotas, shared by both fronts (docs/forward-auth.md)."""
