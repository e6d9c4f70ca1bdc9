"""Fuzzing by hand and, with a small budget, in CI: seeded, checked against other readers."""
