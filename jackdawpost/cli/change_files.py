"""Reads change-set files, which operators write as JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field
from pydantic import JsonValue

from jackdawpost.core.messages.operator import Action
from jackdawpost.core.messages.operator import Operation
from jackdawpost.errors import ConfigError
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
    try:
        change_file = load_settings(path, ChangeFile)
    except ConfigError as exc:
        raise _hide_bodies(exc) from None
    return [
        Operation(
            action=item.action, type=item.type, name=item.name, body=item.body
        )
        for item in change_file.operations
    ]


def _hide_bodies(exc: ConfigError) -> ConfigError:
    """Return the error without values that may contain keys of tenants."""
    faults = [(exc.key, exc.value, exc.valid), *exc.more]
    (key, value, valid), *more = [
        (key, _hide_value(key, value), valid) for key, value, valid in faults
    ]
    return ConfigError(exc.path, key, value, valid, tuple(more))


def _hide_value(key: str, value: object) -> object:
    # An error of the whole file describes the problem in place of a value.
    # Values of the other fields of an operation are not in its body.
    field = key.rpartition('.')[2]
    if not key or value is None:
        return value
    if field in OperationModel.model_fields and isinstance(value, str):
        return value
    return f'({type(value).__name__})'
