"""Checks a configuration of the platform before it is sent.

The checks look for entries that decode but have no effect, or not the one
that their author expects.  No finding contains a key of an account.
"""

import collections
import dataclasses
import json
import re

import msgspec

from citrondeal.platform import _keys
from citrondeal.platform import _records

# A ticket is used only while it is valid for this much longer, see
# `workflow._tickets.VALIDITY_MARGIN_S`.
MIN_TICKET_VALID_MS = 300
# Bodies beyond this size are refused whatever the configuration allows.
MAX_BODY_BYTES = 262144
ID_DIGITS = 16


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    spare: bool = False


class _Advice(msgspec.Struct, rename="kebab"):
    valid_ms: float | None = None


class _Route(msgspec.Struct, rename="kebab"):
    advice: _Advice | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 0
    header_timeout_ms: float = 0.0
    idle_timeout_ms: float = 0.0


class _CheckedFields(msgspec.Struct, rename="kebab"):
    """Fields that the program does not read, or checks less strictly."""

    services: list[_Service] = []
    routes: list[_Route] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_CHECKED_DECODER = msgspec.json.Decoder(_CheckedFields)
_ID_PREFIX = re.compile(r"[0-9a-f]{1,%d}" % ID_DIGITS)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One defect of a configuration.

    Attributes
    ----------
    severity : str
        ``error`` if a part of it cannot work, ``warning`` if it probably
        does something else than intended.
    place : str
        Path of the entry, such as ``routes[2].service``.
    message : str
    """

    severity: str
    place: str
    message: str


def check(data):
    """Return the findings of a configuration.

    Parameters
    ----------
    data : bytes
        Configuration as the operator would store it.

    Returns
    -------
    list of Finding
        Only the first error if it cannot be decoded.
    """
    try:
        catalog = _records.decode_catalog(data)
        _CHECKED_DECODER.decode(data)
    except (_records.RecordError, msgspec.DecodeError) as exc:
        text, _, place = str(exc).partition(" - at ")
        return [Finding("error", place.strip("`") or "$", text)]
    config = json.loads(data)
    findings = []
    for checks in (
        _check_routes,
        _check_services,
        _check_accounts,
        _check_limits,
    ):
        findings += checks(config)
    if not catalog.accounts and any(not q.public for q in catalog.queues):
        findings.append(
            Finding(
                "warning",
                "tenants",
                "there are no accounts, so all calls are served without keys",
            )
        )
    return findings


def _check_routes(config):
    services = {s["name"]: s for s in config.get("services", [])}
    first_of_name, first_of_prefix = {}, {}
    for index, route in enumerate(config["routes"]):
        place = f"routes[{index}]"
        name = route["name"]
        yield from _check_route(route, place, services)
        if name in first_of_name:
            yield Finding(
                "error",
                f"{place}.name",
                f"{name!r} is also the name of {first_of_name[name]}",
            )
        first_of_name.setdefault(name, place)
        prefix = (route["host"], route["path-prefix"])
        if prefix in first_of_prefix:
            yield Finding(
                "error",
                f"{place}.path-prefix",
                "matches no call: it equals that of"
                f" {first_of_prefix[prefix]}",
            )
        first_of_prefix.setdefault(prefix, place)
    yield from _check_prefixes(config["routes"])


def _check_route(route, place, services):
    service = services.get(route["service"])
    if service is None:
        yield Finding(
            "error",
            f"{place}.service",
            f"there is no service {route['service']!r}",
        )
    elif service.get("spare"):
        yield Finding(
            "error",
            f"{place}.service",
            f"the machines of {route['service']!r} are off (`spare`)",
        )
    if route.get("max-attempts", 1) < 1:
        yield Finding(
            "error", f"{place}.max-attempts", "allows no run; at least 1"
        )
    if route.get("stretch", 1.0) < 1.0:
        yield Finding(
            "warning",
            f"{place}.stretch",
            "objectives are shorter than the work itself",
        )
    advice = route.get("advice")
    valid_ms = advice and advice.get("valid-ms")
    if valid_ms is not None and valid_ms <= MIN_TICKET_VALID_MS:
        yield Finding(
            "error",
            f"{place}.advice.valid-ms",
            f"tickets expire before they are used; more than"
            f" {MIN_TICKET_VALID_MS} ms are needed",
        )


def _check_prefixes(routes):
    """Find prefixes that take some of the jobs of a shorter one."""
    for index, route in enumerate(routes):
        for other in routes:
            shorter, longer = other["path-prefix"], route["path-prefix"]
            if (
                other["host"] == route["host"]
                and longer != shorter
                and longer.startswith(shorter)
                and _ID_PREFIX.fullmatch(longer[len(shorter) :])
            ):
                yield Finding(
                    "error",
                    f"routes[{index}].path-prefix",
                    f"takes the jobs of {other['name']!r} whose ids begin"
                    f" with {longer[len(shorter) :]!r}",
                )


def _check_services(config):
    used = {route["service"] for route in config["routes"]}
    names = [service["name"] for service in config.get("services", [])]
    for index, service in enumerate(config.get("services", [])):
        place = f"services[{index}]"
        name = service["name"]
        if name in names[:index]:
            yield Finding("error", f"{place}.name", f"{name!r} stands twice")
        if name not in used and not service.get("spare"):
            yield Finding("warning", place, f"no route leads to {name!r}")


def _check_accounts(config):
    owners = collections.defaultdict(list)
    names = set()
    for index, account in enumerate(config.get("tenants", [])):
        place = f"tenants[{index}]"
        name = account["name"]
        if name in names:
            yield Finding("error", f"{place}.name", f"{name!r} stands twice")
        names.add(name)
        digests = list(_key_digests(account))
        if not digests:
            yield Finding("warning", place, f"{name!r} has no key")
        for key_place, key_digest in digests:
            key_place = f"{place}.{key_place}"
            if key_digest in owners:
                yield Finding(
                    "error",
                    key_place,
                    f"the key stands in {owners[key_digest][0]} too, which"
                    " counts",
                )
            owners[key_digest].append(key_place)
        if account.get("weight", 1.0) == 0:
            yield Finding(
                "error",
                f"{place}.weight",
                f"{name!r} gets nothing while room is short",
            )


def _key_digests(account):
    """Yield the place and the digest of each key, the first one counts."""
    for index, key_digest in enumerate(account.get("key-digests", [])):
        yield f"key-digests[{index}]", key_digest
    for index, key in enumerate(account.get("api-keys", [])):
        yield f"api-keys[{index}]", _keys.digest(key)


def _check_limits(config):
    limits = config.get("limits", {})
    for name, value in limits.items():
        if isinstance(value, (int, float)) and value <= 0:
            yield Finding(
                "warning",
                f"limits.{name}",
                "0 and less have no effect; the default counts",
            )
    if limits.get("max-body-bytes", 0) > MAX_BODY_BYTES:
        yield Finding(
            "warning",
            "limits.max-body-bytes",
            f"bodies over {MAX_BODY_BYTES} bytes are refused nevertheless",
        )
    header_ms = limits.get("header-timeout-ms")
    idle_ms = limits.get("idle-timeout-ms")
    if header_ms and idle_ms and header_ms > idle_ms:
        yield Finding(
            "warning",
            "limits.header-timeout-ms",
            f"{header_ms} ms is longer than idle-timeout-ms, {idle_ms} ms",
        )


def differences(data, earlier):
    """Return in words how a configuration differs from an earlier one.

    Parameters
    ----------
    data, earlier : bytes
        Valid configurations.

    Returns
    -------
    list of str
        One sentence for each difference; empty if there is none.
    """
    new, old = json.loads(data), json.loads(earlier)
    lines = []
    if new["version"] <= old["version"]:
        lines.append(
            f"version {new['version']} is not newer than {old['version']}, so"
            " it would not come into force"
        )
    for section, noun in (
        ("routes", "route"),
        ("services", "service"),
        ("tenants", "account"),
    ):
        lines += _section_differences(
            noun, _by_name(new, section), _by_name(old, section)
        )
    lines += _changes("limits", new.get("limits", {}), old.get("limits", {}))
    return lines


def _by_name(config, section):
    return {entry["name"]: entry for entry in config.get(section, [])}


def _section_differences(noun, new, old):
    for name in sorted(old.keys() - new.keys()):
        yield f"{noun} {name!r} is removed"
    for name in sorted(new.keys() - old.keys()):
        yield f"{noun} {name!r} is added"
    for name in sorted(new.keys() & old.keys()):
        yield from _changes(f"{noun} {name!r}", new[name], old[name])


def _changes(subject, new, old):
    """Yield the fields of an entry that differ, and how many keys do."""
    for field in sorted(new.keys() | old.keys()):
        before, after = old.get(field), new.get(field)
        if before == after:
            continue
        if field in ("api-keys", "key-digests"):
            before, after = set(before or ()), set(after or ())
            yield (
                f"{subject}: {len(after - before)} keys are added,"
                f" {len(before - after)} are withdrawn"
            )
        else:
            yield f"{subject}: {field} changes from {before!r} to {after!r}"
