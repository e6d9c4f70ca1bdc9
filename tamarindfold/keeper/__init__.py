"""The keeper process: one of the three or five replicas of the log that holds the fleet's settings."""
