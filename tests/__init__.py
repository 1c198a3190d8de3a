"""System tests with real processes, sockets and injected faults."""
