"""Errors for what operators, peers and later releases hand in to the gateway."""

from lapisgrade.errors import LapisgradeError


class InvalidInputError(LapisgradeError):
    """A file, call or message can't be accepted; the message says what is wrong with it and where."""


class SettingsError(InvalidInputError):
    """A settings file can't be read, or its content can't be accepted."""


class ConfigurationError(InvalidInputError):
    """A configuration, a change or a draft of one, or its encoded form, can't be accepted."""


class UnreadableLogError(LapisgradeError):
    """A controller's replicated log holds what this release can't read: a later release wrote it."""
