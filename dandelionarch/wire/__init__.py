"""Encoding, framing and authentication of messages between daemons."""
