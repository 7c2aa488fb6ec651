"""Simulation of keyed operations: clients that repeat keys, servers that record runs, and a checker."""
