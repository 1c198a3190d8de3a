"""Benchmarks and experiments: `make bench`."""
