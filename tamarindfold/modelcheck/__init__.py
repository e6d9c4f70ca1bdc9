"""Plays the objects that run through orders of events that no test would think of; checks what must hold."""
