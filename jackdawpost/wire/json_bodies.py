"""Parses JSON bodies of requests with validated models."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated
from typing import TypeVar

from pydantic import BaseModel
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError

from jackdawpost.errors import DocumentError

MAX_QUOTED_CHARS = 80
MAX_NAME_CHARS = 255

Text = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
Word = Annotated[Text, Field(pattern=r'^[^\s\p{Cc}]+$')]
"""Text that is a field of a line: without blanks and line ends."""

ModelT = TypeVar('ModelT', bound=BaseModel)

_WORD_ADAPTER = TypeAdapter(Word)


def parse_json_body(
    model: type[ModelT], body: bytes, secret_fields: Collection[str] = ()
) -> ModelT:
    """Parse and validate a body.

    Parameters
    ----------
    model : type
        Model to validate against.
    body : bytes
        JSON document.
    secret_fields : collection of str
        Fields of the document that may contain secrets. Errors do not quote
        them.

    Raises
    ------
    DocumentError
        The body is not complete JSON, or values are missing or invalid.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as exc:
        # The exception holds the body, which must not get into a traceback.
        problems = [
            _describe_error(error['loc'], error['input'], error['msg'])
            if error['loc'] and error['loc'][0] not in secret_fields
            else (_format_path(error['loc']), error['msg'])
            for error in exc.errors(include_url=False)
        ]
        raise DocumentError(problems) from None


def validate_word(path: str, text: str) -> None:
    """Validate a word that is not part of a body.

    Parameters
    ----------
    path : str
        Name of the value, for the error.

    Raises
    ------
    DocumentError
        The text is empty, too long, or contains a blank or a line end.
    """
    try:
        _WORD_ADAPTER.validate_python(text)
    except ValidationError as exc:
        message = exc.errors(include_url=False)[0]['msg']
        raise DocumentError(
            [_describe_error((path,), text, message)]
        ) from None


def _describe_error(
    path: tuple[int | str, ...], value: object, message: str
) -> tuple[str, str]:
    # Lists and objects would hide the fault among their many values, and an
    # object that lacks a field is the input of the error that says so.
    if isinstance(value, str | int | float | None):
        message = f'{value!r:.{MAX_QUOTED_CHARS}}: {message}'
    return _format_path(path), message


def _format_path(path: tuple[int | str, ...]) -> str:
    return '.'.join(str(part) for part in path) or '(document)'
