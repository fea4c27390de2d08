"""One JSON object a line on standard error, through `logging`."""

import json
import logging
import sys


class _JsonFormatter(logging.Formatter):
    """Formats records with the fields that `event` attached."""

    def __init__(self, process, zone):
        super().__init__()
        self._fixed = {"process": process, "zone": zone}

    def format(self, record):
        line = {
            "time_unix": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
            **self._fixed,
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logging(process, zone, level):
    """Send structured logs of this process to standard error.

    Parameters
    ----------
    process : str
        Name of the process from its settings.
    zone : str
        Availability zone of the process.
    level : str
        Name of a `logging` level.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter(process, zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # The HTTP libraries log each connection at INFO and below.
    for name in ("httpcore", "uvicorn", "uvicorn.access"):
        logging.getLogger(name).setLevel(logging.WARNING)


def event(logger, level, message, **fields):
    """Log one event with named fields.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    level : int
        Level such as `logging.INFO`.
    message : str
        Constant text of the event.
    **fields
        Values such as ``request_id``, ``job``, ``kind`` or ``peer``.
    """
    if logger.isEnabledFor(level):
        logger.log(level, message, extra={"fields": fields})
