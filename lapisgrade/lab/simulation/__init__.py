"""Real processes of the control plane and the data plane, shells and all, in simulated time.

One event loop, a network, disks and machines that fail; a seed replays exactly. The approach is that of Zhou
et al., "FoundationDB: A Distributed Unbundled Transactional Key Value Store", 2021.
"""
