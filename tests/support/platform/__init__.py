"""Stand-ins that implement the platform's published protocol."""
