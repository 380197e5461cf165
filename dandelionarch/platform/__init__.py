"""Adapter to the users' platform: its names, formats and API calls."""
