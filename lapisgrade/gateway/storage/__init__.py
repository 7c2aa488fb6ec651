"""What is kept on disk: the log of a consensus node, and drafts that are not merged yet."""
