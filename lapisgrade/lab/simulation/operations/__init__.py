"""Keyed operations in simulated time: clients that repeat keys, servers that record runs, and a checker."""
