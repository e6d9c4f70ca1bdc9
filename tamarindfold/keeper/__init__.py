"""The program that keeps the agreed log: one of three or five processes."""
