"""Random jobs for simulations."""

from citrondeal import workflow


def draw(rng, job):
    """Return the `workflow.Submission` of a random job of up to three steps.

    Parameters
    ----------
    rng : random.Random
    job : str
        Id of the job.
    """
    steps = []
    for index in range(rng.randint(1, 3)):
        after = (index - 1,) if index and rng.random() < 0.7 else ()
        steps.append(
            workflow.Step(
                tasks=rng.randint(1, 5),
                size=workflow.Size(
                    rng.randint(500, 9000), 1000, rng.choice([0, 0, 1])
                ),
                estimate_s=1.0,
                after=after,
                gang=rng.random() < 0.3,
                spread=rng.choice([0, 0, 3]),
            )
        )
    policy = workflow.Policy(
        "queue",
        "service",
        priority=rng.randint(0, 2),
        max_attempts=rng.randint(2, 4),
        ticketed=rng.random() < 0.4,
        stretch=3.0,
    )
    return workflow.Submission(job, "", tuple(steps), policy)
