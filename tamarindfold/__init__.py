"""tamarindfold: an API gateway that keeps quotas and priorities across a fleet of instances."""

from tamarindfold.choice import Gateway
from tamarindfold.interface import Settings

__all__ = ["Gateway", "Settings"]
