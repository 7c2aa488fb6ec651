"""Edits made on both sides of a partition, and what they come to together. Pure."""
