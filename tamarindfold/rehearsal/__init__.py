"""Runs a whole fleet as processes on one machine under load and faults, and judges the recorded run."""
