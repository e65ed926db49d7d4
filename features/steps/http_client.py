"""Steps on the HTTP client that hosts use."""

from typing import NoReturn
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context

from fireflybridge_http import Connection, ExchangeError, Request


class ClosedStream:
    """A connection whose socket the event loop has dropped."""

    def extra(self, attribute: object) -> NoReturn:
        """Fail as a closed transport does."""
        raise AttributeError("'NoneType' object has no attribute 'getpeername'")

    async def aclose(self) -> None:
        """Close nothing."""


async def connect_closed(host: str, port: int) -> ClosedStream:
    """Return a connection that is already closed."""
    return ClosedStream()


@when("a request is sent on a connection whose socket is dropped as soon as it is open")
def exchange_closed(context: Context) -> None:
    async def exchange() -> None:
        try:
            await Connection("127.0.0.1:1").exchange(Request("GET", "/"), 1.0)
        except ExchangeError as error:
            context.error = error

    with mock.patch.object(anyio, "connect_tcp", connect_closed):
        anyio.run(exchange)


@then('the exchange has failed at "{step}" and may not have run')
def check_failure(context: Context, step: str) -> None:
    assert context.error.step == step, context.error
    assert not context.error.may_have_run
