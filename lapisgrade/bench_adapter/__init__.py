"""The bench's wire before the decisions. The wire's names end in this package."""
