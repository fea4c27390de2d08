"""Simulation of processes that share a log, in virtual time.

Their clocks run at different rates.  A `Simulation` holds the state of the
log, of the processes and of the messages between them.
"""

import dataclasses

from citrondeal import ownership
from citrondeal import replay

STEP_S = 0.25
# The largest ratio of these clock rates is just below the allowed 1.05.
RATES = (0.9760, 1.0245, 1.0)
CONFIG = ownership.Config(outage_limit_s=20.0, rebalance_after_s=4.0)
RESOURCES = ("r0", "r1", "r2")
# One wait for the outage limit (20 s here, an hour by default) on drifting
# clocks, and 12 s for claims, their stagger and promises.
RECOVERY_LIMIT_S = 20.0 * 1.05 * 1.05 + 12.0


class Log:
    """Append-only list of records, of which old ones are deleted."""

    def __init__(self, on_append):
        self.first = 0
        self.records = []
        self.down = False
        self.on_append = on_append

    @property
    def next(self):
        return self.first + len(self.records)

    def append(self, record):
        self.records.append(record)
        self.on_append(self.next - 1, record)

    def read(self, start, limit=50):
        at = max(0, start - self.first)
        found = self.records[at : at + limit]
        at += self.first
        return [(at + i, record) for i, record in enumerate(found)]

    def last_of(self, incarnation):
        for record in reversed(self.records):
            if type(record) is dict:
                if record.get("incarnation") == incarnation:
                    return record
        return {}

    def retain(self, count):
        deleted = max(0, len(self.records) - count)
        self.first += deleted
        del self.records[:deleted]


@dataclasses.dataclass
class Process:
    """One incarnation of a process, and the faults that affect it.

    `reads` and `appends` tell whether it reaches the log, `delay_s` delays
    its messages to peers, and `batch` is the number of records in a read.
    """

    name: str
    incarnation: str
    address: str
    rate: float
    started_at: float
    group: object = None
    follower: object = None
    alive: bool = True
    paused: bool = False
    reads: bool = True
    appends: bool = True
    postpones_appends: bool = False
    batch: int = 50
    delay_s: float = 0.0
    actions: list = dataclasses.field(default_factory=list)

    def clock(self, time_s):
        return 1000.0 + self.rate * time_s


class Simulation:
    """Runs processes and checks at each step for two valid holders."""

    def __init__(
        self,
        count,
        group_class=ownership.LeaseGroup,
        config=CONFIG,
        table_class=ownership.LeaseTable,
    ):
        self.time_s = 0.0
        self.log = Log(self._on_append)
        self.table = table_class("gateway")
        self.config = config
        self.group_class = group_class
        self.processes = []
        self.postponed_appends = []
        self.messages = []
        self.cut_links = set()
        # resource -> {incarnation: time at which it was last seen valid}
        self.last_valid_at = {name: {} for name in RESOURCES}
        self.gain_count = 0
        for index in range(count):
            self.start("abcd"[index], "abcd"[index] + ":1", index)

    # Operations.

    def start(self, name, address, rate_index=0):
        number = len(self.processes)
        process = Process(
            name,
            f"i{number}",
            address,
            RATES[rate_index % len(RATES)],
            self.time_s,
        )
        process.group = self.group_class(
            "z", "gateway", name, process.incarnation, address, self.config
        )
        process.follower = replay.Follower(
            lambda offset, payload: process.actions.extend(
                process.group.on_record(
                    offset, payload, process.clock(self.time_s)
                )
            ),
            lambda state: self._load(process, state),
            replay.SnapshotPolicy(
                record_limit=30, retry_s=2.0, delay_s=0.1 * number
            ),
            ownership.snapshot_reader("gateway"),
        )
        self.processes.append(process)
        process.group.set_wanted(RESOURCES, process.clock(self.time_s))
        return process

    def _load(self, process, state):
        is_loaded, actions = process.group.load(
            state, process.clock(self.time_s)
        )
        process.actions.extend(actions)
        return is_loaded

    def alive_processes(self):
        return [p for p in self.processes if p.alive]

    def kill(self, process):
        process.alive = False

    def restart(self, process):
        """Start another incarnation at the same address."""
        process.alive = False
        return self.start(process.name, process.address, process.rate > 1)

    def replace(self, process, is_dead):
        """Start a process of the same name at another address."""
        process.alive = process.alive and not is_dead
        address = f"{process.name}:{len(self.processes)}"
        return self.start(process.name, address, 1)

    def release(self, process, resource):
        now = process.clock(self.time_s)
        process.actions += process.group.release(resource, now)
        self._perform(process)

    def append_postponed(self, index, times=1):
        record = self.postponed_appends.pop(
            index % len(self.postponed_appends)
        )
        for _ in range(times):
            self.log.append(record)

    def retain(self, count):
        """Delete old records if a running process has the whole state."""
        for process in self.alive_processes():
            if (
                process.follower.complete
                and process.follower.position == self.log.next
                and not process.paused
            ):
                self.log.retain(count)
                return

    # Time.

    def advance(self, seconds):
        end = self.time_s + seconds
        while self.time_s < end:
            self.time_s = min(end, self.time_s + STEP_S)
            self._deliver()
            for process in self.alive_processes():
                if not process.paused:
                    self.run(process)
            self.check()

    def run(self, process):
        """Read the log up to its end, if possible, and tick once."""
        group, follower = process.group, process.follower
        now = process.clock(self.time_s)
        if process.reads and not self.log.down:
            for _ in range(100 if process.batch > 1 else 1):
                records = self.log.read(follower.position, process.batch)
                follower.on_batch(self.log.first, self.log.next, records, now)
                if follower.at_tail:
                    break
            if follower.at_tail:
                process.actions += group.on_log_end_read(
                    now, follower.complete
                )
        else:
            follower.on_read_failed(now)
            process.actions += group.on_read_failed(now)
        covers = follower.snapshot_due(now)
        if covers is not None:
            state = group.snapshot()
            record = ownership.snapshot_record("gateway", covers, state)
            self._append(process, record)
        process.actions += group.tick(now)
        self._perform(process)

    def _perform(self, process):
        actions, process.actions = process.actions, []
        for action in actions:
            if isinstance(action, ownership.AppendRecord):
                self._append(process, action.record)
            elif isinstance(action, ownership.RequestPromise):
                self._request_promise(process, action)
            elif isinstance(action, ownership.Drain):
                self.release(process, action.resource)
            elif isinstance(action, ownership.Gained):
                self._check_gain(process, action.resource)

    def _append(self, process, record):
        if process.postpones_appends:
            self.postponed_appends.append(record)
        elif process.appends and not self.log.down:
            self.log.append(record)

    def _request_promise(self, source, request):
        def arrive():
            for target in self.alive_processes():
                if target.address == request.address:
                    break
            else:
                return True
            if target.paused:
                return False
            granted, actions = target.group.grant_promise(
                source.name,
                source.incarnation,
                request.epochs,
                request.ttl_s,
                target.clock(self.time_s),
            )
            target.actions += actions
            self._perform(target)
            self._send(target, source, lambda: answer(target, granted))
            return True

        def answer(target, granted):
            if source.paused:
                return False
            source.actions += source.group.on_promise_reply(
                request.process,
                target.incarnation,
                granted,
                request.sent_at,
                source.clock(self.time_s),
            )
            self._perform(source)
            return True

        for target in self.alive_processes():
            if target.address == request.address:
                self._send(source, target, arrive)

    def _send(self, source, target, arrive):
        if frozenset((source.address, target.address)) not in self.cut_links:
            at = self.time_s + source.delay_s
            self.messages.append((at, target, arrive))

    def _deliver(self):
        waiting, self.messages = self.messages, []
        for message in waiting:
            at, _, arrive = message
            if at > self.time_s or not arrive():
                self.messages.append(message)

    def _on_append(self, offset, record):
        changes = self.table.apply(offset, record)
        for resource in changes.released if changes else ():
            times = self.last_valid_at[resource]
            times.pop(changes.heartbeat.incarnation, None)

    # Checks.

    def holders(self, resource):
        return [
            p
            for p in self.processes
            if p.alive
            and p.group.valid_until(resource, p.clock(self.time_s)) is not None
        ]

    def check(self):
        """Fail if two incarnations are valid holders at this moment."""
        for resource in RESOURCES:
            holders = self.holders(resource)
            for process in holders:
                self.last_valid_at[resource][process.incarnation] = self.time_s
            names = [(p.name, p.incarnation) for p in holders]
            assert len(holders) <= 1, (
                f"{resource} has several valid holders: {names}"
            )

    def _check_gain(self, process, resource):
        self.gain_count += 1
        bound = process.group.previous_valid_until(resource)
        for incarnation, at in self.last_valid_at[resource].items():
            is_old = self.time_s - at > self.config.outage_limit_s * 0.9
            if incarnation == process.incarnation or is_old:
                continue
            assert bound is not None, (
                f"no bound of the previous holder of {resource}, but "
                f"{incarnation} was valid"
            )
            assert bound >= process.clock(at) - 1e-6, (
                f"{resource}: bound {bound} is before the validity of "
                f"{incarnation} ended"
            )

    def check_recovery(self):
        """End all faults and check that each resource gets a holder."""
        self.log.down = False
        self.cut_links.clear()
        for process in self.alive_processes():
            process.paused = process.postpones_appends = False
            process.reads = process.appends = True
            process.delay_s = 0.0
            process.batch = 50
        missing = set(RESOURCES)
        end = self.time_s + RECOVERY_LIMIT_S
        while self.time_s < end:
            self.advance(STEP_S)
            missing -= {name for name in missing if self.holders(name)}
            if not missing:
                return
        complete = [p for p in self.alive_processes() if p.follower.complete]
        # If no process and no snapshot has the whole state, resources stay
        # without holders until an operator acts.
        assert not complete, (
            f"no holder of {sorted(missing)} after {RECOVERY_LIMIT_S} s"
        )
