"""Reference ledger: one table for all gateways of a cell without faults."""

import dataclasses


@dataclasses.dataclass
class _IdState:
    """State of one id; its phase is idle, waiting, running or done."""

    phase: str = "idle"
    gateways: set = dataclasses.field(default_factory=set)
    waiting: list = dataclasses.field(default_factory=list)
    newest_attempt: int = 0
    refused_attempt: int = 0
    settled_attempt: int = 0


class CentralLedger:
    """Table of all ids that every event reaches at once.

    `results` maps each send to ``answer`` or the name of an error kind.
    """

    def __init__(self):
        self.ids = {}
        self.results = {}

    def send(self, send, gateway):
        """Handle an attempt that arrives at a gateway."""
        state = self.ids.setdefault(send.request_id, _IdState())
        newest_attempt = state.newest_attempt
        state.newest_attempt = max(newest_attempt, send.attempt)
        if state.phase == "done":
            self.results[send] = "answer"
        elif state.phase == "running" and gateway not in state.gateways:
            self.results[send] = "in_progress"
        elif state.phase != "idle" and gateway in state.gateways:
            state.waiting.append(send)
            if send.attempt <= state.settled_attempt + 1:
                state.settled_attempt = max(
                    state.settled_attempt, send.attempt
                )
        elif (
            send.attempt == 1 < newest_attempt
            or send.attempt < state.refused_attempt
        ):
            self.results[send] = "barred"
        else:
            latest = max([s.attempt for s in state.waiting], default=0)
            newer = send.attempt > latest
            self._end(state, "barred" if newer else "in_progress")
            state.phase = "waiting"
            state.gateways = {gateway}
            state.waiting = [send]
            state.settled_attempt = send.attempt

    def forward(self, request_id, gateway):
        """Handle the forward of a waiting request to another gateway."""
        self.ids[request_id].gateways.add(gateway)

    def start(self, request_id):
        """Handle the dispatch of a request."""
        self.ids[request_id].phase = "running"

    def refuse(self, request_id, kind):
        """Handle a refusal of the request, or a dispatch that did not run."""
        state = self.ids[request_id]
        latest = max(s.attempt for s in state.waiting)
        # An attempt with a number in between that arrives later may still
        # run; "not run" would then be wrong.
        if latest > state.settled_attempt:
            kind = "in_progress"
        else:
            state.refused_attempt = max(state.refused_attempt, latest)
        state.phase = "idle"
        self._end(state, kind)

    def answer(self, request_id):
        """Handle the complete answer of the endpoint."""
        state = self.ids[request_id]
        state.phase = "done"
        self._end(state, "answer")

    def _end(self, state, result):
        for send in state.waiting:
            self.results[send] = result
        state.waiting = []
        state.gateways = set()
