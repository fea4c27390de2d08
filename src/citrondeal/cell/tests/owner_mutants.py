"""Changes of an owner, each of which breaks an invariant of its histories."""

import contextlib
from unittest import mock

import result

from citrondeal.cell import _job_topics
from citrondeal.cell import _writer
from citrondeal.cell.tests import paged_store
from citrondeal import platform
from citrondeal.workflow import _intake
from citrondeal.workflow import _persistence
from citrondeal.workflow import _recovery


@contextlib.contextmanager
def ends_acknowledged_with_the_next_write():
    """Acknowledge ends once they are about to be stored."""
    take = _persistence.Persistence.take_changes

    def take_changes(self):
        changes = take(self)
        self.on_stored({}, {}, changes[2])
        return changes

    with mock.patch.object(
        _persistence.Persistence, "take_changes", take_changes
    ):
        yield


@contextlib.contextmanager
def pages_taken_for_a_snapshot():
    """Read on from the end that the last page gives."""

    async def read_newest(self, topic):
        records, after = [], ""
        while True:
            outcome = await self.read_newest_page(topic, after)
            if outcome.is_err():
                return outcome
            page = outcome.ok_value
            records += page.records
            if not page.more:
                return result.Ok((page.end_offset, records))
            after = page.records[-1].key

    with mock.patch.object(platform.StoreClient, "read_newest", read_newest):
        yield


def progress_dropped_without_a_submission():
    """Forget ended jobs whose submissions are not stored any more."""
    return mock.patch.object(
        _recovery.Recovery, "restore_ended_job", lambda self, *args: None
    )


@contextlib.contextmanager
def loaded_jobs_not_recovered():
    """Take no job for one that an earlier owner may have started."""

    def deliver(self, index, records):
        self._on_records(records, False)

    with mock.patch.object(_job_topics.JobReader, "_deliver", deliver):
        yield


def barriers_ignored():
    """Go on behind the barrier of a later owner."""
    return mock.patch.object(
        _intake.Intake, "on_barrier", lambda self, epoch: None
    )


@contextlib.contextmanager
def progress_not_fenced():
    """Store progress without the epoch."""
    append = _writer.ProgressWriter._append

    async def unfenced(self, topic, records, producer):
        return await append(self, topic, records, None)

    with mock.patch.object(_writer.ProgressWriter, "_append", unfenced):
        yield


@contextlib.contextmanager
def claims_without_a_condition():
    """Claim an epoch that another member may have claimed, and write alike."""
    append = paged_store.Client.append

    async def unconditional(self, topic, records, at=None, producer=None):
        return await append(self, topic, records, None, producer)

    with (
        mock.patch.object(paged_store.Client, "append", unconditional),
        mock.patch.object(_writer, "MAX_FIRST_SEQUENCE", 1),
    ):
        yield
