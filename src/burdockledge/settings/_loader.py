"""Builds settings models from flags and environment variables."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeVar

from absl import flags
from pydantic import ValidationError
from result import Err, Ok, Result

from burdockledge.settings._models import CommandSettings

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pydantic.fields import FieldInfo
    from pydantic_core import ErrorDetails

SettingsT = TypeVar('SettingsT', bound=CommandSettings)

_ENVIRONMENT_PREFIX: Final = 'BURDOCKLEDGE_'
_SECRET_NAME_PARTS: Final = ('key', 'secret')


@dataclass(frozen=True, slots=True)
class SettingsError:
    """One or more invalid settings, with a message for each."""

    messages: tuple[str, ...]

    def __str__(self) -> str:
        """Return one line for each invalid setting."""
        return '\n'.join(self.messages)


@dataclass(frozen=True, slots=True)
class SettingDescription:
    """What ``burdockledge settings`` prints about a setting."""

    flag: str
    environment: str
    default: str
    text: str


def environment_name(flag: str) -> str:
    """Return the name of the environment variable of a flag."""
    return _ENVIRONMENT_PREFIX + flag.upper()


def load_settings(
    model: type[SettingsT],
    argv: Sequence[str],
    environment: Mapping[str, str],
) -> Result[SettingsT, SettingsError]:
    """
    Read the settings of a model; a flag overrides its environment variable.

    :param argv: the name of the program, then its arguments.
    :return: the validated settings, or a message for each invalid one.
    """
    flag_values = _define_flags(model)
    try:
        positional = flag_values(tuple(argv), known_only=False)
    except flags.Error as error:
        return Err(SettingsError((f'{error}; see `settings` for all flags',)))
    values_by_name = _read_values(model, flag_values, environment)
    if model.arguments:
        values_by_name[model.arguments] = tuple(positional[1:])
    elif len(positional) > 1:
        return Err(SettingsError((f'unexpected argument {positional[1]!r}',)))
    try:
        return Ok(model(**values_by_name))
    except ValidationError as error:
        messages = tuple(_format_problem(problem) for problem in error.errors())
        return Err(SettingsError(messages))


def describe_settings(
    model: type[CommandSettings],
) -> tuple[SettingDescription, ...]:
    """Return a description of each setting, in order of definition."""
    return tuple(
        SettingDescription(
            flag=name if name == model.arguments else f'--{_flag(name, field)}',
            environment=''
            if name == model.arguments
            else environment_name(_flag(name, field)),
            default='required' if field.is_required() else str(field.default),
            text=field.description or '',
        )
        for name, field in model.model_fields.items()
    )


def _define_flags(model: type[CommandSettings]) -> flags.FlagValues:
    flag_values = flags.FlagValues()
    for name, field in model.model_fields.items():
        if name == model.arguments:
            continue
        if field.annotation is bool:
            flags.DEFINE_boolean(
                _flag(name, field),
                None,
                field.description or '',
                flag_values=flag_values,
            )
        else:
            flags.DEFINE_string(
                _flag(name, field),
                None,
                field.description or '',
                flag_values=flag_values,
            )
    return flag_values


def _flag(name: str, field: FieldInfo) -> str:
    """Return the alias of a field whose name pydantic does not allow."""
    return field.alias or name


def _read_values(
    model: type[CommandSettings],
    flag_values: flags.FlagValues,
    environment: Mapping[str, str],
) -> dict[str, object]:
    values_by_name: dict[str, object] = {}
    for name, field in model.model_fields.items():
        if name == model.arguments:
            continue
        flag = _flag(name, field)
        raw_value = flag_values[flag].value
        if raw_value is None:
            raw_value = environment.get(environment_name(flag))
        if raw_value is not None:
            values_by_name[flag] = raw_value
    return values_by_name


def _format_problem(problem: ErrorDetails) -> str:
    message = problem['msg']
    if not problem['loc']:
        return message.removeprefix('Value error, ')
    name = str(problem['loc'][0])
    hint = f'set --{name} or {environment_name(name)}'
    if problem['type'] == 'missing':
        return f'{name}: is required; {hint}'
    value_text = repr(problem['input'])
    if any(word in name for word in _SECRET_NAME_PARTS):
        value_text = 'the given value'
    return f'{name}: {value_text} is invalid ({message}); {hint}'


__all__ = (
    'SettingDescription',
    'SettingsError',
    'describe_settings',
    'environment_name',
    'load_settings',
)
