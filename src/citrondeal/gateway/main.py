"""Entry point of ``citrondeal-gateway``."""

import itertools
import random

import anyio
import result

from citrondeal import admission
from citrondeal import callers
from citrondeal import config as settings
from citrondeal import dedup
from citrondeal import endpoints
from citrondeal import errors
from citrondeal.gateway import _cores
from citrondeal.gateway import _flow
from citrondeal.gateway import _holdings
from citrondeal.gateway import _messages
from citrondeal.gateway import _service
from citrondeal.gateway import _work
from citrondeal import operators
from citrondeal.operators import api
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import routing
from citrondeal import runtime

REPORT_TICK_S = 0.1  # bounds how late a load report is sent
HANDOVER_TIMEOUT = 3.0  # seconds for the records of the ids
RELEASE_S = 3.0  # seconds for releases to be read back from the log


_STARTING = ttypes.Fault(kind="unavailable", message="the gateway is starting")


class Gateway:
    """Cores and borders of one gateway process.

    Parameters
    ----------
    config : citrondeal.config.GatewayConfig
        Settings of the process.
    task_group : anyio.abc.TaskGroup
        Runs everything but the HTTP server.
    """

    def __init__(self, config, task_group):
        self._config = config
        self._task_group = task_group
        self._keys = itertools.count()
        self._shared = runtime.Shared.from_config(
            config, "gateway", task_group, self.dump
        )
        self._queues = admission.Queues.from_config(
            admission.Config(
                total_count=config.limits.queue_requests,
                total_bytes=config.limits.queue_bytes,
            )
        )
        self._configured = set()
        self._handovers = _messages.Handovers()
        # Seeded by the name, so that a run can be repeated.
        self._table = routing.Table.from_config(
            routing.Config(),
            config.process.zone,
            config.process.region,
            random.Random(config.process.name),
        )
        self._ledger = dedup.Ledger.from_config(
            dedup.Config(
                max_ids=config.limits.ids,
                answer_bytes=config.limits.answer_cache_bytes,
            ),
            self._shared.identity.process,
            self._shared.identity.incarnation,
            self._shared.identity.zone,
            anyio.current_time(),
        )
        self._holdings = _holdings.Holdings(
            self._shared.leases,
            self._shared.directory,
            self._table,
            config.process.zone,
            self._attempt_timeout,
            self._on_holdings,
        )
        self._client = endpoints.Client.from_config(config)
        self._flow = _flow.Flow(
            _cores.Cores(
                ledger=self._ledger,
                queues=self._queues,
                table=self._table,
                holdings=self._holdings,
                directory=self._shared.directory,
                client=self._client,
                links=self._shared.links,
                task_group=task_group,
                metrics=self._shared.metrics,
            )
        )
        gauge = self._shared.metrics.gauge
        gauge("citrondeal.requests.active", lambda: self._flow.active)
        gauge("citrondeal.requests.queued", self._queued)
        self._app = callers.build_app(self._submit, config.limits.body_bytes)
        probes = runtime.probes_of(
            self._shared.lifecycle, self._shared.metrics, self.dump
        )
        api.add_probes(self._app, operators.Probes(**probes))

    @classmethod
    def from_config(cls, config, task_group):
        """Build a gateway from its settings."""
        return cls(config, task_group)

    @property
    def lifecycle(self):
        """State between start and exit."""
        return self._shared.lifecycle

    async def start(self):
        """Start everything that runs in the background."""
        start_soon = self._task_group.start_soon
        self._shared.leases.listen(
            self._holdings.on_gained,
            self._holdings.on_lost,
            self._holdings.on_drain,
        )
        self._shared.settings.on_changed(self._on_settings)
        self._shared.lifecycle.set_ready_check(self._is_ready)
        await self._shared.start(self._answer, self._on_vms)
        start_soon(self._flow.run)
        start_soon(self._report_load)
        start_soon(self._watch_registration)

    async def serve_http(self, *, task_status):
        """Serve callers until cancelled."""
        await self._shared.serve_http(self._app, task_status=task_status)

    async def drain(self):
        """Finish callers' requests after readiness is withdrawn."""
        await anyio.sleep(runtime.UNREADY_DELAY_S)
        self._app.disable_keep_alive()
        with anyio.move_on_after(self._config.drain.limit_s):
            while self._flow.active:
                await anyio.sleep(0.05)

    async def stop(self):
        """Hand endpoints and ids to the other gateways."""
        self._holdings.drain_all()
        self._shared.leases.group.want([], anyio.current_time())
        with anyio.move_on_after(self._config.drain.limit_s):
            while self._flow.active or self._holdings.held:
                await anyio.sleep(0.05)
        await self._hand_over_ids()
        with anyio.move_on_after(RELEASE_S):
            while self._shared.leases.group.dump()["held"]:
                await anyio.sleep(0.05)
        await self._client.aclose()

    def dump(self):
        """Return the JSON-ready state of the process."""
        return {
            **self._shared.dump(),
            "requests": self._flow.dump(),
        }

    async def _watch_registration(self):
        while not self._shared.leases.registered:
            await anyio.sleep(REPORT_TICK_S)
        if self._shared.leases.is_first:
            self._ledger.mark_first_incarnation(anyio.current_time())

    def _queued(self):
        return sum(self._queues.queued(name) for name in self._configured)

    # Callers.

    async def _submit(self, request):
        if not self._shared.leases.registered:
            return self._not_registered(request)
        values = self._shared.settings.tree.values(
            f"/services/{request.service}"
        )
        if values is None:
            return self._no_service(request)
        work = self._work_of(request, values)
        return await self._flow.handle(
            work, request.attempt, request.disconnected
        )

    def _not_registered(self, request):
        # A successor of this process relies on the log to know that it has
        # a predecessor, so nothing may run before the first heartbeat.
        kind = errors.Kind.UNAVAILABLE
        if request.attempt != 1:
            kind = errors.Kind.UNKNOWN_OUTCOME
        message = "the gateway is starting"
        return result.Err(errors.Failure(kind, message, 1.0))

    def _no_service(self, request):
        if not self._shared.settings.complete:
            kind = errors.Kind.UNAVAILABLE
            message = "the settings are not read yet"
        else:
            kind = errors.Kind.UNKNOWN_SERVICE
            message = f"no service {request.service}"
        if request.attempt != 1:
            # Only the first attempt is known not to have run before.
            kind = errors.Kind.UNKNOWN_OUTCOME
        return result.Err(errors.Failure(kind, message))

    def _work_of(self, request, values):
        deadline_ms = request.deadline_ms or values["request.deadline_ms"]
        idempotent = request.idempotent
        if idempotent is None:
            idempotent = values["request.idempotent"]
        return _work.Work(
            key=next(self._keys),
            request_id=request.request_id,
            service=request.service,
            path=request.path,
            request_class=request.request_class or "normal",
            team=request.team or values["team.default"],
            idempotent=idempotent,
            deadline=anyio.current_time() + deadline_ms / 1000,
            attempt_timeout=values["request.attempt_timeout_ms"] / 1000,
            headers=request.headers,
            body=request.body,
        )

    # Other gateways.

    async def _answer(self, peer, value):
        if isinstance(value, ttypes.Load):
            self._on_load(peer, value)
            return ttypes.Ok()
        if isinstance(value, ttypes.Promise):
            return self._shared.leases.answer_promise(value)
        if not self._shared.leases.registered:
            return _STARTING
        if isinstance(value, ttypes.Intent):
            return self._flow.answer_intent(value)
        if isinstance(value, ttypes.Claim):
            return self._flow.answer_claim(value)
        if isinstance(value, ttypes.Forward):
            return await self._on_forward(value)
        if isinstance(value, ttypes.Handover):
            return self._on_handover(peer, value)
        return ttypes.Fault(kind="protocol", message="unexpected message")

    async def _on_forward(self, message):
        service = message.service_name
        values = self._shared.settings.tree.values(f"/services/{service}")
        if values is None:
            failure = errors.Failure(
                errors.Kind.UNAVAILABLE, f"no service {service} here"
            )
            return _messages.fault_out(failure)
        work = _work.Work(
            key=next(self._keys),
            request_id=message.request_id,
            service=service,
            path=message.path,
            request_class=message.request_class,
            team=message.team,
            idempotent=message.idempotent,
            deadline=anyio.current_time() + message.deadline_ms / 1000,
            attempt_timeout=values["request.attempt_timeout_ms"] / 1000,
            headers=message.headers,
            body=message.body,
            forwarded=True,
        )
        outcome = await self._flow.handle_forward(work, message)
        if outcome.is_ok():
            return _messages.reply_out(outcome.ok_value)
        return _messages.fault_out(outcome.err_value)

    def _on_load(self, peer, message):
        self._table.on_report(
            peer.process,
            message.free,
            message.queued,
            message.draining,
            anyio.current_time(),
        )
        self._flow.pump_all()

    def _on_handover(self, peer, message):
        try:
            state = self._handovers.add(peer.process, message)
        except ValueError as exc:
            return ttypes.Fault(kind="malformed", message=str(exc))
        if state is not None:
            self._ledger.import_records(state, anyio.current_time())
        return ttypes.Ok()

    async def _hand_over_ids(self):
        state = self._ledger.export(anyio.current_time())
        parts = _messages.handover_out(state)
        zone = self._shared.identity.zone
        others = sorted(self._other_gateways(), key=lambda vm: vm.zone != zone)
        for vm in others:
            if await self._send_parts(vm, parts):
                return

    async def _send_parts(self, vm, parts):
        for part in parts:
            try:
                reply = await self._shared.links.call(
                    vm.peer, part, HANDOVER_TIMEOUT
                )
            except peers.PeerError:
                return False
            if not isinstance(reply, ttypes.Ok):
                return False
        return True

    async def _report_load(self):
        while True:
            await anyio.sleep(REPORT_TICK_S)
            now = anyio.current_time()
            free, queued = self._load(now)
            for report in self._table.reports(free, queued, now):
                vm = self._shared.directory.get(report.process)
                if vm is not None:
                    message = ttypes.Load(
                        report.free,
                        report.queued,
                        self._shared.lifecycle.draining,
                    )
                    self._task_group.start_soon(
                        self._shared.links.notify, vm.peer, message
                    )

    def _load(self, now):
        free, queued = {}, {}
        for service in self._configured:
            count = self._table.free_slots(service, now)
            if self._shared.lifecycle.draining:
                count = 0
            free[service] = count
            queued[service] = self._queues.queued(service)
            room = self._queues.spare_capacity(service, count, now)
            for name, places in room.items():
                free[f"{service}/{name}"] = places
        return free, queued

    # Changes.

    def _is_ready(self):
        return (
            self._shared.settings.complete
            and self._shared.leases.registered
            and self._shared.directory.updated_at is not None
        )

    def _other_gateways(self):
        return [
            vm
            for vm in self._shared.directory.select("entry", role="gateway")
            if vm.id != self._shared.identity.process
        ]

    def _on_vms(self):
        now = anyio.current_time()
        others = self._other_gateways()
        self._table.set_peers({vm.id: (vm.zone, vm.region) for vm in others})
        self._ledger.set_gateways({vm.id: vm.zone for vm in others}, now)
        self._holdings.on_vms()

    def _on_settings(self):
        tree = self._shared.settings.tree
        weights = _service.team_weights(tree)
        now = anyio.current_time()
        services = []
        for path in tree.paths("/services"):
            values = tree.values(path)
            if values is None:
                continue
            services.append(values)
            name = path.removeprefix("/services/")
            config = _service.service_config(values, weights)
            self._queues.configure(name, config, now)
            self._configured.add(name)
        self._table.configure(
            _service.routing_config(tree.values("/"), services)
        )
        self._on_holdings()

    def _on_holdings(self):
        now = anyio.current_time()
        for service in self._configured:
            self._queues.set_slots(service, self._table.slots(service), now)
        self._flow.pump_all()

    def _attempt_timeout(self, service):
        values = self._shared.settings.tree.values(f"/services/{service}")
        if values is None:
            values = self._shared.settings.tree.values("/")
        return values["request.attempt_timeout_ms"] / 1000


def main():
    """Run ``citrondeal-gateway``."""
    runtime.run_program(Gateway, settings.GatewayConfig, "citrondeal-gateway")


if __name__ == "__main__":
    main()
