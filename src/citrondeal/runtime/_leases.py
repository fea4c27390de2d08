"""Connects the leases of one group to the log, to peers and to the clock."""

import functools
import logging

import anyio

from citrondeal import ownership
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal.runtime import _replica
from citrondeal import telemetry

# Bounds the delay of a claim, a renewal or a request for promises.
TICK_S = 0.1
# Each process of the zone appends a heartbeat every second; reading several of
# them at once saves most of the reads.  The pause is short compared with the
# 1.5 s after which a process reacts to a heartbeat that was not read back.
READ_PAUSE_S = 0.4
# A promise that arrives later is of no use to the process that asked for it.
PROMISE_TIMEOUT_S = 1.0

_LOG = logging.getLogger(__name__)


class LeaseDriver:
    """Runs one `ownership.LeaseGroup` against the log and the peers.

    Parameters
    ----------
    group : citrondeal.ownership.LeaseGroup
        Lease state machine of this process.
    identity : citrondeal.peers.Identity
        Identity of this process.
    log : citrondeal.logservice.LogClient
        Client of the log service.
    pool : citrondeal.peers.ConnectionPool
        Connections to other daemons.
    task_group : anyio.abc.TaskGroup
        Runs appends to the log and calls to peers.
    metrics : citrondeal.telemetry.Metrics
        Counts gains, losses and promises.
    """

    def __init__(self, group, identity, log, pool, task_group, metrics):
        self._group = group
        self._identity = identity
        self._stream = f"members-{identity.zone}"
        self._log = log
        self._pool = pool
        self._task_group = task_group
        self._metrics = metrics
        self._on_gained = None
        self._on_lost = None
        self._on_drain = None
        self._is_registered = False
        self._has_predecessor = False
        self._claimed_resources = set()
        self._replica = _replica.Replica(
            log,
            self._stream,
            apply=self._apply,
            load=self._load,
            snapshot=group.snapshot,
            task_group=task_group,
            pause_s=READ_PAUSE_S,
            snapshot_of=ownership.snapshot_reader(identity.role),
            record_of=functools.partial(
                ownership.snapshot_record, identity.role
            ),
        )

    @classmethod
    def from_config(
        cls, config, identity, log, pool, task_group, metrics, settle_s=0.0
    ):
        """Build the group of this process from a daemon's settings.

        `settle_s` is that of `ownership.Config`.
        """
        leases = config.leases
        group = ownership.LeaseGroup.from_config(
            ownership.Config(
                lease_ttl_s=leases.ttl_s,
                renew_period_s=leases.renew_period_s,
                lease_margin_s=leases.margin_s,
                promise_ttl_s=leases.promise_ttl_s,
                outage_limit_s=leases.outage_limit_s,
                claim_stagger_s=leases.claim_stagger_s,
                rebalance_after_s=leases.rebalance_after_s,
                settle_s=settle_s,
            ),
            zone=identity.zone,
            role=identity.role,
            process=identity.process,
            incarnation=identity.incarnation,
            address=str(config.listen.peer),
        )
        return cls(group, identity, log, pool, task_group, metrics)

    @property
    def group(self):
        """Lease state machine, for queries."""
        return self._group

    @property
    def registered(self):
        """Whether a record of this process has been read back."""
        return self._is_registered

    @property
    def is_first_incarnation(self):
        """Whether no other incarnation of this process has registered.

        False unless the log was read from its first record on.
        """
        follower = self._replica.follower
        return (
            self._is_registered
            and not self._has_predecessor
            and follower.complete
            and follower.is_from_start
        )

    @property
    def at_log_end(self):
        """Whether the last read of the log succeeded and reached its end."""
        return self._replica.follower.at_tail

    def was_never_claimed(self, resource):
        """Whether no process has ever claimed a resource.

        False unless the log was read from its first record to its end.
        """
        follower = self._replica.follower
        return (
            follower.is_from_start
            and follower.at_tail
            and resource not in self._claimed_resources
        )

    def set_callbacks(self, on_gained, on_lost, on_drain):
        """Set the functions to call for gained, lost and draining resources.

        Parameters
        ----------
        on_gained, on_lost : callable
            Called as ``f(resource, epoch, now)``; times are monotonic
            seconds.
        on_drain : callable
            Called as ``f(resource, now)``; must release the resource once
            its work is done.
        """
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._on_drain = on_drain

    async def run(self):
        """Read the stream of the group and tick until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                self._replica.run, self._after_batch, self._after_failure
            )
            while True:
                await anyio.sleep(TICK_S)
                self.tick()

    def tick(self):
        """Perform the actions of the group that are due now."""
        self._perform(self._group.tick(anyio.current_time()))

    def release(self, resource):
        """Give up a resource and append its release at once."""
        now = anyio.current_time()
        self._perform(self._group.release(resource, now))
        self._perform(self._group.tick(now))

    def answer_promise(self, message):
        """Return the reply to a peer's `ttypes.Promise` request."""
        group = (message.zone, message.role)
        if group != (self._identity.zone, self._identity.role):
            return ttypes.PromiseReply(False, self._identity.incarnation)
        granted, actions = self._group.grant_promise(
            message.holder,
            message.incarnation,
            message.epochs,
            message.ttl_ms / 1000,
            anyio.current_time(),
        )
        self._perform(actions)
        self._metrics.count("citrondeal.lease.promises", granted=granted)
        return ttypes.PromiseReply(granted, self._identity.incarnation)

    def _apply(self, offset, payload):
        now = anyio.current_time()
        self._note_heartbeat(payload)
        self._perform(self._group.on_record(offset, payload, now))

    def _note_heartbeat(self, payload):
        if not isinstance(payload, dict) or payload.get("relay_of"):
            return
        claims = payload.get("claims")
        if isinstance(claims, dict):
            self._claimed_resources.update(str(name) for name in claims)
        if payload.get("process") == self._identity.process:
            if payload.get("incarnation") == self._identity.incarnation:
                self._is_registered = True
            else:
                self._has_predecessor = True

    def _load(self, state):
        now = anyio.current_time()
        replacement_count = self._group.replacement_count
        loaded, actions = self._group.load(state, now)
        if self._group.replacement_count != replacement_count:
            self._forget_registration()
        self._perform(actions)
        return loaded

    def _forget_registration(self):
        # A successor of this process learns only from the new log that it
        # has a predecessor.
        self._is_registered = False
        telemetry.event(
            _LOG,
            logging.WARNING,
            "log of the leases was replaced; all own leases are given up and"
            " none is claimed for the outage limit",
            stream=self._stream,
        )

    def _after_batch(self, follower, sent_at):
        if follower.at_tail:
            now = anyio.current_time()
            self._perform(self._group.on_log_end_read(now, follower.complete))

    def _after_failure(self, now):
        self._perform(self._group.on_read_failed(now))

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, ownership.AppendRecord):
                self._task_group.start_soon(self._append, action.record)
            elif isinstance(action, ownership.RequestPromise):
                self._task_group.start_soon(self._request_promise, action)
            else:
                self._notify(action)

    def _notify(self, action):
        now = anyio.current_time()
        kind = type(action).__name__.lower()
        self._metrics.count(f"citrondeal.lease.{kind}")
        telemetry.event(
            _LOG, logging.INFO, f"lease {kind}", resource=action.resource
        )
        if isinstance(action, ownership.Gained):
            self._on_gained(action.resource, action.epoch, now)
        elif isinstance(action, ownership.Lost):
            self._on_lost(action.resource, action.epoch, now)
        else:
            self._on_drain(action.resource, now)

    async def _append(self, record):
        outcome = await self._log.append(self._stream, record)
        if outcome.is_err():
            self._metrics.count("citrondeal.lease.append_failures")

    async def _request_promise(self, action):
        message = ttypes.Promise(
            zone=self._identity.zone,
            role=self._identity.role,
            holder=self._identity.process,
            incarnation=self._identity.incarnation,
            epochs=action.epochs,
            ttl_ms=int(action.ttl_s * 1000),
        )
        granted = False
        incarnation = ""
        try:
            reply = await self._pool.call(
                action.address, message, PROMISE_TIMEOUT_S
            )
        except peers.PeerError:
            reply = None
        if isinstance(reply, ttypes.PromiseReply):
            granted = reply.granted
            incarnation = reply.incarnation
        now = anyio.current_time()
        self._perform(
            self._group.on_promise_reply(
                action.process, incarnation, granted, action.sent_at, now
            )
        )
