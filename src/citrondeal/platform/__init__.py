"""Adapter to the users' platform, the only package that knows its names."""

from citrondeal.platform import _access
from citrondeal.platform import _config_check
from citrondeal.platform import _ingress
from citrondeal.platform import _keys
from citrondeal.platform import _names
from citrondeal.platform import _records
from citrondeal.platform import _runners
from citrondeal.platform import _settings
from citrondeal.platform import _store
from citrondeal.platform import _tickets

__all__ = [
    "AccessPolicy",
    "Batch",
    "CONFIG_KEY",
    "Catalog",
    "Finding",
    "LeaseRenewal",
    "OPERATOR_TOPIC",
    "MAX_WAITING_APPENDS_S",
    "Producer",
    "Queue",
    "Record",
    "RecordError",
    "RunnerClient",
    "Settings",
    "SettingsError",
    "StoreClient",
    "TicketClient",
    "TicketGrant",
    "WORKERS_TOPIC",
    "build_app",
    "check_config",
    "config_differences",
    "decode_catalog",
    "decode_worker",
    "outcome_after_repeat",
    "read_settings",
    "redact_keys",
    "settings_path",
    "step_name",
]

# Topics that the operator and the runners write, and the key of the
# configuration in the operator's topic.
OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
CONFIG_KEY = "config"

AccessPolicy = _access.AccessPolicy
redact_keys = _keys.redact
Finding = _config_check.Finding
check_config = _config_check.check
config_differences = _config_check.differences
build_app = _ingress.build_app
step_name = _names.step_name
Catalog = _records.Catalog
Queue = _records.Queue
RecordError = _records.RecordError
decode_catalog = _records.decode_catalog
decode_worker = _records.decode_worker
LeaseRenewal = _runners.LeaseRenewal
RunnerClient = _runners.RunnerClient
outcome_after_repeat = _runners.outcome_after_repeat
Settings = _settings.Settings
SettingsError = _settings.SettingsError
Batch = _store.Batch
MAX_WAITING_APPENDS_S = _store.MAX_WAITING_APPENDS_S
Producer = _store.Producer
Record = _store.Record
StoreClient = _store.StoreClient
TicketClient = _tickets.TicketClient
TicketGrant = _tickets.TicketGrant
read_settings = _settings.read
settings_path = _settings.path
