"""Typed messages between daemons, one module per concern.

Each module lists its classes in `MESSAGES`; the wire codec maps a class to the
union field of the same name in the schema file of the concern.
"""
