"""Reading, checking and reporting of settings files."""

import configparser
import dataclasses
import difflib
import functools
import pathlib
import sys

from citrondeal.config import _settings
from citrondeal.config import _validation

EXIT_STATUS = 2
SAMPLES = pathlib.Path(__file__).parent / "samples"

# configparser copies the keys of its default section into every other one;
# no file can contain a section of this name, so [DEFAULT] is unknown.
_NO_DEFAULT_SECTION = "\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a settings file.

    Attributes
    ----------
    section, key : str or None
        Place of the fault; None where the file as a whole is unreadable.
    message : str
        What is wrong and, where known, what was probably meant.
    """

    section: str | None
    key: str | None
    message: str

    def __str__(self):
        place = ""
        if self.section is not None:
            place = f"[{self.section}]"
            place += f" {self.key}: " if self.key is not None else ": "
        return place + self.message


class ConfigError(Exception):
    """A settings file that cannot be used.

    Parameters
    ----------
    path : str
        The file.
    problems : list of Problem
        All faults found; at least one.
    """

    def __init__(self, path, problems):
        super().__init__(path, problems)
        self.path = path
        self.problems = problems

    def __str__(self):
        return "\n".join(f"{self.path}: {item}" for item in self.problems)


def load(cls, path):
    """Return an instance of `cls` made from the file at `path`.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    parser = _parse(str(path))
    shape = {
        section.name: [key.name for key in dataclasses.fields(section.type)]
        for section in dataclasses.fields(cls)
    }
    problems = _unknown(parser, shape)
    raw = {name: dict(parser[name]) for name in parser.sections()}
    known = {
        name: {key: raw[name][key] for key in raw.get(name, {}) if key in keys}
        for name, keys in shape.items()
    }
    config, found = _validation.build(cls, known)
    problems += [Problem(*item) for item in found]
    if config is not None:
        cross = _settings.cross_problems(config)
        problems += [Problem(*item) for item in cross]
    if problems:
        raise ConfigError(str(path), problems)
    return config


def check(path, program=None):
    """Validate a file without starting a program.

    Parameters
    ----------
    path : str
        INI file.
    program : {"gateway", "scheduler"}, optional
        Program that the file is for; without it, both are tried.

    Returns
    -------
    list of str
        Programs for which the file is valid.

    Raises
    ------
    ConfigError
        If it is valid for none; with the problems for the program that
        has fewest.
    """
    names = [program] if program else list(_settings.PROGRAMS)
    valid = []
    failures = []
    for name in names:
        try:
            load(_settings.PROGRAMS[name], path)
        except ConfigError as exc:
            failures.append(exc)
        else:
            valid.append(name)
    if not valid:
        raise min(failures, key=lambda exc: len(exc.problems))
    return valid


def main_guard(function):
    """Return an entry point that reports a `ConfigError` and exits with 2.

    Parameters
    ----------
    function : callable
        Entry point of a program.

    Returns
    -------
    callable
        Same arguments; prints the problems to standard error, one a line.

    Examples
    --------
    >>> main = main_guard(run_gateway)  # doctest: +SKIP
    """

    @functools.wraps(function)
    def guarded(*args, **kwargs):
        try:
            return function(*args, **kwargs)
        except ConfigError as exc:
            print(exc, file=sys.stderr)
            sys.exit(EXIT_STATUS)

    return guarded


def sample_path(program):
    """Return the path of the annotated sample file of a program.

    Parameters
    ----------
    program : {"gateway", "scheduler"}
        Name of the daemon without its prefix.

    Returns
    -------
    pathlib.Path
        File that lists every key.
    """
    return SAMPLES / f"{program}.ini"


def _parse(path):
    parser = configparser.ConfigParser(
        interpolation=None, default_section=_NO_DEFAULT_SECTION
    )
    # Keys are compared exactly, so that a wrong case is reported and not
    # accepted by one tool and refused by another.
    parser.optionxform = str
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8-sig")
        parser.read_string(text, source=path)
    except OSError as exc:
        problem = Problem(None, None, f"cannot be read: {exc.strerror}")
        raise ConfigError(path, [problem]) from exc
    except UnicodeDecodeError as exc:
        problem = Problem(None, None, "is not UTF-8")
        raise ConfigError(path, [problem]) from exc
    except configparser.DuplicateOptionError as exc:
        problem = Problem(
            exc.section, exc.option, f"set twice (line {exc.lineno})"
        )
        raise ConfigError(path, [problem]) from exc
    except configparser.DuplicateSectionError as exc:
        problem = Problem(
            exc.section, None, f"section appears twice (line {exc.lineno})"
        )
        raise ConfigError(path, [problem]) from exc
    except configparser.MissingSectionHeaderError as exc:
        problem = Problem(
            None, None, f"line {exc.lineno} comes before the first section"
        )
        raise ConfigError(path, [problem]) from exc
    except configparser.ParsingError as exc:
        problems = [
            Problem(None, None, f"line {number} is not `key = value`")
            for number, _ in exc.errors
        ]
        raise ConfigError(path, problems) from exc
    return parser


def _unknown(parser, shape):
    problems = []
    for section in parser.sections():
        if section not in shape:
            hint = _nearest(section, {name: f"[{name}]" for name in shape})
            problems.append(Problem(section, None, f"unknown section{hint}"))
            continue
        choices = {key: key for key in shape[section]}
        others = {
            key: f"{key} in [{name}]"
            for name, keys in shape.items()
            if name != section
            for key in keys
        }
        for key in parser[section]:
            if key not in choices:
                hint = _nearest(key, choices) or _nearest(key, others)
                problems.append(Problem(section, key, f"unknown key{hint}"))
    return problems


def _nearest(word, choices):
    """Return a hint to the most similar choice, or an empty string."""
    found = difflib.get_close_matches(word.lower(), list(choices), 1)
    return f"; did you mean {choices[found[0]]}?" if found else ""
