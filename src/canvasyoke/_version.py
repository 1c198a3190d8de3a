"""Program version and version of the protocol between processes."""

#: Program version, printed by ``canvasyoke version``.
VERSION = "0.1.0"

#: Version of the inter-process protocol; handshakes with a different version are rejected.
PROTOCOL_VERSION = 1
