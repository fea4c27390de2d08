"""Checks of rules on what the runners have seen."""


def started_after_done(events):
    """Return the starts of tasks of which a run had ended ``done``.

    As in the rule TWICE, the end counts if it is taken note of then or later
    by ``seen-upto``, unless the lease of the runner lapsed between.
    """
    done = {}
    found = []
    for event in events:
        if event["event"] == "end" and event["how"] == "done":
            if _is_noted(event, events):
                done.setdefault(event["task"], event)
        elif event["event"] == "start" and event["task"] in done:
            end = done[event["task"]]
            found.append(
                f"{event['task']}: run {end['run']} ended done at"
                f" {end['at']:.3f} s on {end['runner']} (end {end['n']}),"
                f" run {event['run']} was started at {event['at']:.3f} s"
                f" on {event['runner']}"
            )
    return found


def _is_noted(end, events):
    for event in events:
        same = (event.get("runner"), event.get("life")) == (
            end["runner"],
            end["life"],
        )
        if not same or event["at"] < end["at"]:
            continue
        if event["event"] in ("lapse", "crash"):
            return False
        if event["event"] == "noted" and event["upto"] >= end["n"]:
            return True
    return False


def overlapping_runs(events):
    """Return the tasks of which two runs were going on at the same time."""
    live, found = {}, []
    for event in events:
        if event["event"] == "start":
            runs = live.setdefault(event["task"], {})
            runs[(event["runner"], event["run"])] = event
            if len(runs) > 1:
                places = ", ".join(
                    f"run {number} on {runner}" for runner, number in runs
                )
                found.append(
                    f"{event['task']} at {event['at']:.3f} s: {places}"
                )
        elif event["event"] == "end":
            runs = live.get(event["task"], {})
            runs.pop((event["runner"], event["run"]), None)
        elif event["event"] == "crash":
            for task, number in event["lost"]:
                live[task].pop((event["runner"], number), None)
    return found
