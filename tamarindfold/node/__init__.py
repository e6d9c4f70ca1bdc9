"""The program that the platform runs as one of its ingresses."""
