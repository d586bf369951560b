"""Read the settings file that the platform writes for each process."""

import os
import tomllib

from papayapick.platform.exceptions import PlatformSettingsInvalid

__all__ = ["PlatformSettings", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "PAPAYAPICK_CONFIG"

# Where the platform sets no limit.
_DESCRIPTOR_LIMIT = 4096
_BANDWIDTH_MBPS = 1000
_ROW_BYTES = 65_536


class PlatformSettings:
    """Hold the platform's settings of an entry host.

    Addresses are ``IP:PORT``; times are in seconds.

    Parameters
    ----------
    document : dict
        The decoded file. Unknown fields are ignored.
    metrics_port : int
        Port for metrics on the host's own address, or 0 for none. The attribute is also
        0 if the platform has assigned this port to another purpose.
    """

    __slots__ = (
        "advice_address",
        "bytes_per_second",
        "cancel_seconds",
        "checkpoint_seconds",
        "configuration_seconds",
        "frontend_address",
        "gang_seconds",
        "grace_seconds",
        "harm_seconds",
        "has_teams",
        "host_name",
        "kill_seconds",
        "lease_limit_seconds",
        "descriptor_limit",
        "expects_overload",
        "machines_address",
        "metrics_port",
        "peer_address",
        "processors",
        "rate_slack_jobs",
        "rate_window_seconds",
        "readiness_address",
        "region",
        "row_bytes",
        "status_seconds",
        "store_address",
        "upkeep_seconds",
        "zone",
    )

    def __init__(self, document, metrics_port=0):
        bounds = document["bounds"]
        listen = document["listen"]
        self.host_name = _text(document["node"])
        self.zone = _text(document["zone"])
        self.region = _text(document["region"])
        self.peer_address = (_text(document["ip"]), int(document["port_range"][0]))
        self.frontend_address = _address(listen["frontend"])
        self.readiness_address = _address(listen["readiness"])
        # The platform assigns the other ports anew for each deployment and may choose
        # the configured metrics port, where callers must not be answered with metrics.
        assigned = (self.peer_address, self.frontend_address, self.readiness_address)
        is_assigned = metrics_port in [port for _, port in assigned]
        self.metrics_port = 0 if is_assigned else metrics_port
        self.store_address = _text(document["platform"]["address"])
        # Of JSON that a row holds: the limit is one of the value as it is encoded.
        self.row_bytes = int(document["platform"].get("row_bytes", _ROW_BYTES)) * 3 // 4
        self.advice_address = _text(document.get("advice", ""))
        self.machines_address = _text(document.get("cloud_api", {}).get("address", ""))
        # Whether callers identify themselves by keys of teams.
        contracts = document.get("contracts", ())
        self.has_teams = "tenants" in contracts
        # Whether the operator expects more work at times than the pool has room for.
        self.expects_overload = "pressure" in contracts
        limits = document.get("limits", {})
        # The share of a core that the process may use, times the speed of that core.
        self.processors = float(limits.get("cpu_share", 1)) * limits.get("cores", 1)
        # Open sockets and files that the process may have.
        self.descriptor_limit = int(limits.get("max_fds", _DESCRIPTOR_LIMIT))
        # That the host's own link carries in each direction.
        bandwidth = float(limits.get("bandwidth_mbps") or _BANDWIDTH_MBPS)
        self.bytes_per_second = bandwidth * 1e6 / 8
        self.grace_seconds = float(bounds["grace_s"])
        self.status_seconds = float(bounds["status_s"])
        self.lease_limit_seconds = bounds["hold_max_ms"] / 1000
        self.kill_seconds = bounds["kill_grace_ms"] / 1000
        self.gang_seconds = bounds["gang_timeout_ms"] / 1000
        self.cancel_seconds = bounds["cancel_ms"] / 1000
        self.checkpoint_seconds = float(bounds["checkpoint_s"])
        # By which a new configuration is to be in force on every host.
        self.configuration_seconds = (bounds.get("config_apply_ms") or 4000) / 1000
        self.harm_seconds = bounds.get("harm_ms", 0) / 1000
        # Jobs of a team are within its rate if no more of them come in any window than
        # the rate allows, and the slack.
        self.rate_window_seconds = float(bounds.get("quota_window_s", 1))
        self.rate_slack_jobs = int(bounds.get("quota_slack", 0))
        self.upkeep_seconds = float(bounds.get("upkeep_s", 0))

    @classmethod
    def from_config(cls, environment=None, metrics_port=0):
        """Read the file named by the environment variable PAPAYAPICK_CONFIG.

        Raises
        ------
        PlatformSettingsInvalid
            The file is unreadable, or the field that the error names is missing or has
            a wrong type.
        """
        environment = os.environ if environment is None else environment
        path = environment.get(SETTINGS_VARIABLE, "")
        try:
            with open(path, "rb") as file:
                document = tomllib.load(file)
        except OSError as error:
            raise PlatformSettingsInvalid(path=path, reason=error.strerror) from error
        except ValueError as error:
            raise PlatformSettingsInvalid(path=path, reason=str(error)) from error
        return cls.from_document(document, path, metrics_port)

    @classmethod
    def from_document(cls, document, path, metrics_port=0):
        """Build the settings from a decoded file.

        Parameters
        ----------
        document : dict
        path : str
            Of the file, for errors.
        metrics_port : int, optional

        Raises
        ------
        PlatformSettingsInvalid
            See ``from_config``.
        """
        try:
            return cls(document, metrics_port)
        except KeyError as error:
            reason = f"field {error.args[0]} is missing"
            raise PlatformSettingsInvalid(path=path, reason=reason) from error
        except (
            AttributeError,
            IndexError,
            OverflowError,
            TypeError,
            ValueError,
        ) as error:
            raise PlatformSettingsInvalid(path=path, reason=str(error)) from error


def _text(value):
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _address(value):
    host, separator, port = _text(value).rpartition(":")
    if not separator:
        raise ValueError(f"{value!r} is not of the form IP:PORT")
    return host, int(port)
