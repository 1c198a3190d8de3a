"""Benchmarks, run by `make bench`."""
