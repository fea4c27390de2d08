"""What a gateway reads from its queues to share requests with others."""


class Readings:
    """Numbers of queued requests and of those that could be served.

    Parameters
    ----------
    services : dict of str to ServiceState
        Services by name; the owner changes it.
    """

    def __init__(self, services):
        self._services = services

    def forwardable_classes(self, service, now):
        """Return classes with requests that may be forwarded.

        Returns
        -------
        list of tuple
            ``(request_class, expected_wait_s)``, most urgent first; the
            wait is that of a request that arrives now.
        """
        service_state = self._services[service]
        return [
            (class_state.name, service_state.class_wait_s(class_state, now))
            for class_state in service_state.classes
            if class_state.queue.direct_count
        ]

    def queued(self, service):
        """Return the number of queued requests of a service."""
        return sum(
            class_state.queue.count
            for class_state in self._services[service].classes
        )

    def spare_capacity(self, service, free, now):
        """Return how many more requests of each class would be served next.

        They would start in a free slot or get one that becomes free before
        the queued requests of other classes.

        Parameters
        ----------
        service : str
            Name of the service.
        free : int
            Free slots of this gateway.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to int
            By class: the free slots that the class may use, or the
            guaranteed slots that it does not hold, whichever is more, less
            its queued requests; at least 0.
        """
        service_state = self._services[service]
        capacity = {}
        for class_state in service_state.classes:
            usable = free
            if class_state is service_state.classes[-1]:
                usable -= service_state.reserved(now)
            guaranteed_free = (
                int(class_state.share * service_state.slots)
                - class_state.running
            )
            capacity[class_state.name] = (
                max(0, usable, guaranteed_free) - class_state.queue.count
            )
            capacity[class_state.name] = max(0, capacity[class_state.name])
        return capacity
