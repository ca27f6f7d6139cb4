"""Errors of settings files name the file, key, value and what is accepted."""

from __future__ import annotations

from pathlib import Path

import jsonc
import pytest

from jackdawpost.errors import ConfigError
from jackdawpost.settings.loader import load_settings
from jackdawpost.settings.models import ControlSettings
from jackdawpost.settings.models import CtlSettings
from jackdawpost.settings.models import ProxySettings
from jackdawpost_standin.settings import StandinSettings

EXAMPLES = Path(__file__).parents[3] / 'examples'
VALID_SETTINGS = """{
  // comments are allowed
  "name": "control-0", "data_centre": "akureyri", "data_dir": "data",
  "listen": {"host": "127.0.0.1", "port": 7100},
  "peers": [{"name": "control-0", "host": "127.0.0.1", "port": 7100}]
  %s
}"""


def _load(tmp_path, text):
    path = tmp_path / 'control.json'
    path.write_text(text)
    return load_settings(path, ControlSettings)


def test_comments_are_allowed(tmp_path):
    assert _load(tmp_path, VALID_SETTINGS % '').name == 'control-0'


@pytest.mark.parametrize(
    ('key', 'extra'),
    [
        ('lease_ms', ', "lease_ms": 0'),
        ('lease_ms', ', "lease_ms": "1500"'),
        ('unknown', ', "unknown": 1'),
        ('listen.host', ', "listen": {"host": "localhost", "port": 1}'),
        ('listen.port', ', "listen": {"host": "::1", "port": 70000}'),
        ('', ', "lease_ms": 500'),
        ('', ', "election_max_ms": 100'),
        ('', ', "name": "control-9"'),
    ],
)
def test_error_names_the_key(tmp_path, key, extra):
    with pytest.raises(ConfigError) as caught:
        _load(tmp_path, VALID_SETTINGS % extra)
    assert caught.value.key == key
    assert 'control.json' in str(caught.value)


def test_error_names_every_invalid_key(tmp_path):
    # Guards against a program that reports one invalid key per start.
    extra = ', "lease_ms": 0, "unknown": 1'
    with pytest.raises(ConfigError) as caught:
        _load(tmp_path, VALID_SETTINGS % extra)
    assert 'lease_ms: 0: ' in str(caught.value)
    assert 'unknown: 1: ' in str(caught.value)


@pytest.mark.parametrize('text', ['', '{', '[1]', '{"name": }'])
def test_malformed_files_are_rejected(tmp_path, text):
    with pytest.raises(ConfigError):
        _load(tmp_path, text)


@pytest.mark.parametrize(
    'path', sorted(EXAMPLES.glob('*/*.json')), ids=lambda path: path.stem
)
def test_example_settings_are_valid(path):
    value = jsonc.loads(path.read_text())
    if 'operations' in value:
        return
    if 'operator' in value:
        model = CtlSettings
    elif 'peers' in value:
        model = ControlSettings
    else:
        model = StandinSettings if 'group' in value else ProxySettings
    load_settings(path, model)
