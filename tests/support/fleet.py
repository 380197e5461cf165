"""Re-exports the helpers that run a small fleet as processes."""

from dandelionarch.measure.processes import (
    ALLOWANCES,
    CUSTOMER_KEY,
    DAEMON_SETTINGS,
    PLANS,
    SHARED_KEY,
    DaemonProcess,
    Fleet,
    free_ports,
)

__all__ = [
    "ALLOWANCES",
    "CUSTOMER_KEY",
    "DAEMON_SETTINGS",
    "PLANS",
    "SHARED_KEY",
    "DaemonProcess",
    "Fleet",
    "free_ports",
]
