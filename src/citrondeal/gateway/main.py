"""Entry point of ``citrondeal-gateway``; holds the state of one process."""

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
from citrondeal.gateway import _components
from citrondeal.gateway import _flow
from citrondeal.gateway import _holdings
from citrondeal.gateway import _messages
from citrondeal.gateway import _request
from citrondeal.gateway import _tree_settings
from citrondeal import lifecycle
from citrondeal import operators
from citrondeal.operators import api
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import routing
from citrondeal import runtime

REPORT_TICK_S = 0.1  # maximum delay of a load report
HANDOVER_TIMEOUT_S = 3.0  # for each part of the id records
RELEASE_TIMEOUT_S = 3.0  # for releases to be read back from the log
RETRY_AFTER_S = 1.0  # advice to the client

_STARTING_FAULT = ttypes.Fault(
    kind="unavailable", message="the gateway is starting"
)


class Gateway:
    """One gateway process: its state, network clients and background tasks.

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
        self._request_keys = itertools.count()
        self._shared = runtime.SharedComponents.from_config(
            config, "gateway", task_group, self.dump
        )
        self._queues = admission.Queues.from_config(
            admission.Config(
                total_count=config.limits.queue_requests,
                total_bytes=config.limits.queue_bytes,
            )
        )
        self._service_names = set()
        self._handover_assembler = _messages.HandoverAssembler()
        # Seeded with the process name, so that runs are reproducible.
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
        self._held_endpoints = _holdings.HeldEndpoints(
            self._shared.leases,
            self._shared.directory,
            self._table,
            config.process.zone,
            self._attempt_timeout_s,
            self._on_slots_changed,
        )
        self._client = endpoints.Client.from_config(config)
        self._request_handler = _flow.RequestHandler(
            _components.Components(
                ledger=self._ledger,
                queues=self._queues,
                table=self._table,
                held_endpoints=self._held_endpoints,
                directory=self._shared.directory,
                client=self._client,
                links=self._shared.links,
                task_group=task_group,
                metrics=self._shared.metrics,
            )
        )
        gauge = self._shared.metrics.gauge
        gauge(
            "citrondeal.requests.active",
            lambda: self._request_handler.active_count,
        )
        gauge("citrondeal.requests.queued", self._queued_count)
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
        """State of the process between start and exit."""
        return self._shared.lifecycle

    async def start(self):
        """Start the background tasks."""
        start_soon = self._task_group.start_soon
        self._shared.leases.set_callbacks(
            self._held_endpoints.on_gained,
            self._held_endpoints.on_lost,
            self._held_endpoints.on_drain,
        )
        self._shared.settings.add_read_listener(self._on_settings)
        self._shared.lifecycle.set_ready_check(self._is_ready)
        await self._shared.start(self._answer, self._on_vms)
        start_soon(self._request_handler.run)
        start_soon(self._report_load)
        start_soon(self._watch_registration)

    async def serve_http(self, *, task_status):
        """Serve callers until cancelled."""
        await self._shared.serve_http(self._app, task_status=task_status)

    async def drain(self):
        """Wait, at most for the drain limit, until no request is active.

        Clients are asked to give up their connections only after the
        balancer has had time to see that the gateway is not ready.
        """
        await anyio.sleep(runtime.UNREADY_DELAY_S)
        self._app.disable_keep_alive()
        with anyio.move_on_after(self._config.drain.limit_s):
            while self._request_handler.active_count:
                await anyio.sleep(0.05)

    async def stop(self):
        """Hand the endpoints and id records over to the other gateways."""
        self._held_endpoints.drain_all()
        self._shared.leases.group.set_wanted([], anyio.current_time())
        with anyio.move_on_after(self._config.drain.limit_s):
            while (
                self._request_handler.active_count or self._held_endpoints.ids
            ):
                await anyio.sleep(0.05)
        await self._hand_over_ids()
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            while self._shared.leases.group.dump()["held"]:
                await anyio.sleep(0.05)
        await self._client.aclose()

    def dump(self):
        """Return the JSON-ready state of the process."""
        return {
            **self._shared.dump(),
            "requests": self._request_handler.dump(),
        }

    async def _watch_registration(self):
        while not self._shared.leases.registered:
            await anyio.sleep(REPORT_TICK_S)
        if self._shared.leases.is_first_incarnation:
            self._ledger.mark_first_incarnation(anyio.current_time())

    def _queued_count(self):
        return sum(self._queues.queued(name) for name in self._service_names)

    # Requests of callers

    async def _submit(self, request):
        if not self._shared.leases.registered:
            return self._refuse_unregistered(request)
        values = self._shared.settings.tree.values(
            f"/services/{request.service}"
        )
        if values is None:
            return self._refuse_unknown_service(request)
        active_request = self._active_request(request, values)
        return await self._request_handler.handle(
            active_request, request.attempt, request.disconnected
        )

    def _refuse_unregistered(self, request):
        # A successor of this process learns from the log alone that it has
        # a predecessor, so no request may run before the first heartbeat is
        # in the log.
        kind = errors.Kind.UNAVAILABLE
        if request.attempt != 1:
            kind = errors.Kind.UNKNOWN_OUTCOME
        message = "the gateway is starting"
        return result.Err(errors.Failure(kind, message, RETRY_AFTER_S))

    def _refuse_unknown_service(self, request):
        retry_after_s = None
        if self._shared.settings.may_deny(lifecycle.boot_time_s()):
            kind = errors.Kind.UNKNOWN_SERVICE
            message = (
                f"service {request.service!r} is not in the settings tree"
            )
        else:
            kind = errors.Kind.UNAVAILABLE
            message = (
                "the settings tree has not been read up to the end of the log"
                f" of late, so service {request.service!r} may exist"
            )
            retry_after_s = RETRY_AFTER_S
        if request.attempt != 1:
            # An earlier attempt may have run, unless this is the first one.
            kind = errors.Kind.UNKNOWN_OUTCOME
        return result.Err(errors.Failure(kind, message, retry_after_s))

    def _active_request(self, request, values):
        deadline_ms = request.deadline_ms or values["request.deadline_ms"]
        idempotent = request.idempotent
        if idempotent is None:
            idempotent = values["request.idempotent"]
        return _request.ActiveRequest(
            key=next(self._request_keys),
            request_id=request.request_id,
            service=request.service,
            path=request.path,
            request_class=request.request_class or "normal",
            team=request.team or values["team.default"],
            idempotent=idempotent,
            deadline=anyio.current_time() + deadline_ms / 1000,
            attempt_timeout_s=values["request.attempt_timeout_ms"] / 1000,
            headers=request.headers,
            body=request.body,
        )

    # Messages of other gateways

    async def _answer(self, peer, value):
        if isinstance(value, ttypes.Load):
            self._on_load(peer, value)
            return ttypes.Ok()
        if isinstance(value, ttypes.Promise):
            return self._shared.leases.answer_promise(value)
        if not self._shared.leases.registered:
            return _STARTING_FAULT
        if isinstance(value, ttypes.Intent):
            return self._request_handler.answer_intent(value)
        if isinstance(value, ttypes.Claim):
            return self._request_handler.answer_claim(value)
        if isinstance(value, ttypes.Forward):
            return await self._on_forward(value)
        if isinstance(value, ttypes.Handover):
            return self._on_handover(peer, value)
        return ttypes.Fault(
            kind="protocol",
            message=(
                "a gateway does not handle messages of type "
                f"{type(value).__name__}"
            ),
        )

    async def _on_forward(self, message):
        service = message.service_name
        values = self._shared.settings.tree.values(f"/services/{service}")
        if values is None:
            failure = errors.Failure(
                errors.Kind.UNAVAILABLE,
                f"service {service!r} is not in the settings tree of the "
                f"gateway that received the forward",
            )
            return _messages.failure_to_message(failure)
        request = _request.ActiveRequest(
            key=next(self._request_keys),
            request_id=message.request_id,
            service=service,
            path=message.path,
            request_class=message.request_class,
            team=message.team,
            idempotent=message.idempotent,
            deadline=anyio.current_time() + message.deadline_ms / 1000,
            attempt_timeout_s=values["request.attempt_timeout_ms"] / 1000,
            headers=message.headers,
            body=message.body,
            forwarded=True,
        )
        outcome = await self._request_handler.handle_forward(request, message)
        if outcome.is_ok():
            return _messages.reply_to_message(outcome.ok_value)
        return _messages.failure_to_message(outcome.err_value)

    def _on_load(self, peer, message):
        self._table.on_report(
            peer.process,
            message.free,
            message.queued,
            message.draining,
            anyio.current_time(),
        )
        self._request_handler.dispatch_all_queued()

    def _on_handover(self, peer, message):
        try:
            state = self._handover_assembler.add(peer.process, message)
        except ValueError as exc:
            return ttypes.Fault(kind="malformed", message=str(exc))
        if state is not None:
            self._ledger.import_records(state, anyio.current_time())
        return ttypes.Ok()

    async def _hand_over_ids(self):
        state = self._ledger.export(anyio.current_time())
        parts = _messages.handover_messages(state)
        zone = self._shared.identity.zone
        others = sorted(self._other_gateways(), key=lambda vm: vm.zone != zone)
        for vm in others:
            if await self._send_parts(vm, parts):
                return

    async def _send_parts(self, vm, parts):
        for part in parts:
            try:
                reply = await self._shared.links.call(
                    vm.peer, part, HANDOVER_TIMEOUT_S
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
            free, queued = self._current_load(now)
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

    def _current_load(self, now):
        free, queued = {}, {}
        for service in self._service_names:
            count = self._table.free_slots(service, now)
            if self._shared.lifecycle.draining:
                count = 0
            free[service] = count
            queued[service] = self._queues.queued(service)
            spare_capacity = self._queues.spare_capacity(service, count, now)
            for name, spare in spare_capacity.items():
                free[f"{service}/{name}"] = spare
        return free, queued

    # Changes of VMs, settings and leases

    def _is_ready(self):
        return (
            self._shared.settings.loaded
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
        self._held_endpoints.on_vms()

    def _on_settings(self):
        tree = self._shared.settings.tree
        weights = _tree_settings.team_weights(tree)
        now = anyio.current_time()
        services = []
        for path in tree.paths("/services"):
            values = tree.values(path)
            if values is None:
                continue
            services.append(values)
            name = path.removeprefix("/services/")
            config = _tree_settings.service_config(values, weights)
            self._queues.configure(name, config, now)
            self._service_names.add(name)
        self._table.configure(
            _tree_settings.routing_config(tree.values("/"), services)
        )
        self._on_slots_changed()

    def _on_slots_changed(self):
        now = anyio.current_time()
        for service in self._service_names:
            self._queues.set_slots(service, self._table.slots(service), now)
        self._request_handler.dispatch_all_queued()

    def _attempt_timeout_s(self, service):
        values = self._shared.settings.tree.values(f"/services/{service}")
        if values is None:
            values = self._shared.settings.tree.values("/")
        return values["request.attempt_timeout_ms"] / 1000


def main():
    """Run ``citrondeal-gateway``."""
    runtime.run_program(Gateway, settings.GatewayConfig, "citrondeal-gateway")


if __name__ == "__main__":
    main()
