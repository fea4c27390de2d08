"""Steps for the settings files."""

import configparser
import contextlib
import dataclasses
import io
import json
import operator
import pathlib
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from citrondeal import config

CLASSES = {
    "gateway": config.GatewayConfig,
    "scheduler": config.SchedulerConfig,
}
MINIMAL = """
[process]
name = one
zone = bkk-a
region = bkk
[listen]
http = 10.0.0.11:8090
peer = 10.0.0.11:8091
[platform]
log_url = http://10.0.0.5:8400
vms_url = http://10.0.0.5:8401/
"""


def _write(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "settings.ini"
    context.path.write_bytes(text.encode(errors="surrogateescape"))
    context.text_written = text


@given("config a minimal file")
def minimal_file(context):
    _write(context, MINIMAL)


@given("config a minimal file with a byte order mark")
def minimal_file_with_byte_order_mark(context):
    _write(context, "\ufeff" + MINIMAL.lstrip())


@given("config the file {content}")
def file_with(context, content):
    _write(context, json.loads(content))


@given('config "{line}" is added to "{section}"')
def add_line(context, line, section):
    name = line.partition("=")[0]
    lines = [
        text
        for text in context.text_written.splitlines()
        if not text.startswith(name)
    ]
    header = f"[{section}]"
    if header not in lines:
        lines.append(header)
    lines.insert(lines.index(header) + 1, line)
    _write(context, "\n".join(lines))


@when('config it is loaded for "{program}"')
def load(context, program):
    context.loaded = context.refusal = None
    try:
        context.loaded = CLASSES[program].from_file(context.path)
    except config.ConfigError as exc:
        context.refusal = exc


@then('config "{name}" is {value:g}')
def value_is(context, name, value):
    found = operator.attrgetter(name)(context.loaded)
    assert found == value, found


@then('config "{name}" prints as "{text}"')
def prints_as(context, name, text):
    found = str(operator.attrgetter(name)(context.loaded))
    assert found == text, found


@then('config it is refused for "{place}" with "{words}"')
def refused(context, place, words):
    assert context.refusal is not None, context.loaded
    lines = str(context.refusal).splitlines()
    prefix = f"{context.path}: {place}"
    found = [line for line in lines if line.startswith(prefix)]
    assert found, lines
    assert all(word in found[0] for word in words.split()), found


@then('config the sample of "{program}" loads with the defaults')
def sample_loads(context, program):
    found = CLASSES[program].from_file(config.sample_path(program))
    for section in dataclasses.fields(found):
        for key in dataclasses.fields(section.type):
            if key.default is not dataclasses.MISSING:
                value = getattr(getattr(found, section.name), key.name)
                assert value == key.default, (section.name, key.name)


@then('config the sample of "{program}" lists every key once')
def sample_is_complete(context, program):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(config.sample_path(program))
    listed = {name: set(parser[name]) for name in parser.sections()}
    known = {
        section.name: {key.name for key in dataclasses.fields(section.type)}
        for section in dataclasses.fields(CLASSES[program])
    }
    assert listed == known


@then('config the sample of "{program}" is valid for it alone')
def sample_is_for(context, program):
    assert config.check(config.sample_path(program)) == [program]


@then("config a program without its file exits with status 2 and the cause")
def missing_file(context):
    main = config.main_guard(config.GatewayConfig.from_file)
    err = io.StringIO()
    try:
        with contextlib.redirect_stderr(err):
            main("/nowhere/gateway.ini")
    except SystemExit as exc:
        assert exc.code == 2, exc.code
    else:
        raise AssertionError("no exit")
    assert "/nowhere/gateway.ini: cannot be read" in err.getvalue()


def _loaded_after(code):
    """Return the packages that are loaded in a new process after `code`."""
    code += "; import sys; print(*{n.split('.')[0] for n in sys.modules})"
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(done.stdout.split())


@then("config loading a file loads no validation library")
def no_validation_library_loaded(context):
    loaded = _loaded_after(
        "from citrondeal import config as c; "
        "c.GatewayConfig.from_file(c.sample_path('gateway'))"
    )
    libraries = {"pydantic", "pydantic_core", "msgspec"}
    assert not loaded & libraries, loaded


@then("config docs/settings.md has a row for every key")
def keys_are_documented(context):
    root = pathlib.Path(__file__).parents[4]
    rows = (root / "docs" / "settings.md").read_text().splitlines()
    for cls in CLASSES.values():
        for section in dataclasses.fields(cls):
            for key in dataclasses.fields(section.type):
                default = "required"
                if key.default is not dataclasses.MISSING:
                    default = f"`{key.default}`".replace(".0`", "`")
                start = f"| `[{section.name}]` | `{key.name}` | {default} |"
                found = [row for row in rows if row.startswith(start)]
                assert len(found) == 1, start
                assert key.metadata["meaning"] in found[0], found
