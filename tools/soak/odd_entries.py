"""Seeded series of odd entries from another writer of the list of runners."""

import time

import anyio

from citrondeal.cell.tests import processes
from citrondeal import platform

PAUSE_RANGE_S = (0.1, 1.5)  # between two entries
HOUR_MS = 3_600_000
LAST_INCARNATION = 2**53 - 1
DEPTH = 20_000
# Entries of workers that do not exist, of all entries.
UNKNOWN_SHARE = 0.2


class OddWriter:
    """Writes odd entries under the ids of live workers, and of none.

    Parameters
    ----------
    environment : tools.soak.environment.SoakEnvironment
    rng : random.Random

    Attributes
    ----------
    written : list of tuple of str and str
        Kind and worker of each entry, in order.
    """

    def __init__(self, environment, rng):
        self._environment = environment
        self._rng = rng
        self.written = []

    async def run(self, seconds):
        """Write entries for `seconds`."""
        end = anyio.current_time() + seconds
        while anyio.current_time() < end:
            kind = self._rng.choice(sorted(_KINDS))
            worker = self._choose_worker()
            self.written.append((kind, worker))
            await self._environment.append(
                platform.WORKERS_TOPIC, worker, _KINDS[kind](self._rng)
            )
            await anyio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    def _choose_worker(self):
        if self._rng.random() < UNKNOWN_SHARE:
            return f"none-{self._rng.randrange(100)}"
        return self._rng.choice(self._environment.worker_ids)


def _later(rng):
    born_ms = int(time.time() * 1000) + rng.randint(1, 24 * HOUR_MS)
    return processes.worker_entry(born=born_ms)


def _last(rng):
    return processes.worker_entry(born=LAST_INCARNATION, state="draining")


def _nested(rng):
    return b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


def _bad_host(rng):
    return processes.worker_entry(address="a..b:1")


def _bad_port(rng):
    return processes.worker_entry(address="127.0.0.1:99999")


def _huge(rng):
    return processes.worker_entry(capacity={"cpu": 2**63, "mem-mb": 1})


def _no_bytes(rng):
    return rng.randbytes(40)


_KINDS = {
    "bad host": _bad_host,
    "bad port": _bad_port,
    "huge": _huge,
    "last incarnation": _last,
    "later incarnation": _later,
    "nested": _nested,
    "no text": _no_bytes,
}
