"""Steps for jobs of several client accounts that use the same id."""

import types

import anyio
from behave import then

from citrondeal.cell import _account_metrics
from citrondeal.cell import _deletions
from citrondeal.cell import _desk
from citrondeal.cell import _owner
from citrondeal.cell import _records
from citrondeal.cell.tests import doubles
from citrondeal.cell.tests import memory_store
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

JOB = "00000000000000aa"
TOPIC = _records.job_topic(_records.job_key(JOB))
LIMIT_S = 5.0


class _Cell:
    """Owners that follow each other on one store."""

    def __init__(self):
        self.store = memory_store.MemoryStore()
        self.epoch = 0

    def submit(self, account):
        """Store a submission of the job by an account."""
        submission = workflow.Submission(
            JOB,
            "",
            (workflow.Step(1, workflow.Size()),),
            workflow.Policy("queue", "service"),
            account=account,
        )
        key = _records.job_key(JOB, account)
        record = platform.Record(key, workflow.encode(submission))
        self.store.put(TOPIC, [record])

    def cancel(self, account):
        """Store a cancellation of the job by an account."""
        value = _records.encode(_records.Cancellation(account, "queue"))
        key = _records.cancel_key(JOB, account)
        self.store.put(TOPIC, [platform.Record(key, value)])

    def states(self, accounts=("first", "second", "")):
        """Return what a new owner says of the job to calls of accounts."""
        return anyio.run(self._states, accounts)

    async def _states(self, accounts):
        self.epoch += 1
        owner = _owner.Owner(
            self.store,
            None,
            self.epoch,
            doubles.Confirmation(),
            doubles.Settings(),
            doubles.Metrics(),
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(owner.run)
            with anyio.fail_after(LIMIT_S):
                while not owner.is_current:
                    await anyio.sleep(0.005)
            owner.scheduler.on_stored(*owner.scheduler.take_changes())
            await _deletions.delete_foreign_jobs(self.store, owner.scheduler)
            states = [_query(owner, account) for account in accounts]
            task_group.cancel_scope.cancel()
        return states


def _query(owner, account):
    requests = _desk.ClientRequests(
        None, None, None, lambda: owner, lambda: None, lambda: 0.0
    )
    query = ttypes.JobStateQuery(
        queue="other" if account else "public", job_id=JOB, account=account
    )
    return requests.answer_as_owner(query).state


@then("a cell owner hides a job from other accounts")
def _(context):
    context.cell = cell = _Cell()
    cell.submit("first")
    assert cell.states() == ["queued", "", ""]


@then("a cell owner ignores a cancellation by another account")
def _(context):
    cell = context.cell
    cell.cancel("second")
    cell.cancel("")
    # A call without a key counts if the queue of the job has become public.
    assert cell.states() == ["cancelled", "", ""]
    context.cell = cell = _Cell()
    cell.cancel("second")
    cell.submit("first")
    assert cell.states() == ["queued", "", ""]


@then("a cell owner deletes a submission of another account with the same id")
def _(context):
    cell = context.cell
    cell.submit("second")
    assert cell.states() == ["queued", "", ""]
    stored = {record.key for record in cell.store.newest(TOPIC)}
    assert _records.job_key(JOB, "first") in stored, stored
    assert _records.job_key(JOB, "second") not in stored, stored


@then("a cell owner hides an ended job from other accounts after a takeover")
def _(context):
    cell = context.cell
    ended = workflow.Progress(workflow.JobState.COMPLETED, account="first")
    cell.store.put(
        _records.STATE_TOPIC,
        [platform.Record(_records.job_key(JOB), workflow.encode(ended))],
    )
    cell.store.put(
        TOPIC, [platform.Record(_records.job_key(JOB, "first"), b"")]
    )
    assert cell.states() == ["completed", "", ""]


def _store_progress(cell, state, done=()):
    progress = workflow.Progress(state, done, account="first")
    record = platform.Record(_records.job_key(JOB), workflow.encode(progress))
    cell.store.put(_records.STATE_TOPIC, [record])


@then(
    "a cell next owner leaves a job to its account before another submission"
)
def _(context):
    ended = _Cell()
    ended.submit("second")
    _store_progress(ended, workflow.JobState.COMPLETED)
    assert ended.states() == ["completed", "", ""]
    sent_again = _Cell()
    sent_again.submit("second")
    sent_again.submit("first")
    _store_progress(sent_again, workflow.JobState.RUNNING, (b"\0",))
    assert sent_again.states() == ["running", "", ""]
    stored = {record.key for record in sent_again.store.newest(TOPIC)}
    assert _records.job_key(JOB, "first") in stored, stored
    assert _records.job_key(JOB, "second") not in stored, stored


@then("a cell owner stores whose job it is once another account uses its id")
def _(context):
    scheduler = workflow.Scheduler(workflow.Config(), 1)
    for account in ("first", "second"):
        submission = workflow.Submission(
            JOB,
            "",
            (workflow.Step(1, workflow.Size()),),
            workflow.Policy("queue", "service"),
            account=account,
        )
        scheduler.on_submission(submission, 0, 0.0)
    jobs, _, _ = scheduler.take_changes()
    assert jobs[JOB].account == "first", jobs


@then("a cell owner plans by the client accounts of the newest configuration")
def _(context):
    anyio.run(_change_accounts)


async def _change_accounts():
    versions = [None]
    owner = _owner.Owner(
        memory_store.MemoryStore(),
        None,
        1,
        doubles.Confirmation(),
        doubles.Settings(),
        doubles.Metrics(),
        lambda: versions[-1],
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(owner.run)
        with anyio.fail_after(LIMIT_S):
            while owner.scheduler is None:
                await anyio.sleep(0.005)
            quotas = owner.scheduler._state.quotas
            assert quotas.accounts == {}
            for cap in (1000, 2000):
                size = workflow.Size(cap)
                account = workflow.Account("first", 1.0, size)
                accounts = {"first": account}
                versions.append(platform.Catalog(cap, (), 0, accounts))
                while quotas.accounts != accounts:
                    await anyio.sleep(0.005)
        task_group.cancel_scope.cancel()


@then("cell metrics name the largest client accounts only")
def _(context):
    metrics = telemetry.Metrics("test")
    exported = _account_metrics.AccountMetrics(metrics)
    for second in range(3):
        rows = [
            types.SimpleNamespace(
                account=f"account-{second}-{index}",
                used=workflow.Size(1000),
                over_cap=True,
                over_quota=False,
                waits_for="cap",
            )
            for index in range(_account_metrics.MAX_NAMES)
        ]
        scheduler = types.SimpleNamespace(account_uses=lambda: rows)
        exported.update(scheduler, 100.0 + second)
    text = metrics.collect()
    assert "citrondeal.account.over_cap.time" in text
    assert "citrondeal.account.over_quota.time" not in text
    assert _account_metrics.OTHERS in text
    assert "account-1-49" in text and "account-2-0" not in text
