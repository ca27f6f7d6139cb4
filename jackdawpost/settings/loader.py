"""Loader of settings files: JSON with comments, validated by pydantic."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TypeVar

import jsonc
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

from jackdawpost.errors import ConfigError

ModelT = TypeVar('ModelT', bound=BaseModel)


class SettingsModel(BaseModel):
    """Base class of all settings models: immutable, rejects unknown keys."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


def load_settings(path: str | Path, model: type[ModelT]) -> ModelT:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        File in JSON with comments.
    model : type
        Settings model to validate against.

    Returns
    -------
    BaseModel
        The validated settings.

    Raises
    ------
    ConfigError
        The file cannot be read or parsed, or values are invalid. The error
        names the file and, for each fault, the key, the value and what is
        accepted.
    """
    name = str(path)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError(
            name, '', str(exc), 'expected a readable UTF-8 file'
        ) from exc
    try:
        value = jsonc.loads(text)
    except ValueError as exc:
        raise ConfigError(
            name, '', str(exc), 'expected JSON, comments are allowed'
        ) from exc
    try:
        return model.model_validate_json(json.dumps(value))
    except ValidationError as exc:
        raise to_config_error(name, exc) from exc


def to_config_error(path: str, exc: ValidationError) -> ConfigError:
    """Convert the errors of a model to one error that names all of them."""
    faults: list[tuple[str, object, str]] = []
    for error in exc.errors(include_url=False):
        key = '.'.join(str(part) for part in error['loc'])
        value = None if error['type'] == 'missing' else error.get('input')
        faults.append((key, value, error['msg']))
    (key, value, accepted), *more = faults
    return ConfigError(path, key, value, accepted, tuple(more))
