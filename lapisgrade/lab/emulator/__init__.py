"""The emulator: servers, counter, discovery and clients in simulated time around the real decision module.

The modules are the event queue (`sim`), models of servers and counter without I/O (`model`), the limiters
(`limiter`), the rules checked during a run (`rules`), the metrics (`metrics`), scenarios in TOML
(`scenario`), and the fleet with its clients (`world`). The same scenario and seed give the same result, but
for the fields that measure the emulator itself: `wall_s`, `events_per_s` and `peak_mb`.
"""
