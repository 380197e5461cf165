"""Decision logic without I/O; callers pass in time and randomness."""
