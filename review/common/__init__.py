"""Stand-ins and a small fleet of the project's daemons, shared by the cases."""
