"""The version of the program and of the protocol between its processes."""

#: Version of the program, as ``canvasyoke version`` prints it.
VERSION = "0.1.0"

#: Version of the messages between processes; a handshake with another is refused.
PROTOCOL_VERSION = 1
