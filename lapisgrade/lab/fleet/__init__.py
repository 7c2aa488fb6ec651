"""A test bed of many real processes with faults between them, and a checker of what they did.

`lapisgrade lab fleet run SCENARIO` runs a scenario of the laboratory (docs/lab.md) with real processes on
loopback; docs/lab-fleet.md says what each figure means. Never imported by `python -m lapisgrade`.
"""
