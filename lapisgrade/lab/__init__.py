"""The laboratory: load tool, emulator, simulations, explorations, fleets of processes, and reports.

The code that the bench runs doesn't import it.
"""
