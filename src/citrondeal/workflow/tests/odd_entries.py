"""Entries that another writer leaves in the list of workers."""

import dataclasses
import random

from citrondeal import workflow

SHARE = 0.02  # of the ticks, with one entry each
HOURS_MS = 4 * 3_600_000
FAR_MS = 2**53 - 1
LARGE = workflow.Size(1_000_000, 1_000_000, 100)


def later(info):
    """Return an entry of an incarnation some hours ahead."""
    return dataclasses.replace(info, born_ms=info.born_ms + HOURS_MS)


def far(info):
    """Return an entry of the last possible incarnation, elsewhere."""
    return dataclasses.replace(
        info, born_ms=FAR_MS, address="nobody:1", capacity=LARGE
    )


def ahead(info):
    """Return an entry of the same incarnation with a clock far ahead."""
    return dataclasses.replace(
        info, clock_s=1e12, capacity=LARGE, draining=True
    )


class OddWriter:
    """Leaves entries under the ids of workers.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed):
        self._rng = random.Random(f"odd entries {seed}")

    def entries(self, workers):
        """Return the entries of one tick.

        Parameters
        ----------
        workers : iterable of SimulatedWorker

        Returns
        -------
        list of WorkerInfo
        """
        if self._rng.random() >= SHARE:
            return []
        kind = self._rng.choice((later, far, ahead))
        worker = self._rng.choice(list(workers))
        return [kind(worker.info())]
