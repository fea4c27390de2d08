"""Reading and validating settings files, and reporting their problems."""

import configparser
import dataclasses
import difflib
import functools
import pathlib
import sys

from citrondeal.config import _settings
from citrondeal.config import _validation

CONFIG_ERROR_EXIT_STATUS = 2
SAMPLES_FOLDER = pathlib.Path(__file__).parent / "samples"

# configparser copies the keys of its default section into every other
# section.  No file can contain a section with this name, so none has a
# default section and [DEFAULT] is reported as unknown.
_NO_DEFAULT_SECTION = "\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a settings file.

    Attributes
    ----------
    section, key : str or None
        Place of the problem; both None if it has no place in a section,
        such as a file that cannot be read, and `key` None if it concerns the
        section as a whole.
    message : str
        What is wrong and, for a misspelt name, the likely correction.
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
        Path of the file.
    problems : list of Problem
        All problems found; at least one.
    """

    def __init__(self, path, problems):
        super().__init__(path, problems)
        self.path = path
        self.problems = problems

    def __str__(self):
        return "\n".join(f"{self.path}: {item}" for item in self.problems)


def load(cls, path):
    """Return the settings of class `cls` read from a file.

    Parameters
    ----------
    cls : type
        Dataclass of a program's settings.
    path : str or os.PathLike
        INI file in UTF-8.

    Raises
    ------
    ConfigError
        With every problem found.
    """
    parser = _parse(str(path))
    keys_by_section = {
        section.name: [key.name for key in dataclasses.fields(section.type)]
        for section in dataclasses.fields(cls)
    }
    problems = _find_unknown_names(parser, keys_by_section)
    raw = {name: dict(parser[name]) for name in parser.sections()}
    known = {
        name: {key: raw[name][key] for key in raw.get(name, {}) if key in keys}
        for name, keys in keys_by_section.items()
    }
    config, found = _validation.build(cls, known)
    problems += [Problem(*item) for item in found]
    if config is not None:
        conflicts = _settings.find_conflicts(config)
        problems += [Problem(*item) for item in conflicts]
    if problems:
        raise ConfigError(str(path), problems)
    return config


def check(path, program=None):
    """Validate a settings file without starting a program.

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
        If the file is valid for none; contains the problems for the program
        with the fewest.
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
    """Wrap an entry point to report a `ConfigError` and exit with status 2.

    Parameters
    ----------
    function : callable
        Entry point of a program.

    Returns
    -------
    callable
        Takes the same arguments; prints the problems to standard error, one
        a line.

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
            sys.exit(CONFIG_ERROR_EXIT_STATUS)

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
    return SAMPLES_FOLDER / f"{program}.ini"


def _parse(path):
    parser = configparser.ConfigParser(
        interpolation=None, default_section=_NO_DEFAULT_SECTION
    )
    # Keys are case-sensitive, so that a key in the wrong case is reported
    # and not accepted by one tool and refused by another.
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


def _find_unknown_names(parser, keys_by_section):
    problems = []
    for section in parser.sections():
        if section not in keys_by_section:
            hint = _suggestion(
                section, {name: f"[{name}]" for name in keys_by_section}
            )
            problems.append(Problem(section, None, f"unknown section{hint}"))
            continue
        choices = {key: key for key in keys_by_section[section]}
        keys_elsewhere = {
            key: f"{key} in [{name}]"
            for name, keys in keys_by_section.items()
            if name != section
            for key in keys
        }
        for key in parser[section]:
            if key not in choices:
                hint = _suggestion(key, choices) or _suggestion(
                    key, keys_elsewhere
                )
                problems.append(Problem(section, key, f"unknown key{hint}"))
    return problems


def _suggestion(word, choices):
    """Return a suggestion of the most similar name, or an empty string."""
    found = difflib.get_close_matches(word.lower(), list(choices), 1)
    return f"; did you mean {choices[found[0]]}?" if found else ""
