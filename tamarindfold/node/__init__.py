"""The ingress program for the operators' platform."""
