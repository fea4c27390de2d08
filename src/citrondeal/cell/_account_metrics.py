"""Metrics and log lines about client accounts."""

import logging

from citrondeal import telemetry

# Between two updates; each looks at all accounts with runs.
PERIOD_S = 1.0
# Accounts that are not among the largest ones are counted under this name. No
# account of a configuration has it.
OTHERS = "(others)"
MAX_NAMES = 50

_LOG = logging.getLogger(__name__)


class AccountMetrics:
    """Exports what the client accounts use under one owner.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._updated_at = None
        self._names = set()
        self._over_quota = set()

    def update(self, scheduler, now):
        """Add what was used since the last update, if it is due.

        Parameters
        ----------
        scheduler : citrondeal.workflow.Scheduler
        now : float
        """
        if self._updated_at is None:
            self._updated_at = now
        elapsed_s = now - self._updated_at
        if elapsed_s < PERIOD_S:
            return
        self._updated_at = now
        rows = scheduler.account_uses()
        for row in rows:
            self._count(row, elapsed_s)
        over_quota = {row.account for row in rows if row.over_quota}
        for row in rows:
            if row.account in over_quota - self._over_quota:
                self._log_over_quota(row)
        self._over_quota = over_quota

    def _count(self, row, elapsed_s):
        name = row.account
        if name not in self._names:
            if len(self._names) >= MAX_NAMES:
                name = OTHERS
            else:
                self._names.add(name)
        for metric, amount in (
            ("core_seconds", elapsed_s * row.used.millicores / 1000),
            ("over_cap.time", elapsed_s * row.over_cap),
            ("over_quota.time", elapsed_s * row.over_quota),
            ("waits_for_cap.time", elapsed_s * (row.waits_for == "cap")),
            ("waits_for_share.time", elapsed_s * (row.waits_for == "share")),
        ):
            if amount:
                self._metrics.count(
                    f"citrondeal.account.{metric}", amount, "s", account=name
                )

    def _log_over_quota(self, row):
        telemetry.event(
            _LOG,
            logging.WARNING,
            "account uses more than its quota",
            account=row.account,
            runs=row.runs,
            used_millicores=row.used.millicores,
            used_mb=row.used.memory_mb,
            used_accelerators=row.used.accelerators,
        )
