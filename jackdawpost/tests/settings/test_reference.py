"""The settings page must match the settings models."""

from __future__ import annotations

from pathlib import Path

from jackdawpost.settings.reference import render_reference

PAGE = Path(__file__).parents[3] / 'docs' / 'settings.md'


def test_settings_page_is_up_to_date():
    assert PAGE.read_text() == render_reference()
