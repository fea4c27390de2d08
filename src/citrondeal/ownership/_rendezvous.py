"""Rendezvous hashing of members for a resource."""

import xxhash


def rendezvous_order(resource, names):
    """Return `names` sorted from the most to the least preferred holder.

    Parameters
    ----------
    resource : str
        Name of the resource.
    names : iterable of str
        Process names.

    Returns
    -------
    list of str
        Highest random weight first (Thaler and Ravishankar, 1998).

    Examples
    --------
    >>> sorted(rendezvous_order("endpoint/1", ["a", "b"]))
    ['a', 'b']
    """
    return sorted(names, key=lambda name: (-_weight(resource, name), name))


def _weight(resource, name):
    # JSON strings may contain lone surrogates, which strict UTF-8 rejects.
    text = f"{name}\0{resource}".encode("utf-8", "surrogatepass")
    return xxhash.xxh3_64_intdigest(text)
