"""The laboratory: load, and in time an emulator and reports. Nothing on the bench's path imports it."""
