"""Demonstration of a small fleet on loopback under failures."""
