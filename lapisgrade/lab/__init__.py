"""The laboratory: load, emulator, simulations and reports. Code that the bench runs doesn't import it."""
