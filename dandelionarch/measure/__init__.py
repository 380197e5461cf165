"""Measurements behind docs/MEASUREMENTS.md."""
