"""Typed messages between daemons, one module per channel.

Each module lists its top-level message classes in `MESSAGES`. The wire codec maps a
class to the union field of the same name in the schema file of its channel, so the
names of classes and fields are part of the protocol.
"""
