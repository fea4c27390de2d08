"""Checks of the job table and its snapshots with random records."""

import json

import hypothesis
from hypothesis import strategies as st

from citrondeal import jobs

IDS = ("a", "b", "c")
TASKS = st.builds(
    "{}/{}/1.{}".format,
    st.sampled_from((*IDS, "")),
    st.integers(0, 3),
    st.integers(1, 6),
)
SUBMITS = st.builds(
    lambda *values: {
        "kind": "submit",
        "job": dict(
            zip(
                ("id", "kind", "tasks", "once", "max_restarts", "cores"),
                values,
                strict=True,
            )
        ),
    },
    st.sampled_from(IDS),
    st.sampled_from(["batch", "gang", "service", "other"]),
    st.sampled_from([1, 2, 3, 0, 1.5, "2"]),
    st.booleans(),
    st.sampled_from([None, 0, 1, 2]),
    st.sampled_from([1, 0.1, float("nan"), -1]),
)
ENTRIES = st.builds(
    lambda task, outcome, worker, fields: {
        "task": task,
        "outcome": outcome,
        "worker": worker,
        **fields,
    },
    TASKS,
    st.sampled_from(
        [
            "finished",
            "failed",
            "failed",
            "unknown",
            "other",
            "crashed",
            "crashed",
            "released",
        ]
    ),
    st.sampled_from(["w1", "w2", "w3", 4]),
    st.sampled_from(
        [
            {},
            {"alone": True, "ran_s": 1.0},
            {"alone": 1, "ran_s": "long", "unseen": True},
        ]
    ),
)
RECORDS = st.one_of(
    SUBMITS,
    SUBMITS,
    st.builds(
        lambda job: {"kind": "cancel", "job": job},
        st.sampled_from((*IDS, 7)),
    ),
    st.builds(
        lambda task, fields: {"kind": "intent", "task": task, **fields},
        TASKS,
        st.sampled_from(
            [
                {},
                {"worker": "w1", "boot_id": "b1"},
                {"worker": "w2", "boot_id": "b2"},
                {"worker": 4, "boot_id": "b2"},
            ]
        ),
    ),
    st.builds(
        lambda tasks: {"kind": "finished", "tasks": tasks},
        st.lists(ENTRIES, max_size=4),
    ),
    st.sampled_from([None, [], {}, {"kind": "finished"}, {"kind": []}]),
)
CONFIG = jobs.JobTableConfig(max_history=2)


def run(seed, max_examples, table_class=jobs.JobTable):
    """Check that a table restored from a snapshot equals the original.

    It has to stay equal while further records are applied to both.

    Parameters
    ----------
    seed : int
        Seed of the generated examples.
    max_examples : int
        Number of examples.
    table_class : type, optional
        The class under test.
    """

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=max_examples,
        database=None,
        deadline=None,
        derandomize=True,
        print_blob=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        st.lists(RECORDS, min_size=5, max_size=40), st.integers(0, 40)
    )
    def check(records, cut):
        job_table = table_class(CONFIG)
        restored = None
        for offset, record in enumerate(records):
            change = job_table.apply(offset, record)
            assert job_table.apply(offset, record) is None, (
                f"{record} at offset {offset} applied twice"
            )
            if restored is not None:
                assert restored.apply(offset, record) == change
            if offset == cut:
                text = json.dumps(job_table.snapshot())
                restored = table_class.from_snapshot(json.loads(text), CONFIG)
            if restored is not None:
                assert restored.snapshot() == job_table.snapshot()
                for job in IDS:
                    assert restored.status(job) == job_table.status(job)
            check_jobs(job_table)

    check()


def check_jobs(job_table):
    for job in job_table.open_jobs.values():
        assert not job.ended
        assert job.open_tasks == len(job.open_indices())
    assert job_table.dump()["history"] <= CONFIG.max_history
