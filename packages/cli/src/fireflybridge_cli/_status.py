"""Ask daemons for their status."""

from collections.abc import Mapping
from typing import Any

import anyio
from result import Err, Ok

from fireflybridge_cli._client import Client, Exchange, Response
from fireflybridge_cli._commands import Status
from fireflybridge_cli._report import ExitCode, Report, Row


async def show_status(command: Status) -> Report:
    """Ask every daemon at once and report a row for each."""
    exchanges: dict[str, Exchange] = {}

    async def ask(address: str) -> None:
        async with Client(f"http://{address}", command.timeout_s) as client:
            exchanges[address] = await client.fetch_status()

    async with anyio.create_task_group() as group:
        for address in command.operators:
            group.start_soon(ask, address)
    rows = [_make_row(address, exchanges[address]) for address in command.operators]
    silent = sum(not _is_answered(exchange) for exchange in exchanges.values())
    details = {
        "daemons": {
            address: exchange.ok_value.data
            for address, exchange in exchanges.items()
            if isinstance(exchange, Ok)
        }
    }
    message = f"{len(exchanges) - silent} of {len(exchanges)} daemons answered"
    return Report(ExitCode.NOT_DONE if silent else ExitCode.OK, message, rows, details)


def _is_answered(exchange: Exchange) -> bool:
    return isinstance(exchange, Ok) and exchange.ok_value.status == 200


def _make_row(address: str, exchange: Exchange) -> Row:
    match exchange:
        case Ok(Response(200, data)):
            return {"operators": address, "answer": "ok", **_flatten(data)}
        case Ok(Response(status)):
            return {"operators": address, "answer": f"status {status}"}
        case Err(error):
            return {"operators": address, "answer": error.detail}


def _flatten(data: Mapping[str, Any]) -> Mapping[str, Any]:
    """Keep plain values, and show the size of a list or map."""
    return {
        name: len(value) if isinstance(value, list | dict) else value
        for name, value in data.items()
    }
