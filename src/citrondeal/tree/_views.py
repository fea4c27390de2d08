"""State of a node in the form that the operators' API returns."""

from citrondeal.tree import schema


def describe(tree, path, children):
    """Return the JSON-ready state of a node, see `Tree.describe`."""
    resolved = tree.effective_values(path)
    if resolved is None:
        return None
    return {
        "path": path,
        "kind": schema.kind_of(path).value,
        "exists": path in tree,
        "version": tree.branch_version(path),
        "tree_version": tree.version,
        "values": {
            name: {
                "value": item.value,
                "origin": item.origin,
                "version": item.version,
                "unit": schema.KEYS[name].unit,
            }
            for name, item in resolved.items()
        },
        "children": children,
    }
