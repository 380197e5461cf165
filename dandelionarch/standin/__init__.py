"""Stand-ins for the platform's log and for endpoints, for tests and the demo."""
