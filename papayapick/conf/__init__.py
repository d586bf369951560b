"""Settings with defaults, read from flags and environment variables."""

from papayapick.conf.defaults import SETTINGS
from papayapick.conf.exceptions import SettingInvalid, SettingMissing
from papayapick.conf.setting import Setting
from papayapick.conf.settings import Settings

__all__ = ["SETTINGS", "Setting", "SettingInvalid", "SettingMissing", "Settings"]
