"""Start, signal handling, graceful shutdown and resource usage of daemons."""

from citrondeal.lifecycle import _clock
from citrondeal.lifecycle import _process
from citrondeal.lifecycle import _usage

__all__ = [
    "Lifecycle",
    "UNREADY_DELAY_S",
    "boot_time_s",
    "run",
    "run_program",
    "usage",
]

Lifecycle = _process.Lifecycle
UNREADY_DELAY_S = _process.UNREADY_DELAY_S
boot_time_s = _clock.boot_time_s
run = _process.run
run_program = _process.run_program
usage = _usage.usage
