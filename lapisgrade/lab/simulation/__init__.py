"""Deterministic simulation of the control plane and the data plane.

The production code of the processes, including its I/O layer, runs in simulated time on one event loop, with
a network, disks and machines that fail. A run is reproducible from its seed. The approach is that of Zhou et
al., "FoundationDB: A Distributed Unbundled Transactional Key Value Store", 2021.
"""
