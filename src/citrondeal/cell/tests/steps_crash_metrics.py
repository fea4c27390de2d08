"""Steps for the metrics of the crashes of workers."""

import json
import types

from behave import then

from citrondeal.cell import _scheduler_metrics
from citrondeal import telemetry


def _counters(metrics):
    data = json.loads(metrics.collect())
    return {
        metric["name"]: metric["data"]["data_points"][0]["value"]
        for resource in data["resource_metrics"]
        for scope in resource["scope_metrics"]
        for metric in scope["metrics"]
    }


@then("cell metrics show the crashes that two owners have counted")
def _(context):
    metrics = telemetry.Metrics("test")
    for crashes, given_up in ((3, 0), (2, 1)):
        exported = _scheduler_metrics.crash_metrics(metrics)
        for share in (0, 1, 1):
            counted = types.SimpleNamespace(
                worker_crashes=share * crashes, tasks_given_up=share * given_up
            )
            exported.update(counted)
    counters = _counters(metrics)
    assert counters["citrondeal.worker_crashes"] == 5, counters
    assert counters["citrondeal.tasks_given_up"] == 1, counters
