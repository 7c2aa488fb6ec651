"""Merging of configuration edits that were made on both sides of a partition. Pure."""
