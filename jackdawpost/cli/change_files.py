"""Reads change-set files, which operators write as JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field
from pydantic import JsonValue

from jackdawpost.core.messages.operator import Action
from jackdawpost.core.messages.operator import Operation
from jackdawpost.settings.loader import load_settings
from jackdawpost.settings.loader import SettingsModel


class OperationModel(SettingsModel):
    """One operation of a change-set file."""

    action: Action
    type: str
    name: str
    body: dict[str, JsonValue] = Field(default_factory=dict)


class ChangeFile(SettingsModel):
    """A change-set file: the operations of one change set."""

    operations: Annotated[list[OperationModel], Field(min_length=1)]


def load_change_file(path: str | Path) -> list[Operation]:
    """Read the operations of a change-set file.

    Parameters
    ----------
    path : str or Path
        Change-set file, JSON with comments.

    Returns
    -------
    list of Operation
        Operations in the order of the file. The control processes validate
        the objects.

    Raises
    ------
    ConfigError
        The file cannot be read or is not a valid change set.
    """
    return [
        Operation(
            action=item.action, type=item.type, name=item.name, body=item.body
        )
        for item in load_settings(path, ChangeFile).operations
    ]
