"""Room of a gateway for queued requests, and which ones have to give way."""

from citrondeal.admission import _fair


class Room:
    """Units of queue space that the services of a gateway use.

    Parameters
    ----------
    limit : int
        Bound on the units of all services.
    """

    def __init__(self, limit):
        self._limit = limit
        self._units = 0
        self._sizes = _fair.SizeIndex()

    @property
    def units(self):
        """Units in use."""
        return self._units

    def account(self, service_state, entry, sign):
        """Count an entry that is queued (1) or leaves the queue (-1)."""
        service_state.units += sign * entry.units
        self._units += sign * entry.units
        self._sizes.set(entry.request.service, service_state.units)

    def largest_service(self):
        """Return the name of the service that uses the most units."""
        return self._sizes.largest()

    def units_to_free(self, service_state, entry, service_count):
        """Return the units that an entry lacks.

        Parameters
        ----------
        service_state : ServiceState
            Service of the entry.
        entry : Entry
            Entry to be queued.
        service_count : int
            Number of configured services.

        Returns
        -------
        needed : int
            Units to evict from the service of the entry.
        needed_from_others : int
            Units to evict from the largest services.
        """
        needed = max(
            0, service_state.units + entry.units - service_state.unit_limit
        )
        shortfall = self._units + entry.units - needed - self._limit
        if shortfall <= 0:
            return needed, 0
        service_units = service_state.units + entry.units - needed
        name = self._sizes.largest()
        if service_units * service_count <= self._limit or (
            name != entry.request.service
            and self._sizes.size(name) - service_units >= shortfall
        ):
            return needed, shortfall
        return needed + shortfall, 0


def classes_to_evict(service_state, class_state, entry, needed):
    """Return the classes to evict from, or None to refuse the entry.

    A class that stays within its share of the queue may evict from any
    class above its share, another class only from less urgent ones.
    Otherwise the team with the most queued units by weight in the class
    gives way to a team with fewer.
    """
    if needed <= 0:
        return []
    excess = {c.rank: service_state.excess(c) for c in service_state.classes}
    within = excess[class_state.rank] + entry.units <= 0
    classes = [
        c
        for c in service_state.classes
        if c is not class_state and (within or c.rank > class_state.rank)
    ]
    if sum(max(0, excess[c.rank]) for c in classes) >= needed:
        return classes
    team = class_state.queue.largest_team()
    if team is None:
        return None
    weight = entry.team.weight
    weighted_units = -(-(entry.team.units + entry.units) // weight)
    if team.units - weighted_units * team.weight >= needed:
        return [class_state]
    return None


def victim_of(service_state, classes):
    """Return the entry that gives way next.

    It is the newest one of the largest team in the class that exceeds its
    share of the queue most.
    """
    queued = [c for c in classes if c.queue.count]
    class_state = max(queued, key=service_state.excess)
    return class_state.queue.newest(class_state.queue.largest_team())
