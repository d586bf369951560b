"""Settings are validated: a program ends with exit code 2 and one line of error."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from demo.cells import ROOT
from papayapick.conf import SETTINGS, SettingInvalid, SettingMissing, Settings
from papayapick.conf.queries import read_sources, reference_page
from papayapick.conf.setting import GATEWAY, OPERATOR, PLACER
from papayapick.daemon import program as daemon_program
from papayapick.gateway import program as gateway_program
from papayapick.placer import program as placer_program

URL = "http://127.0.0.1:1"
USAGES = {GATEWAY: gateway_program.USAGE, PLACER: placer_program.USAGE}


@pytest.fixture
def environment(tmp_path):
    path = tmp_path / "file"
    path.write_text("text")
    values = {"text": "name", "url": URL, "file": str(path)}
    return {
        setting.variable: values[setting.kind]
        for setting in SETTINGS
        if setting.default is None
    }


@pytest.mark.parametrize("program", [GATEWAY, PLACER, OPERATOR])
def test_required_settings_and_defaults_are_sufficient(program, environment):
    settings = Settings.from_config(program, environment=environment)
    for setting in SETTINGS:
        if program in setting.programs and setting.default is not None:
            assert getattr(settings, setting.name) == setting.default


@pytest.mark.parametrize("program", [GATEWAY, PLACER])
def test_every_flag_is_in_the_usage_with_variable_and_reason(program):
    usage = USAGES[program]
    for setting in SETTINGS:
        is_read = program in setting.programs
        assert (f"  {setting.flag}=" in usage) is is_read, setting.name
        assert (f"{setting.variable})." in usage) is is_read, setting.name
        if is_read:
            assert setting.reason in usage


@pytest.mark.parametrize("setting", SETTINGS, ids=lambda setting: setting.name)
def test_missing_setting_is_reported_with_flag_and_variable(setting, environment):
    if setting.default is not None:
        assert setting.reason
        return
    del environment[setting.variable]
    with pytest.raises(SettingMissing) as caught:
        Settings.from_config(setting.programs[0], environment=environment)
    assert setting.flag in str(caught.value)
    assert setting.variable in str(caught.value)


BAD = {
    "text": [""],
    "integer": ["", "x", "1.5", "nan", "-1", "1e30", "99999999999"],
    "number": ["", "x", "nan", "inf", "-inf", "-1", "1e30"],
    "address": ["", "x", "1", ":80", "127.0.0.1:", "127.0.0.1:99999", "h:-1"],
    "file": ["", "/nowhere/file", "/"],
    "url": ["", "x", "ftp://host", "host:80", "http//x"],
    "choice": ["", "x", "INFO"],
}
BAD_ROWS = [
    (setting, given)
    for setting in SETTINGS
    for given in BAD[setting.kind]
    if (setting.kind, given) != ("choice", "info")
]


@pytest.mark.parametrize(
    ("setting", "given"),
    BAD_ROWS,
    ids=[f"{setting.name}={given}" for setting, given in BAD_ROWS],
)
def test_invalid_value_is_reported_on_one_line(setting, given, environment):
    environment[setting.variable] = given
    with pytest.raises(SettingInvalid) as caught:
        Settings.from_config(setting.programs[0], environment=environment)
    message = str(caught.value)
    assert message.startswith(f"{setting.flag}={given!r}: allowed is ")
    assert "hint: " in message
    assert "\n" not in message


def test_flag_takes_precedence_over_the_variable(environment):
    environment["PAPAYAPICK_POLL_SECONDS"] = "5"
    flags = {"--poll-seconds": "7"}
    assert Settings.from_config(GATEWAY, flags, environment).poll_seconds == 7


@pytest.mark.parametrize("program", [GATEWAY, PLACER])
@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--cell="], "settings.invalid"),
        ([], "settings.missing"),
        (["--no-such-flag"], "command.usage"),
    ],
)
def test_program_ends_with_code_2(program, arguments, code, capsys, monkeypatch):
    for setting in SETTINGS:
        monkeypatch.delenv(setting.variable, raising=False)
    with pytest.raises(SystemExit) as ended:
        daemon_program.read_settings(USAGES[program], program, arguments)
    assert ended.value.code == 2
    out, err = capsys.readouterr()
    assert out == ""
    assert err.startswith(code + ": ")


def test_real_process_ends_with_code_2():
    completed = subprocess.run(
        [sys.executable, "-m", "papayapick.placer.program", "--listen-peer=x"],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PAPAYAPICK_CELL": "c"},
    )
    assert (completed.returncode, completed.stdout) == (2, "")
    assert completed.stderr.count("\n") == 1


def test_each_value_has_its_source():
    environment = {
        "PAPAYAPICK_POLL_SECONDS": "2",
        "PAPAYAPICK_HTTP_THREADS": "many",
    }
    sources = {source.setting.name: source for source in read_sources(environment)}
    assert (sources["poll_seconds"].value, sources["poll_seconds"].source) == (
        2.0,
        "environment",
    )
    assert sources["http_threads"].source == "wrong"
    assert sources["http_threads"].value_or_default == 16
    assert sources["cell"].source == "missing"
    assert sources["grant_seconds"].source == "default"


def test_reference_page_is_up_to_date():
    page = Path(ROOT, "docs", "ref", "settings.md").read_text()
    assert page == reference_page()


def test_each_setting_has_a_reason_and_each_number_a_range():
    for setting in SETTINGS:
        assert setting.reason
        if setting.kind in ("integer", "number"):
            assert setting.minimum is not None
            assert setting.maximum is not None
