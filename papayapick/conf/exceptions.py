"""Errors of the settings."""

from papayapick.exceptions import PapayapickError

__all__ = ["SettingInvalid", "SettingMissing", "SettingsError"]


class SettingsError(PapayapickError):
    """Base class of the errors of settings."""

    code = "settings.error"


class SettingInvalid(SettingsError):
    """Report a value that is not allowed."""

    code = "settings.invalid"
    template = "{flag}={given!r}: allowed is {allowed}; hint: {hint}"


class SettingMissing(SettingsError):
    """Report a required setting without a value."""

    code = "settings.missing"
    template = "{flag} is not set; hint: pass it or set {variable} ({hint})"
