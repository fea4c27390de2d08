"""Kinds of tasks, which are alike in what they need."""

# Names of images come from clients and may be long.
MAX_KIND_CHARS = 100


def kind_of(queue, image):
    """Return the kind of the tasks of a step.

    Parameters
    ----------
    queue : str
        Name of the queue.
    image : str
        See `Step.image`.
    """
    name = f"{queue} {image}" if image else queue
    return name[:MAX_KIND_CHARS]
