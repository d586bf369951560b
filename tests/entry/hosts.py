"""Create an entry host in memory that listens nowhere and uses a given HTTP pool."""

from papayapick.entry import process
from papayapick.entry.process import EntryHost
from papayapick.platform.settings import PlatformSettings

SETTINGS = {
    "node": "h1",
    "zone": "z1",
    "region": "south",
    "ip": "127.0.0.1",
    "port_range": [7000, 7000],
    "listen": {"frontend": "127.0.0.1:7001", "readiness": "127.0.0.1:7002"},
    "platform": {"address": "127.0.0.1:7003"},
    "bounds": {
        "grace_s": 3,
        "status_s": 120,
        "hold_max_ms": 6000,
        "kill_grace_ms": 200,
        "gang_timeout_ms": 3000,
        "cancel_ms": 3000,
        "checkpoint_s": 1,
    },
}


def make_host(monkeypatch, clock, pool):
    """Create a host that does not listen.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
    clock : Clock
    pool : object
        Replaces all HTTP pools of the host, including the one for the store.

    Returns
    -------
    EntryHost
    """
    monkeypatch.setattr(process, "HttpPool", lambda seconds, **options: pool)
    monkeypatch.setattr(process, "FrontendServer", lambda settings, application: None)
    return EntryHost(PlatformSettings(SETTINGS), clock)
