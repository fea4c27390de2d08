"""Lease groups with one rule broken, to check that tests find the fault."""

from citrondeal import ownership


class _EpochOnlyTable(ownership.LeaseTable):
    def _is_claimable(self, resource, epoch, expected_offset):
        lease = self.leases.get(resource)
        return lease is None or epoch == lease.epoch + 1


class _LastClaimTable(ownership.LeaseTable):
    def _is_claimable(self, resource, epoch, expected_offset):
        return True


class _NoSequenceTable(ownership.LeaseTable):
    def _is_new(self, offset, heartbeat):
        super()._is_new(offset, heartbeat)
        return True


def _with_table(table_class):
    class Mutated(ownership.LeaseGroup):
        def __init__(self, zone, role, *args):
            super().__init__(zone, role, *args)
            self._table = table_class(role)

    return Mutated


class _ValidFromReadTime(ownership.LeaseGroup):
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


class _UsedDuringPromise(_PromiseRestores):
    def _usable_from(self, now):
        return now


class _UnlistedClaimsEarly(ownership.LeaseGroup):
    def _may_claim_early(self, lease):
        return True


class _AddressIgnored(ownership.LeaseGroup):
    def _may_claim_early(self, lease):
        return self._process in lease.early_claimants


class _OnlyReadBackMembers(ownership.LeaseGroup):
    def _update_pending_members(self):
        self._pending_members = set()


class _DriftIgnored(ownership.LeaseGroup):
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


class _AgeMissing(ownership.LeaseGroup):
    def _due_releases(self, now):
        releases = super()._due_releases(now)
        return {name: [item[0], None] for name, item in releases.items()}


class _HoldersForgotten(ownership.LeaseGroup):
    """Forgets after a replacement of the log that there may be holders."""

    def _on_log_replaced(self, now):
        pass


class _UnknownHoldersPromised(ownership.LeaseGroup):
    """Grants promises to holders that only an earlier log names."""

    def grant_promise(self, *args):
        until = self._unknown_holders_until
        self._unknown_holders_until = float("-inf")
        result = super().grant_promise(*args)
        self._unknown_holders_until = until
        return result


class _ClaimsAtOnce(ownership.LeaseGroup):
    """Claims at once after a replacement, what it may not use yet."""

    def _may_have_unknown_holders(self, now):
        return False


class _NeverClaims(ownership.LeaseGroup):
    def _due_claims(self, now):
        return {}


def _replace(config, **fields):
    values = {name: getattr(config, name) for name in config.__slots__}
    changed = object.__new__(ownership.Config)
    for name, value in {**values, **fields}.items():
        object.__setattr__(changed, name, value)
    return changed


MUTATIONS = {
    "validity from read time": _ValidFromReadTime,
    "claim without compare-and-set": _with_table(_EpochOnlyTable),
    "last claim wins": _with_table(_LastClaimTable),
    "sequence numbers ignored": _with_table(_NoSequenceTable),
    "promise ignored": _PromiseIgnored,
    "promise restores validity": _PromiseRestores,
    "claim used while a promise is running": _UsedDuringPromise,
    "unlisted process claims early": _UnlistedClaimsEarly,
    "listed by name at another address": _AddressIgnored,
    "only the list read back is asked": _OnlyReadBackMembers,
    "clock drift ignored": _DriftIgnored,
    "claim without wait": _NoWait,
    "promises without limit": _NoOutageLimit,
    "valid while releasing": _ValidWhileReleasing,
    "age missing in release": _AgeMissing,
    "no claims": _NeverClaims,
    "holders forgotten": _HoldersForgotten,
    "unknown holders are promised": _UnknownHoldersPromised,
    "claims at once": _ClaimsAtOnce,
}
