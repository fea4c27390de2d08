"""What the commands of ``citrondealctl`` share: servers, output, refusals."""

import dataclasses
import json as json_module
import shlex

import fire

from citrondeal.operators import _client

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3

SERVERS_VARIABLE = "CITRONDEAL_SERVERS"

#: Keeps fire from converting arguments such as ``007``.
TEXT_ARGUMENTS = fire.decorators.SetParseFn(str)


class CommandExit(Exception):
    """Ends a command with an exit status and a text for the operator."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status
        self.text = text


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command whose arguments have been understood."""

    _call: object
    _args: tuple


def make_command(function, *args):
    return Command(function, args)


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Servers, environment and output streams shared by all commands.

    Attributes
    ----------
    servers : tuple of str
        Base URLs, in the order in which they are asked.
    as_json : bool
        Whether to print the JSON body instead of a table or text.
    environ : dict
        Environment variables.
    sleep : callable
        ``sleep(seconds)``.
    exchange : callable
        Sends a request to one server, see `_client.exchange`.
    out, err : file
        Streams for results and for messages.
    """

    servers: tuple
    as_json: bool
    environ: dict
    sleep: object
    exchange: object
    out: object
    err: object

    def send(self, method, path, body=None):
        """Send to the servers in order, see `_client.send`."""
        servers = self.require_servers()
        return _client.send(servers, method, path, body, self.exchange)

    def send_to_one(self, server, method, path, body=None):
        """Send to one server only."""
        return _client.send([server], method, path, body, self.exchange)

    def require_servers(self):
        """Return the servers; exit with a usage error if none is given."""
        if not self.servers:
            text = "no server: give --server URL[,URL...] or set "
            raise CommandExit(EXIT_USAGE, text + SERVERS_VARIABLE)
        return self.servers

    def get_body(self, path, *fields):
        """Return the body of a GET; exit if it fails or lacks a field."""
        reply = self.send("GET", path)
        if reply.ok and all(reply.field(name) is not None for name in fields):
            return reply.body
        if reply.ok:
            text = f"{reply.server} is no operators' API of citrondeal"
            raise CommandExit(EXIT_REFUSED, f"{text}; check --server")
        if reply.status == 0 or reply.status >= 500:
            raise CommandExit(EXIT_REFUSED, no_answer_text(reply))
        raise CommandExit(EXIT_REFUSED, f"refused: {reply.message}")

    def print_table(self, body, header, rows):
        """Print the body as JSON or the rows as a table."""
        if self.as_json:
            print(json_module.dumps(body, indent=1), file=self.out)
            return
        lines = [header, *rows]
        widths = [
            max(len(str(line[column])) for line in lines)
            for column in range(len(header))
        ]
        for line in lines:
            cells = [
                str(cell).ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ]
            print("  ".join(cells).rstrip(), file=self.out)

    def print_result(self, body, text):
        """Print the body as JSON or one line of text."""
        if self.as_json:
            text = json_module.dumps(body, indent=1)
        print(text, file=self.out)


def no_answer_text(reply):
    lines = ["no server could answer; check --server and repeat"]
    lines += [f"  {attempt}" for attempt in reply.failed_attempts]
    return "\n".join(lines)


def is_final_refusal(reply):
    """Whether a refused edit is known not to take effect later.

    If one server may have appended the edit, a refusal by another is final
    only if it was read back from the log (it then has an offset and holds
    for all records with the same edit id) or is a conflict (the version of
    a branch never returns to the base, so that the appended record is
    rejected as well).
    """
    if reply.ok:
        # A success that this API does not return: another program answered.
        return False
    if not reply.maybe_executed:
        return True
    return reply.field("code") == "conflict" or (
        reply.field("offset") is not None
    )


def unknown_outcome_exit(session, reply, words):
    servers = ",".join(session.servers)
    line = shlex.join(["citrondealctl", "--server", servers, *words])
    lines = [
        "outcome unknown: the request may have taken effect; to find out, "
        "repeat it as follows, which cannot carry it out twice:",
        f"  {line}",
        *(f"  {attempt}" for attempt in reply.failed_attempts),
    ]
    return CommandExit(EXIT_UNKNOWN, "\n".join(lines))


def refusal_exit(reply):
    if reply.status in (0, 503):
        text = f"refused, nothing was changed: {no_answer_text(reply)}"
        return CommandExit(EXIT_REFUSED, text)
    return CommandExit(EXIT_REFUSED, f"refused: {reply.message}")


def parse_settings(settings):
    pairs = {}
    for text in settings:
        name, separator, value = text.partition("=")
        if not separator or not name:
            raise CommandExit(EXIT_USAGE, f"{text}: should be key=value")
        if name in pairs:
            raise CommandExit(EXIT_USAGE, f"{name} is given twice")
        pairs[name] = value
    return pairs
