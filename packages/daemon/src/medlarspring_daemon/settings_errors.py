"""Describes errors in settings: file, key, found and wanted value, and remedy."""

from __future__ import annotations

import difflib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, get_args

from pydantic import BaseModel

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from pydantic import ValidationError
    from pydantic.fields import FieldInfo
    from pydantic_core import ErrorDetails

MAX_FOUND_CHARACTERS = 60


@dataclass(frozen=True, slots=True)
class ExpectedValue:
    """Description of the values that a key accepts; annotates the key's type."""

    text: str


class SettingsError(MedlarspringError):
    """The settings are invalid; ``faults`` lists every error."""

    code = "settings"

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults)
        self.faults = faults

    def message(self) -> str:
        """Return one line per error: file, key, found, wanted and remedy."""
        return "\n".join(self.faults)


def describe_errors(
    path: Path, model: type[BaseModel], error: ValidationError
) -> list[str]:
    """Return one line for each error that the models found."""
    return [_describe_error(path, model, fault) for fault in error.errors()]


def check_token(token_file: Path) -> str | None:
    """Return a description of the error in a token file, or None if it is valid."""
    try:
        token = token_file.read_text(encoding="utf-8").strip()
    except OSError as error:
        return (
            f"found {str(token_file)!r}, which can't be read ({error.strerror}), wanted"
            " a file with one token; write the token there, readable by the daemon"
        )
    except UnicodeDecodeError:
        token = ""
    if not token or not token.isascii() or not token.isprintable():
        return (
            f"found {str(token_file)!r} without a token, wanted one line of printable"
            " ASCII; write the token there"
        )
    return None


def find_section(annotation: Any) -> type[BaseModel] | None:
    """Return the model of a section's field, required or optional, or None."""
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def describe_expected_value(field: FieldInfo) -> str:
    """Return a description of the values that a key accepts."""
    section = find_section(field.annotation)
    if section is not None:
        return f"a section with {', '.join(section.model_fields)}"
    texts = [item.text for item in field.metadata if isinstance(item, ExpectedValue)]
    return texts[0] if texts else "another value"


def _describe_error(path: Path, model: type[BaseModel], fault: ErrorDetails) -> str:
    keys = [key for key in fault["loc"] if isinstance(key, str)]
    place = f"{path}: {'.'.join(map(str, fault['loc']))}"
    if fault["type"] == "extra_forbidden":
        return f"{place}: {_describe_unknown(model, keys)}"
    field = _find_field(model, keys)
    wanted = describe_expected_value(field) if field is not None else "another value"
    if fault["type"] == "missing":
        remedy = f"add it under [{'.'.join(keys[:-1])}]" if keys[1:] else "add it"
        return f"{place}: found nothing, wanted {wanted}; {remedy}"
    found = repr(fault["input"])
    if len(found) > MAX_FOUND_CHARACTERS:
        found = f"{found[:MAX_FOUND_CHARACTERS]}..."
    return f"{place}: found {found}, wanted {wanted}; change the value"


def _describe_unknown(model: type[BaseModel], keys: Sequence[str]) -> str:
    known = _list_known(model, keys[:-1])
    close = difflib.get_close_matches(keys[-1], known, n=1)
    remedy = f"rename it to {close[0]}" if close else "remove it"
    return f"found an unknown key, wanted one of {', '.join(known)}; {remedy}"


def _list_known(model: type[BaseModel], keys: Sequence[str]) -> list[str]:
    for key in keys:
        section = find_section(model.model_fields[key].annotation)
        if section is None:
            return []
        model = section
    return list(model.model_fields)


def _find_field(model: type[BaseModel], keys: Sequence[str]) -> FieldInfo | None:
    field: FieldInfo | None = None
    for key in keys:
        field = model.model_fields.get(key)
        if field is None:
            return None
        model = find_section(field.annotation) or model
    return field


__all__ = [
    "SettingsError",
    "ExpectedValue",
    "check_token",
    "describe_errors",
    "describe_expected_value",
    "find_section",
]
