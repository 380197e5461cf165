"""Stand-ins that speak the platform's published protocol."""
