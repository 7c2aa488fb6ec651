"""Reports of emulated runs: plots by matplotlib, and a self-contained HTML page."""
