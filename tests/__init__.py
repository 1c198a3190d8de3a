"""Tests of the whole system: real processes, real sockets, injected faults."""
