"""A plainly correct ledger in one place, for cells without faults."""

import dataclasses


@dataclasses.dataclass
class _Id:
    """State of one id: idle, waiting, running or done."""

    state: str = "idle"
    places: set = dataclasses.field(default_factory=set)
    waiting: list = dataclasses.field(default_factory=list)
    newest: int = 0
    refused: int = 0
    settled: int = 0


class Central:
    """Knows everything at once; results are kind names by send."""

    def __init__(self):
        self.ids = {}
        self.results = {}

    def send(self, send, gateway):
        """Handle an attempt that arrives at a gateway."""
        known = self.ids.setdefault(send.request_id, _Id())
        newest = known.newest
        known.newest = max(newest, send.attempt)
        if known.state == "done":
            self.results[send] = "answer"
        elif known.state == "running" and gateway not in known.places:
            self.results[send] = "in_progress"
        elif known.state != "idle" and gateway in known.places:
            known.waiting.append(send)
            if send.attempt <= known.settled + 1:
                known.settled = max(known.settled, send.attempt)
        elif send.attempt == 1 < newest or send.attempt < known.refused:
            self.results[send] = "barred"
        else:
            top = max([s.attempt for s in known.waiting], default=0)
            newer = send.attempt > top
            self._end(known, "barred" if newer else "in_progress")
            known.state = "waiting"
            known.places = {gateway}
            known.waiting = [send]
            known.settled = send.attempt

    def forward(self, request_id, gateway):
        """The waiting request moves to the gateway of its endpoint."""
        self.ids[request_id].places.add(gateway)

    def start(self, request_id):
        """The first byte is sent to the endpoint."""
        self.ids[request_id].state = "running"

    def refuse(self, request_id, kind):
        """The waiting or running request did not run."""
        known = self.ids[request_id]
        top = max(s.attempt for s in known.waiting)
        # "Not run" would be wrong if an attempt in between, which is late,
        # ran after it.
        if top > known.settled:
            kind = "in_progress"
        else:
            known.refused = max(known.refused, top)
        known.state = "idle"
        self._end(known, kind)

    def answer(self, request_id):
        """The endpoint answered completely."""
        known = self.ids[request_id]
        known.state = "done"
        self._end(known, "answer")

    def _end(self, known, result):
        for send in known.waiting:
            self.results[send] = result
        known.waiting = []
        known.places = set()
