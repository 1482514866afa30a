"""Read INI settings into a `NamedTuple` and report all errors of a file together."""

import os
import typing
from collections import abc

from pistachioshed.adapters import inifile
from pistachioshed.core import addresses

MIN_KEY_BYTES: typing.Final = 16
MAX_KEY_BYTES: typing.Final = 64

T = typing.TypeVar("T")
Parse = abc.Callable[[str], object]
Sections = dict[str, dict[str, str]]


class SettingError(ValueError):
    """A setting that is missing, unknown or not allowed; `problem` says which."""

    def __init__(self, path: str, section: str, key: str, problem: str) -> None:
        self.path = path
        self.section = section
        self.key = key
        self.problem = problem
        super().__init__(f"{path}: [{section}] {key}: {problem}")


FindFaults = abc.Callable[[Sections], abc.Iterable[SettingError]]


class Option(typing.NamedTuple):
    """One key of a section.

    `parse` converts text to a value and raises `ValueError` if it is not allowed.
    `allowed` describes the allowed values. `field` is the keyword under which the value
    is passed to `build`. A key whose `default` is None is required. The value of a
    `secret` is omitted from error messages.
    """

    section: str
    key: str
    field: str
    parse: Parse
    allowed: str
    default: str | None = None
    help: str = ""
    secret: bool = False


def read_settings(
    path: str | os.PathLike[str],
    options: abc.Sequence[Option],
    build: abc.Callable[..., T],
    free_sections: abc.Collection[str] = (),
    find_faults: FindFaults = lambda sections: (),
) -> T:
    """Read a settings file.

    Parameters
    ----------
    path : str or os.PathLike
        Path of the file.
    options : sequence of Option
        All keys that the file may contain, except those of free sections.
    build : callable
        Called with one keyword argument per option, and one dict of str to str per free
        section.
    free_sections : collection of str
        Sections whose keys are names chosen by the operators.
    find_faults : callable, optional
        Called with the free sections that are present; returns their errors.

    Returns
    -------
    object
        The result of `build`.

    Raises
    ------
    ExceptionGroup
        With one `SettingError` per error in the file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            sections = inifile.parse_sections(file.read())
    except (OSError, UnicodeDecodeError, inifile.IniError) as error:
        fault = SettingError(str(path), "*", "*", f"the file can not be read: {error}")
        raise ExceptionGroup("settings", [fault]) from error
    errors = list(_find_unknown_keys(str(path), sections, options, free_sections))
    values: dict[str, object] = {name: sections.get(name, {}) for name in free_sections}
    errors += find_faults(
        {name: sections[name] for name in free_sections if name in sections}
    )
    for option in options:
        text = sections.get(option.section, {}).get(option.key, option.default)
        if text is None:
            errors.append(_make_error(path, option, f"required: {option.allowed}"))
            continue
        try:
            values[option.field] = option.parse(text)
        except ValueError:
            shown = "the value" if option.secret else repr(text)
            errors.append(_make_error(path, option, f"{shown} is not allowed"))
    if errors:
        raise ExceptionGroup("settings", errors)
    return build(**values)


def describe_options(options: abc.Iterable[Option]) -> abc.Iterator[str]:
    """Yield one line of help text per key."""
    for option in options:
        default = "required" if option.default is None else f"default {option.default}"
        line = f"[{option.section}] {option.key}: {option.allowed} ({default})"
        yield f"{line}; {option.help}" if option.help else line


def _make_error(
    path: str | os.PathLike[str], option: Option, problem: str
) -> SettingError:
    message = problem
    if "required" not in problem:
        message = f"{problem}: {option.allowed}"
    return SettingError(str(path), option.section, option.key, message)


def _find_unknown_keys(
    path: str,
    sections: Sections,
    options: abc.Sequence[Option],
    free_sections: abc.Collection[str],
) -> abc.Iterator[SettingError]:
    known = {(option.section, option.key) for option in options}
    known_sections = {option.section for option in options}
    for section, keys in sections.items():
        if section in free_sections:
            continue
        if section not in known_sections:
            yield SettingError(path, section, "*", "unknown section")
            continue
        for key in keys:
            if (section, key) not in known:
                yield SettingError(path, section, key, "unknown key")


def parse_positive(text: str) -> float:
    """Return a finite number above 0."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value


def parse_count(text: str) -> int:
    """Return a whole number of 0 or more."""
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def parse_name(text: str) -> str:
    """Return a name of 1 to 63 printable characters without spaces."""
    if not 0 < len(text) <= 63 or not text.isprintable() or " " in text:
        raise ValueError(text)
    return text


def parse_flag(text: str) -> bool:
    """Return whether the text is "yes"; only "yes" and "no" are allowed."""
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


def parse_key(text: str) -> bytes:
    """Return a shared key of 16 to 64 bytes, given as hexadecimal digits."""
    key = bytes.fromhex(text)
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(text)
    return key


def parse_address_text(text: str) -> str:
    """Return the text unchanged if it is a valid "ip:port"."""
    addresses.parse_address(text)
    return text
