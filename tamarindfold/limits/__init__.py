"""Limits that do not depend on the decision module's quotas, shared by both fronts."""
