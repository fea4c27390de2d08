"""Structured logs: `logging` records as JSON lines on standard output."""

import logging
import os
import sys

import msgspec

# Lines that a slow reader has not read yet; further lines are dropped and
# counted.
BACKLOG_BYTES = 256 * 1024

_ENCODE = msgspec.json.Encoder(enc_hook=str).encode


class _JsonFormatter(logging.Formatter):
    """Formats a record and the fields attached by `event` as JSON."""

    def __init__(self, process, zone):
        super().__init__()
        self._process_fields = {"process": process, "zone": zone}

    def format(self, record):
        line = {
            "time_unix": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
            **self._process_fields,
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return _ENCODE(line).decode()


class LineHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is set to non-blocking mode.
    backlog_bytes : int, optional
        Largest number of bytes buffered for a slow reader.
    """

    def __init__(self, descriptor, backlog_bytes=BACKLOG_BYTES):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_backlog_bytes = backlog_bytes
        self._backlog = bytearray()
        self._dropped_lines = 0

    @property
    def dropped(self):
        """Number of lines dropped so far because the backlog was full."""
        return self._dropped_lines

    def emit(self, record):
        """Write a line; buffer it, or drop it, if the reader is slow."""
        line = self.format(record).encode() + b"\n"
        if len(self._backlog) + len(line) > self._max_backlog_bytes:
            self._flush_backlog()
        if len(self._backlog) + len(line) > self._max_backlog_bytes:
            self._dropped_lines += 1
            return
        self._backlog += line
        self._flush_backlog()

    def _flush_backlog(self):
        try:
            written = os.write(self._descriptor, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the lines can no longer be delivered.
            self._backlog.clear()
            return
        del self._backlog[:written]


def configure_logging(process, zone, level):
    """Send structured logs of this process to standard output.

    Parameters
    ----------
    process : str
        Name of the process from its settings.
    zone : str
        Availability zone of the process.
    level : str
        Name of a `logging` level.
    """
    handler = LineHandler(sys.stdout.fileno())
    handler.setFormatter(_JsonFormatter(process, zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # These HTTP libraries log each connection at INFO and below.
    for name in ("httpcore", "uvicorn", "uvicorn.access"):
        logging.getLogger(name).setLevel(logging.WARNING)


def event(logger, level, message, **fields):
    """Log one event with named fields, if its level is enabled.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    level : int
        Level such as `logging.INFO`.
    message : str
        Constant text of the event.
    **fields
        Values of the event, such as ``request_id``, ``job``, ``kind`` or
        ``peer``.
    """
    if logger.isEnabledFor(level):
        logger.log(level, message, extra={"fields": fields})
