"""Settings files of the daemons: INI, validated into frozen dataclasses."""

from citrondeal.config import _load
from citrondeal.config import _settings

__all__ = [
    "Address",
    "ConfigError",
    "GatewayConfig",
    "Problem",
    "SchedulerConfig",
    "check",
    "main_guard",
    "sample_path",
]

Address = _settings.Address
ConfigError = _load.ConfigError
GatewayConfig = _settings.GatewayConfig
Problem = _load.Problem
SchedulerConfig = _settings.SchedulerConfig
check = _load.check
main_guard = _load.main_guard
sample_path = _load.sample_path
