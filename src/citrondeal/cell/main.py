"""Entry point of ``citrondeal-cell``: one member of a cell."""

import logging
import sys
import uuid

import anyio

from citrondeal.cell import _client_limits
from citrondeal.cell import _clock
from citrondeal.cell import _configuration
from citrondeal.cell import _confirmation
from citrondeal.cell import _desk
from citrondeal.cell import _job_topics
from citrondeal.cell import _members
from citrondeal.cell import _owner
from citrondeal.cell import _ownership
from citrondeal.cell import _pace
from citrondeal.cell import _records
from citrondeal.cell import _relays
from citrondeal.cell import _tickets
from citrondeal.cell import _writers
from citrondeal import election
from citrondeal import lifecycle
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform

from citrondeal import telemetry
from citrondeal import web

# The size of a record in the store, which holds the job of a body. A body of
# small steps takes more than 50 times its size in memory while it is decoded.
MAX_BODY_BYTES = 256 * 1024
# The platform's load balancer stops sending connections after two failed
# readiness checks, one second apart.
UNREADY_WAIT_S = 2.5
DRAIN_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
MAX_APPEND_S = 60.0
METRICS_PORT = 9464

_LOG = logging.getLogger(__name__)


class CellProcess:
    """The parts of one process of a cell, and the wiring between them.

    Parameters
    ----------
    settings : citrondeal.platform.Settings
    task_group : anyio.abc.TaskGroup
        Runs everything but the HTTP servers.
    """

    def __init__(self, settings, task_group):
        self._settings = settings
        self._task_group = task_group
        self._incarnation = uuid.uuid4().hex[:12]
        self._lifecycle = lifecycle.Lifecycle(self.dump)
        self._lifecycle.set_ready_check(self._is_ready)
        self._lifecycle.set_reload_handler(self._reload)
        self._metrics = telemetry.Metrics("citrondeal-cell")
        self._metrics.gauge(
            "citrondeal.unexpected_errors", telemetry.unexpected_errors
        )
        self._store = platform.StoreClient(settings.store_address)
        self._links = peers.ConnectionPool(self._identity(), task_group)
        self._confirmation = None
        self._pace = _pace.StorePace(
            lambda: self._members.round_trip_s, _log_pace
        )
        self._writers = _writers.Writers(
            lambda: self._member, self._other_members
        )
        self._appender = _job_topics.JobAppender(
            self._append,
            lambda *args: self._relays.relay(*args),
            lambda: self._store.last_success_age_s,
            self._metrics,
            self._pace,
            lambda *args: self._relays.has_writer(*args),
        )
        self._relays = _relays.Relays(
            settings.name,
            self._links,
            self._writers,
            self._pace,
            self._may_append,
            self._appender.put_foreign,
        )
        self._metrics.gauge(
            "citrondeal.store.slow",
            lambda: int(self._pace.is_slow(_clock.now())),
        )
        self._metrics.gauge(
            "citrondeal.append.expected_wait",
            lambda: self._pace.max_earliest_s(_clock.now()),
            "s",
        )
        self._ticket_dispatcher = _tickets.TicketDispatcher(
            platform.TicketClient(settings.ticket_address),
            self._links,
            self._other_members,
        )
        self._member = _records.Member(
            settings.name,
            f"{settings.ip}:{settings.first_port}",
            settings.zone,
            settings.cores,
        )
        self._election = election.Election(settings.name, self._incarnation)
        self._members = _members.Membership(
            self._store,
            self._links,
            self._member,
            self._election,
            self._incarnation,
            self._on_owner_change,
        )
        self._ownership = _ownership.Ownership(
            self._members, self._create_owner, task_group
        )
        self._config = _configuration.Configuration(
            self._store,
            self._links,
            self._member,
            self._other_members,
            settings.config_apply_s,
        )
        self._metrics.gauge(
            "citrondeal.config.version",
            lambda: (
                self._config.catalog.version if self._config.catalog else 0
            ),
        )
        self._metrics.gauge(
            "citrondeal.config.age",
            lambda: self._config.age_s(_clock.now()),
            "s",
        )
        self._client_limits = _client_limits.ClientLimits(
            settings, lambda: self._config.catalog, self._metrics
        )
        self._client_requests = _desk.ClientRequests(
            self._appender,
            self._links,
            self._members,
            lambda: self._ownership.owner,
            lambda: self._config.catalog,
            lambda: self._config.age_s(_clock.now()),
        )

    @classmethod
    def from_config(cls, settings, task_group):
        """Build a process from its settings."""
        return cls(settings, task_group)

    @property
    def lifecycle(self):
        """The `lifecycle.Lifecycle` of this process."""
        return self._lifecycle

    def dump(self):
        """Return the state of the process as values that JSON can encode."""
        owner = self._ownership.owner
        scheduler = owner.scheduler if owner else None
        catalog = self._config.catalog
        return {
            "process": self._settings.name,
            "usage": lifecycle.usage(),
            "config_version": catalog.version if catalog else 0,
            "epoch": self._election.epoch,
            "owner": scheduler.dump() if scheduler else None,
            "store_calls": self._store.calls,
            "unexpected_errors": telemetry.unexpected_errors(),
        }

    async def start(self):
        """Start the background tasks and the server for other members."""
        await self._task_group.start(self._lifecycle.handle_signals)
        host, port = self._settings.ip, self._settings.first_port
        await self._task_group.start(
            peers.serve, host, port, self._identity(), self._answer
        )
        self._run_in_background("appends", self._appender.run)
        self._run_in_background("membership", self._join)

    def _run_in_background(self, activity, function):
        self._task_group.start_soon(
            telemetry.keep_running, _LOG, activity, function
        )

    def _reload(self):
        """Read the settings again; addresses change only at a restart."""
        try:
            self._settings = platform.read_settings(platform.settings_path())
        except platform.SettingsError as exc:
            _event("settings are not reloaded", reason=str(exc))
            return
        _event("settings are reloaded", store=self._settings.store_address)

    def _identity(self):
        return peers.Identity(
            self._settings.name, self._incarnation, self._settings.zone, "cell"
        )

    def _is_ready(self):
        return self._config.catalog is not None and self._members.loaded

    def _other_members(self):
        return self._members.others

    # Membership and ownership

    async def _join(self):
        await self._members.load()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                telemetry.keep_running,
                _LOG,
                "configuration",
                self._config.run,
            )
            await self._members.run()

    def _on_owner_change(self, earlier_address):
        self._ownership.on_owner_change()
        if not self._election.is_owner:
            return
        epoch = self._election.epoch
        if earlier_address not in (None, self._member.address):
            self._task_group.start_soon(
                self._announce_claim, earlier_address, epoch
            )

    async def _announce_claim(self, address, epoch):
        """Tell the earlier owner, which may not hear from the store."""
        try:
            await self._links.call(
                address, ttypes.Probe(epoch=epoch), ANNOUNCE_TIMEOUT_S
            )
        except peers.PeerError as exc:
            _event(
                "claim is not announced to the earlier owner",
                epoch=epoch,
                reason=str(exc),
            )

    def _create_owner(self, epoch):
        self._confirmation = _confirmation.OwnerConfirmation(
            epoch, self._members, self._links, self._settings.zone
        )
        return _owner.Owner(
            self._store,
            self._ticket_dispatcher,
            epoch,
            self._confirmation,
            self._settings,
            self._metrics,
            lambda: self._config.catalog,
        )

    # Appends

    async def _append(self, records):
        # A group of records belongs to one topic. The committer ends the call
        # when no answer is expected any more.
        topic = _records.job_topic(records[0].key)
        return await self._store.append(topic, records, timeout_s=MAX_APPEND_S)

    def _may_append(self):
        return self._members.store_answers and self._appender.may_append(
            _clock.now()
        )

    # Other members

    async def _answer(self, peer, value):
        if isinstance(value, ttypes.Probe):
            return self._answer_probe(value)
        if isinstance(value, ttypes.TicketQuery):
            return await self._ticket_dispatcher.answer(value)
        if isinstance(value, (ttypes.JobStateQuery, ttypes.BacklogQuery)):
            return self._client_requests.answer_as_owner(value)
        if isinstance(value, ttypes.Records):
            return self._config.answer(value)
        if isinstance(value, ttypes.Relay):
            return await self._relays.answer(value)
        return ttypes.Fault(
            kind="protocol",
            message=f"unexpected message {type(value).__name__}",
        )

    def _answer_probe(self, probe):
        now = _clock.now()
        state = self._election
        # A process whose owner has ended is to be replaced like one that has
        # started again.
        is_owner = self._ownership.active
        if self._confirmation is not None:
            self._confirmation.on_announcement(probe.epoch)
        return ttypes.ProbeReply(
            epoch=state.epoch,
            owner=is_owner,
            store_age_s=self._members.store_age_s(now),
            owner_age_s=0.0 if is_owner else state.owner_age_s(now),
            owner_address=state.owner_address(),
        )

    # HTTP

    async def serve_http(self, *, task_status):
        """Serve clients, readiness checks and metrics until cancelled."""
        monitoring_app = self._monitoring_app()
        servers = [
            (
                platform.build_app(
                    self._client_requests,
                    MAX_BODY_BYTES,
                    platform.AccessPolicy(
                        self._settings.config_apply_s,
                        self._settings.strict_revoke,
                        self._settings.revoke_s,
                    ),
                ),
                self._settings.client_address,
                self._client_limits.guard_clients(),
            ),
            (
                monitoring_app,
                self._settings.readiness_address,
                self._client_limits.guard_monitoring("readiness"),
            ),
            (
                monitoring_app,
                f"{self._settings.ip}:{METRICS_PORT}",
                self._client_limits.guard_monitoring("metrics"),
            ),
        ]
        async with anyio.create_task_group() as task_group:
            for app, address, guard in servers:
                host, _, port = address.rpartition(":")
                await task_group.start(
                    web.run_server,
                    app,
                    host,
                    int(port),
                    DRAIN_TIMEOUT_S,
                    guard,
                )
            task_status.started()

    def _monitoring_app(self):
        app = web.App(body_limit=0)

        async def ready(request):
            return web.Response(200 if self._lifecycle.ready else 503)

        async def metrics(request):
            return web.Response(
                200,
                self._metrics.collect().encode(),
                {"content-type": "application/json"},
            )

        async def state(request):
            return web.json_response(self.dump())

        app.add_route("GET", "/v1/readiness", ready)
        app.add_route("GET", "/metrics", metrics)
        app.add_route("GET", "/debug/state", state)
        return app

    async def drain(self):
        """Release the ownership, then serve until new connections cease."""
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            await self._members.leave()
        self._ownership.cancel()
        await anyio.sleep(UNREADY_WAIT_S)

    async def stop(self):
        """Close connections to the store."""
        await self._store.aclose()


def _log_pace(slow, reason):
    message = "store is slow" if slow else "store is fast again"
    telemetry.event(_LOG, logging.WARNING, message, reason=reason)


def _event(message, **fields):
    telemetry.event(_LOG, logging.INFO, message, **fields)


def main():
    """Run ``citrondeal-cell``."""
    try:
        settings = platform.read_settings(platform.settings_path())
    except platform.SettingsError as exc:
        print(f"citrondeal-cell: {exc}", file=sys.stderr)
        sys.exit(2)
    telemetry.configure_logging(settings.name, settings.zone, "info")
    sys.exit(lifecycle.run(CellProcess, settings))


if __name__ == "__main__":
    main()
