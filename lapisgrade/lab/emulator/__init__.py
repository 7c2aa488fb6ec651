"""The emulator: servers, counter, discovery and clients in simulated time around the real decision module.

Discrete events on one queue (`sim`), models without I/O (`model`), the limiters' host (`gate`), the clients
(`clients`), the rules checked at every step (`rules`), what is measured (`metrics`), scenarios from TOML
(`scenario`) and the whole assembled (`world`). Same scenario and seed, same result.
"""
