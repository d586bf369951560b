"""Read the settings file that the platform writes for each process."""

import os
import tomllib

from papayapick.platform.exceptions import PlatformSettingsInvalid

__all__ = ["PlatformSettings", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "PAPAYAPICK_CONFIG"


class PlatformSettings:
    """Hold what an entry host is told about itself and its surroundings.

    Addresses are ``IP:PORT``; times are in seconds.

    Parameters
    ----------
    found : dict
        The decoded file. Fields that are not known are ignored.
    metrics_port : int
        On the host's own address; 0 for none, also where the platform uses it.
    """

    __slots__ = (
        "advice_address",
        "cancel_seconds",
        "checkpoint_seconds",
        "frontend_address",
        "gang_seconds",
        "grace_seconds",
        "harm_seconds",
        "host_name",
        "kill_seconds",
        "lease_limit_seconds",
        "machines_address",
        "metrics_port",
        "peer_address",
        "processors",
        "readiness_address",
        "region",
        "status_seconds",
        "store_address",
        "upkeep_seconds",
        "zone",
    )

    def __init__(self, found, metrics_port=0):
        bounds = found["bounds"]
        listen = found["listen"]
        self.host_name = _text(found["node"])
        self.zone = _text(found["zone"])
        self.region = _text(found["region"])
        self.peer_address = (_text(found["ip"]), int(found["port_range"][0]))
        self.frontend_address = _address(listen["frontend"])
        self.readiness_address = _address(listen["readiness"])
        # The platform draws the other ports anew for each deployment: callers must not
        # be answered with metrics where it has drawn this one.
        drawn = (self.peer_address, self.frontend_address, self.readiness_address)
        is_drawn = metrics_port in [port for _, port in drawn]
        self.metrics_port = 0 if is_drawn else metrics_port
        self.store_address = _text(found["platform"]["address"])
        self.advice_address = _text(found.get("advice", ""))
        self.machines_address = _text(found.get("cloud_api", {}).get("address", ""))
        limits = found.get("limits", {})
        # A share of a core, and how fast that core is.
        self.processors = float(limits.get("cpu_share", 1)) * limits.get("cores", 1)
        self.grace_seconds = float(bounds["grace_s"])
        self.status_seconds = float(bounds["status_s"])
        self.lease_limit_seconds = bounds["hold_max_ms"] / 1000
        self.kill_seconds = bounds["kill_grace_ms"] / 1000
        self.gang_seconds = bounds["gang_timeout_ms"] / 1000
        self.cancel_seconds = bounds["cancel_ms"] / 1000
        self.checkpoint_seconds = float(bounds["checkpoint_s"])
        self.harm_seconds = bounds.get("harm_ms", 0) / 1000
        self.upkeep_seconds = float(bounds.get("upkeep_s", 0))

    @classmethod
    def from_config(cls, environment=None, metrics_port=0):
        """Read the file that the environment names.

        Raises
        ------
        PlatformSettingsInvalid
            Tells the field that is missing or of another type.
        """
        environment = os.environ if environment is None else environment
        path = environment.get(SETTINGS_VARIABLE, "")
        try:
            with open(path, "rb") as file:
                found = tomllib.load(file)
        except OSError as error:
            raise PlatformSettingsInvalid(path=path, reason=error.strerror) from error
        except ValueError as error:
            raise PlatformSettingsInvalid(path=path, reason=str(error)) from error
        try:
            return cls(found, metrics_port)
        except KeyError as error:
            reason = f"field {error.args[0]} is missing"
            raise PlatformSettingsInvalid(path=path, reason=reason) from error
        except (TypeError, ValueError, IndexError) as error:
            raise PlatformSettingsInvalid(path=path, reason=str(error)) from error


def _text(found):
    if not isinstance(found, str):
        raise ValueError(f"{found!r} is no text")
    return found


def _address(found):
    host, separator, port = _text(found).rpartition(":")
    if not separator:
        raise ValueError(f"{found!r} is no IP:PORT")
    return host, int(port)
