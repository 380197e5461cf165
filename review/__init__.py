"""Independent review: cases that show faults, and the stand-ins they use."""
