"""Deletes the records of jobs that no next owner needs any more."""

import logging

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _records
from citrondeal import platform
from citrondeal import telemetry

# Each period costs a store call for each topic with jobs that ended in it.
DELETE_PERIOD_S = 8.0

_LOG = logging.getLogger(__name__)


async def run(store, scheduler):
    """Delete records until cancelled, so that the next recovery is short.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    scheduler : citrondeal.workflow.Scheduler
        Names the jobs, and is told which of them stay stored.
    """
    while True:
        await anyio.sleep(DELETE_PERIOD_S)
        scheduler.forget_expired_jobs(_clock.now())
        await delete_foreign_jobs(store, scheduler)
        await _delete_ended_jobs(store, scheduler)


async def delete_foreign_jobs(store, scheduler):
    """Delete submissions with the id of a job of another account.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    scheduler : citrondeal.workflow.Scheduler
    """
    for job, account in scheduler.take_foreign():
        key = _records.job_key(job, account)
        outcome = await store.append(
            _records.job_topic(key), [platform.Record(key, b"")]
        )
        if outcome.is_err():
            # It is found and deleted again by the next owner.
            telemetry.event(
                _LOG,
                logging.WARNING,
                "submission of another account is not deleted",
                job=job,
                reason=outcome.err_value.message,
            )


async def _delete_ended_jobs(store, scheduler):
    by_topic = {}
    for job in scheduler.take_droppable():
        topic = _records.job_topic(_records.job_key(job))
        by_topic.setdefault(topic, []).append(job)
    for topic, jobs in by_topic.items():
        await delete_jobs(store, scheduler, topic, jobs)


async def delete_jobs(store, scheduler, topic, jobs):
    """Delete the submissions and cancellations of ended jobs of one topic.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    scheduler : citrondeal.workflow.Scheduler
    topic : str
    jobs : list of str
        Ids of the jobs.
    """
    records = [
        platform.Record(key(job, scheduler.account_of(job)), b"")
        for job in jobs
        for key in (_records.job_key, _records.cancel_key)
    ]
    for group in _records.split(records):
        outcome = await store.append(topic, group)
        if outcome.is_err():
            break
    if outcome.is_err():
        # Tried again in the next period; deleting a key twice is harmless.
        scheduler.keep_submissions(jobs)
        telemetry.event(
            _LOG,
            logging.WARNING,
            "records of ended jobs are not deleted",
            count=len(jobs),
            reason=outcome.err_value.message,
        )
        return
    telemetry.event(
        _LOG,
        logging.INFO,
        "records of ended jobs are deleted",
        topic=topic,
        offset=outcome.ok_value,
        jobs=jobs,
    )
