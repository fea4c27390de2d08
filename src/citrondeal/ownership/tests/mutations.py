"""Groups with one rule broken, to show that the state machine can fail."""

from citrondeal import ownership


class _AnyClaimFold(ownership.LeaseTable):
    def _is_claimable(self, resource, epoch, seen):
        lease = self.leases.get(resource)
        return lease is None or epoch == lease.epoch + 1


class _LastClaimFold(ownership.LeaseTable):
    def _is_claimable(self, resource, epoch, seen):
        return True


class _NoSequenceFold(ownership.LeaseTable):
    def _is_new(self, offset, heartbeat):
        super()._is_new(offset, heartbeat)
        return True


def _with_fold(fold_class):
    class Mutated(ownership.LeaseGroup):
        def __init__(self, zone, role, *args):
            super().__init__(zone, role, *args)
            self._table = fold_class(role)

    return Mutated


class _ReadTime(ownership.LeaseGroup):
    def _validity_start(self, seq, now):
        return now


class _PromiseIgnored(ownership.LeaseGroup):
    def _is_promise_running(self, now):
        return False

    def _usable_from(self, now):
        return now


class _PromiseRestores(ownership.LeaseGroup):
    def _extendable(self, epochs, now):
        return epochs

    def _due_promise_requests(self, now):
        reported = self._reported_epochs
        self._reported_epochs = {
            name: self._table.leases[name].epoch
            for name in self._renewal_sent_at
            if name in self._own_resources
        }
        actions = super()._due_promise_requests(now)
        self._reported_epochs = reported
        return actions


class _UsedEarly(_PromiseRestores):
    def _usable_from(self, now):
        return now


class _NotListed(ownership.LeaseGroup):
    def _may_claim_early(self, lease):
        return True


class _NameOnly(ownership.LeaseGroup):
    def _may_claim_early(self, lease):
        return self._process in lease.early_claimants


class _ReadBackList(ownership.LeaseGroup):
    def _update_pending_members(self):
        self._pending_members = set()


class _NoDrift(ownership.LeaseGroup):
    def __init__(self, *args):
        super().__init__(*args)
        fields = {"drift": 1.0, "lease_margin_s": 0.0}
        self._config = _replace(self._config, **fields)


class _NoWait(ownership.LeaseGroup):
    def _claim_wait_s(self, ttl_s):
        return 0.0

    def _previous_end_bound(self, resource, before):
        return self._read_at[resource]


class _NoOutageLimit(ownership.LeaseGroup):
    def valid_until(self, resource, now):
        config = self._config
        self._config = _replace(config, outage_limit_s=1e6)
        until = super().valid_until(resource, now)
        self._config = config
        return until


class _ValidWhileReleasing(ownership.LeaseGroup):
    def valid_until(self, resource, now):
        releasing, self._releasing = self._releasing, {}
        until = super().valid_until(resource, now)
        self._releasing = releasing
        return until


class _NoAge(ownership.LeaseGroup):
    def _due_releases(self, now):
        releases = super()._due_releases(now)
        return {name: [item[0], None] for name, item in releases.items()}


class _Deaf(ownership.LeaseGroup):
    def _due_claims(self, now):
        return {}


def _replace(config, **fields):
    values = {name: getattr(config, name) for name in config.__slots__}
    changed = object.__new__(ownership.Config)
    for name, value in {**values, **fields}.items():
        object.__setattr__(changed, name, value)
    return changed


MUTATIONS = {
    "validity from read time": _ReadTime,
    "claim without compare-and-set": _with_fold(_AnyClaimFold),
    "last claim wins": _with_fold(_LastClaimFold),
    "sequence numbers ignored": _with_fold(_NoSequenceFold),
    "promise ignored": _PromiseIgnored,
    "promise restores validity": _PromiseRestores,
    "claim used while a promise is running": _UsedEarly,
    "unlisted process claims early": _NotListed,
    "listed by name at another address": _NameOnly,
    "only the list read back is asked": _ReadBackList,
    "clock drift ignored": _NoDrift,
    "claim without wait": _NoWait,
    "promises without limit": _NoOutageLimit,
    "valid while releasing": _ValidWhileReleasing,
    "age missing in release": _NoAge,
    "no claims": _Deaf,
}
