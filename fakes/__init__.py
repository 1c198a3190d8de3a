"""Stand-ins for what canvasyoke meets: each a small process with faults on demand.

They are for tests, the demo and the bench only and are not part of the package.
"""
