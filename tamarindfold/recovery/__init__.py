"""What an instance keeps across a restart: promises given, ceilings spent, work learnt (docs/recovery.md)."""
