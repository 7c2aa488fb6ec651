"""A test bed of real processes with faults between them, and a checker of their behavior.

`lapisgrade lab fleet run SCENARIO` runs a scenario of the laboratory (docs/lab.md) with real processes on
loopback; docs/lab-fleet.md explains the figures. Never imported by `python -m lapisgrade`.
"""
