"""The adapter for the operators' simulator and its binary protocol; uses the standard library only."""
