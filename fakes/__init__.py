"""Test doubles for the services around canvasyoke, with fault injection.

Used by tests, the demo and the benchmarks; not part of the distributed package.
"""
