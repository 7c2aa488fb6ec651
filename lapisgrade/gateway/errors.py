"""Errors for invalid input from operators, peers and later releases."""

from lapisgrade.errors import LapisgradeError


class InvalidInputError(LapisgradeError):
    """A file, call or message is invalid; the error message names the fault and its place."""


class SettingsError(InvalidInputError):
    """A settings file can't be read, or its content is invalid."""


class ConfigurationError(InvalidInputError):
    """A configuration, a change or draft of one, or an encoded version is invalid."""


class OversizedVersionError(ConfigurationError):
    """A version of the configuration, encoded or not, is larger than the limit for it."""


class UnreadableLogError(LapisgradeError):
    """A controller's replicated log has an entry or a snapshot that this release can't decode or apply."""
