"""Start-up checks: report each wrong setting with a check id, its value and how to correct it."""

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from pathlib import Path
from urllib.parse import urlsplit

from result import Err, Ok, Result

from fireflybridge_core import parse_address
from fireflybridge_daemon._settings import Settings, name_flag, name_variable

MIN_KEY_BYTES = 16
TRUE_VALUES = ("1", "true", "yes")
FALSE_VALUES = ("0", "false", "no", "")


@dataclass(frozen=True, slots=True)
class SettingFault:
    """Wrong setting: check id, name, value as given, and how to correct it."""

    check: str
    setting: str
    value: str
    hint: str

    def __str__(self) -> str:
        names = f"{name_flag(self.setting)} ({name_variable(self.setting)})"
        return f"{self.check}: {names} is {self.value!r}; {self.hint}"


def check_settings(raw: Mapping[str, str | bool]) -> Result[Settings, tuple[SettingFault, ...]]:
    """Convert and check all settings; report every fault at once."""
    faults: list[SettingFault] = []
    values: dict[str, object] = {}
    for field in fields(Settings):
        if field.name not in raw:
            continue
        converted = _convert(field.name, str(field.type), raw[field.name])
        if isinstance(converted, SettingFault):
            faults.append(converted)
        else:
            values[field.name] = converted
    for required in ("name", "failure_domain", "platform_url"):
        if not raw.get(required):
            faults.append(SettingFault("FB101", required, "", "give a value; there is no default"))
            values[required] = ""
    settings = Settings(**values)  # type: ignore[arg-type]
    reported = {fault.setting for fault in faults}
    faults.extend(fault for fault in _check_values(settings) if fault.setting not in reported)
    return Err(tuple(faults)) if faults else Ok(settings)


def _convert(name: str, kind: str, value: str | bool) -> str | int | float | bool | SettingFault:
    if isinstance(value, bool):
        return value
    try:
        match kind:
            case "int" | "<class 'int'>":
                return int(value)
            case "float" | "<class 'float'>":
                return float(value)
            case "bool" | "<class 'bool'>":
                return _convert_bool(value)
            case _:
                return value
    except ValueError:
        return SettingFault("FB102", name, value, f"give a value of type {kind}")


def _convert_bool(value: str) -> bool:
    if value.lower() in (*TRUE_VALUES, *FALSE_VALUES):
        return value.lower() in TRUE_VALUES
    raise ValueError(value)


def _check_values(settings: Settings) -> list[SettingFault]:
    checks: tuple[tuple[str, str, Callable[[], str]], ...] = (
        ("FB103", "platform_url", lambda: _check_url(settings.platform_url)),
        ("FB104", "callers_address", lambda: _check_address(settings.callers_address)),
        ("FB104", "operators_address", lambda: _check_address(settings.operators_address)),
        ("FB104", "peer_address", lambda: _check_address(settings.peer_address)),
        ("FB105", "peer_key_file", lambda: _check_peer_key(settings)),
        ("FB106", "insecure_peers", lambda: _check_insecure_peers(settings)),
        ("FB107", "log_form", lambda: _check_choice(settings.log_form, "json", "terminal")),
        ("FB107", "log_level", lambda: _check_level(settings.log_level)),
        ("FB108", "trace_ratio", lambda: _check_share(settings.trace_ratio)),
        ("FB109", "log_retention_s", lambda: _check_log_retention(settings)),
        ("FB112", "callers_address", lambda: _check_bindable(settings.callers_address)),
        ("FB112", "operators_address", lambda: _check_bindable(settings.operators_address)),
        ("FB112", "peer_address", lambda: _check_bindable(settings.peer_address)),
        ("FB113", "operators_address", lambda: _check_distinct(settings)),
        ("FB110", "trace_url", lambda: settings.trace_url and _check_url(settings.trace_url)),
    )
    faults = [
        SettingFault(check, name, str(getattr(settings, name)), hint)
        for check, name, find_hint in checks
        if (hint := find_hint())
    ]
    return faults + [
        SettingFault("FB111", field.name, str(value), hint)
        for field in fields(Settings)
        if isinstance(value := getattr(settings, field.name), int | float)
        and not isinstance(value, bool)
        and field.name not in ("trace_ratio", "log_retention_s")
        and (hint := _check_positive(value, may_be_zero=field.name == "drain_delay_s"))
    ]


def _check_positive(value: float, *, may_be_zero: bool) -> str:
    is_valid = 0 < value < float("inf") or (may_be_zero and value == 0)
    return "" if is_valid else "give a positive number" + " or 0" * may_be_zero


def _check_url(url: str) -> str:
    try:
        parts = urlsplit(url)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        is_valid = False
    return "" if is_valid else "give a URL such as http://10.0.0.5:8090"


def _check_address(address: str) -> str:
    try:
        parse_address(address)
    except ValueError:
        return "give an IP address and a port such as 10.0.0.7:8080 or [2001:db8::7]:8080"
    return ""


def _check_bindable(address: str) -> str:
    """Try to listen on the address; one that does not parse is reported by another check."""
    if _check_address(address):
        return ""
    wanted = parse_address(address)
    try:
        socket.create_server((wanted.ip, wanted.port), family=wanted.family).close()
    except OSError as error:
        return f"free the address, or give one of this host ({error.strerror or error})"
    return ""


def _check_distinct(settings: Settings) -> str:
    addresses = (settings.callers_address, settings.operators_address, settings.peer_address)
    fixed = [address for address in addresses if not address.endswith(":0")]
    is_distinct = len(set(fixed)) == len(fixed)
    return "" if is_distinct else "give callers, operators and peers an address each"


def _check_peer_key(settings: Settings) -> str:
    if not settings.peer_key_file:
        return "" if settings.insecure_peers else "name a key file, or set --insecure-peers"
    try:
        size = len(Path(settings.peer_key_file).read_bytes().strip())
    except OSError as error:
        return f"make the file readable ({error.strerror})"
    return "" if size >= MIN_KEY_BYTES else f"put at least {MIN_KEY_BYTES} bytes in the file"


def _check_insecure_peers(settings: Settings) -> str:
    if not settings.insecure_peers or _check_address(settings.peer_address):
        return ""
    if parse_address(settings.peer_address).is_loopback:
        return ""
    return "use a key file unless --peer-address is on loopback"


def _check_choice(value: str, *choices: str) -> str:
    return "" if value in choices else f"use one of {', '.join(choices)}"


def _check_level(level: str) -> str:
    return _check_choice(level, "debug", "info", "warning", "error")


def _check_share(share: float) -> str:
    return "" if 0 <= share <= 1 else "give a share between 0 and 1"


def _check_log_retention(settings: Settings) -> str:
    if settings.log_retention_s == 0 or settings.log_retention_s > settings.retention_s:
        return ""
    return "the log must keep records longer than --retention-s; lower that setting"
