"""Configuration in force: routes and limits, whose version only ever increases."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from fireflybridge_jobs import RoutePolicy
from fireflybridge_leadership import Notifier, StoreError

RETRY_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class Route:
    """Match jobs by the host name and path prefix of their URL, and define their policy."""

    host_name: str
    path_prefix: str
    policy: RoutePolicy


@dataclass(frozen=True, slots=True)
class Limits:
    """Limit the size and the duration of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the routes and limits."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits


class ConfigurationSource(Protocol):
    """Read the configuration; raises ``StoreError`` when the store can't be reached."""

    async def read_newest(self) -> Configuration | None:
        """Return the newest configuration, or None before the first."""
        ...

    async def wait_for_change(self) -> Configuration | None:
        """Return a configuration published since the last read, or None after a timeout."""
        ...


class RouteTable:
    """Keep the newest configuration and find routes in it."""

    def __init__(self) -> None:
        self.changed = Notifier()
        self.configuration: Configuration | None = None
        self._by_host_name: dict[str, tuple[Route, ...]] = {}

    def put(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is older than the current one."""
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        host_names = {route.host_name for route in configuration.routes}
        self._by_host_name = {name: _select_routes(configuration, name) for name in host_names}
        self.changed.notify()
        return True

    def find(self, host_name: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
        routes = self._by_host_name.get(host_name.lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    async def follow(
        self,
        source: ConfigurationSource,
        on_change: Callable[[Configuration, float], None],
        on_error: Callable[[StoreError], None],
    ) -> None:
        """Put each newer configuration in force until cancelled."""
        read: Callable[[], Awaitable[Configuration | None]] = source.read_newest
        while True:
            started_s = time.monotonic()
            try:
                found = await read()
                read = source.wait_for_change
            except StoreError as error:
                on_error(error)
                read = source.read_newest
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if found is not None and self.put(found):
                on_change(found, time.monotonic() - started_s)


def _select_routes(configuration: Configuration, host_name: str) -> tuple[Route, ...]:
    routes = (route for route in configuration.routes if route.host_name == host_name)
    return tuple(sorted(routes, key=lambda route: len(route.path_prefix), reverse=True))
