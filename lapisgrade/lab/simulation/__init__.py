"""The control plane's real processes, shells and all, in simulated time: one event loop, a network, disks and
machines that fail. A seed replays exactly.

The way of Zhou et al., "FoundationDB: A Distributed Unbundled Transactional Key Value Store", 2021.
"""
