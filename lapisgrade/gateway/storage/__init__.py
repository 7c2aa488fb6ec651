"""Storage on disk: the log of a consensus node, and drafts that are not in the replicated log yet."""
