"""Randomized exploration of the system's I/O-free components in simulated time."""
