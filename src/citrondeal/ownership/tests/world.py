"""Processes with drifting clocks around a small log, in virtual time."""

import dataclasses

from citrondeal import ownership
from citrondeal import replay

STEP_S = 0.25
# Three rates whose largest ratio is just below the allowed 1.05.
RATES = (0.9760, 1.0245, 1.0)
CONFIG = ownership.Config(outage_limit_s=20.0, rebalance_after_s=4.0)
RESOURCES = ("r0", "r1", "r2")
# Hour-long waits are 20 s here; the rest is claims, stagger and promises.
SETTLE_S = 20.0 * 1.05 * 1.05 + 12.0


class Log:
    """Append-only list of records with retention."""

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
        cut = max(0, len(self.records) - count)
        self.first += cut
        del self.records[:cut]


@dataclasses.dataclass
class Process:
    """One incarnation of a process."""

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
    parks: bool = False
    batch: int = 50
    delay_s: float = 0.0
    actions: list = dataclasses.field(default_factory=list)

    def clock(self, t):
        return 1000.0 + self.rate * t


class World:
    """Runs groups and checks every step for two valid holders."""

    def __init__(
        self,
        count,
        group_class=ownership.LeaseGroup,
        config=CONFIG,
        fold=ownership.LeaseTable,
    ):
        self.t = 0.0
        self.log = Log(self._note_release)
        self.fold = fold("gateway")
        self.config = config
        self.group_class = group_class
        self.processes = []
        self.parked = []
        self.messages = []
        self.cut = set()
        # resource -> {incarnation: real time of its last seen validity}
        self.valid_at = {name: {} for name in RESOURCES}
        self.gains = 0
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
            self.t,
        )
        process.group = self.group_class(
            "z", "gateway", name, process.incarnation, address, self.config
        )
        process.follower = replay.Follower(
            lambda offset, payload: process.actions.extend(
                process.group.on_record(offset, payload, process.clock(self.t))
            ),
            lambda state: self._load(process, state),
            replay.SnapshotPolicy(
                records=30, retry_s=2.0, delay_s=0.1 * number
            ),
            ownership.snapshot_reader("gateway"),
        )
        self.processes.append(process)
        process.group.set_wanted(RESOURCES, process.clock(self.t))
        return process

    def _load(self, process, state):
        done, actions = process.group.load(state, process.clock(self.t))
        process.actions.extend(actions)
        return done

    def living(self):
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
        now = process.clock(self.t)
        process.actions += process.group.release(resource, now)
        self._carry_out(process)

    def land(self, index, times=1):
        record = self.parked.pop(index % len(self.parked))
        for _ in range(times):
            self.log.append(record)

    def retain(self, count):
        """Delete old records while some replica holds the whole state."""
        for process in self.living():
            if (
                process.follower.complete
                and process.follower.position == self.log.next
                and not process.paused
            ):
                self.log.retain(count)
                return

    # Time.

    def advance(self, seconds):
        end = self.t + seconds
        while self.t < end:
            self.t = min(end, self.t + STEP_S)
            self._deliver()
            for process in self.living():
                if not process.paused:
                    self.run(process)
            self.check()

    def run(self, process):
        """One read of the log and one tick."""
        group, follower = process.group, process.follower
        now = process.clock(self.t)
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
        self._carry_out(process)

    def _carry_out(self, process):
        actions, process.actions = process.actions, []
        for action in actions:
            if isinstance(action, ownership.AppendRecord):
                self._append(process, action.record)
            elif isinstance(action, ownership.RequestPromise):
                self._ask(process, action)
            elif isinstance(action, ownership.Drain):
                self.release(process, action.resource)
            elif isinstance(action, ownership.Gained):
                self._check_gain(process, action.resource)

    def _append(self, process, record):
        if process.parks:
            self.parked.append(record)
        elif process.appends and not self.log.down:
            self.log.append(record)

    def _ask(self, source, ask):
        def arrive():
            for target in self.living():
                if target.address == ask.address:
                    break
            else:
                return True
            if target.paused:
                return False
            granted, actions = target.group.grant_promise(
                source.name,
                source.incarnation,
                ask.epochs,
                ask.ttl_s,
                target.clock(self.t),
            )
            target.actions += actions
            self._carry_out(target)
            self._send(target, source, lambda: answer(target, granted))
            return True

        def answer(target, granted):
            if source.paused:
                return False
            source.actions += source.group.on_promise_reply(
                ask.process,
                target.incarnation,
                granted,
                ask.sent_at,
                source.clock(self.t),
            )
            self._carry_out(source)
            return True

        for target in self.living():
            if target.address == ask.address:
                self._send(source, target, arrive)

    def _send(self, source, target, arrive):
        if frozenset((source.address, target.address)) not in self.cut:
            at = self.t + source.delay_s
            self.messages.append((at, target, arrive))

    def _deliver(self):
        waiting, self.messages = self.messages, []
        for message in waiting:
            at, _, arrive = message
            if at > self.t or not arrive():
                self.messages.append(message)

    def _note_release(self, offset, record):
        outcome = self.fold.apply(offset, record)
        for resource in outcome.released if outcome else ():
            ended = self.valid_at[resource]
            ended.pop(outcome.heartbeat.incarnation, None)

    # Checks.

    def holders(self, resource):
        return [
            p
            for p in self.processes
            if p.alive
            and p.group.valid_until(resource, p.clock(self.t)) is not None
        ]

    def check(self):
        """Fail if two incarnations are valid holders at this moment."""
        for resource in RESOURCES:
            found = self.holders(resource)
            for process in found:
                self.valid_at[resource][process.incarnation] = self.t
            names = [(p.name, p.incarnation) for p in found]
            assert len(found) <= 1, f"{resource} is held by {names}"

    def _check_gain(self, process, resource):
        self.gains += 1
        bound = process.group.previous_valid_until(resource)
        for incarnation, at in self.valid_at[resource].items():
            old = self.t - at > self.config.outage_limit_s * 0.9
            if incarnation == process.incarnation or old:
                continue
            assert bound is not None, f"no bound for {resource}"
            assert bound >= process.clock(at) - 1e-6, f"bound of {resource}"

    def settle(self):
        """Heal everything and wait until each resource had a holder."""
        self.log.down = False
        self.cut.clear()
        for process in self.living():
            process.paused = process.parks = False
            process.reads = process.appends = True
            process.delay_s = 0.0
            process.batch = 50
        missing = set(RESOURCES)
        end = self.t + SETTLE_S
        while self.t < end:
            self.advance(STEP_S)
            missing -= {name for name in missing if self.holders(name)}
            if not missing:
                return
        complete = [p for p in self.living() if p.follower.complete]
        # Without a replica or snapshot that holds the state only an
        # operator can continue.
        assert not complete, f"no holder of {sorted(missing)}"
