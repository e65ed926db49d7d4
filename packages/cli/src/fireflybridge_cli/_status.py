"""The status command: query the status of daemons."""

from collections.abc import Mapping
from typing import Any

import anyio
from result import Err, Ok

from fireflybridge_cli._client import Client, Exchange, Response
from fireflybridge_cli._commands import Status
from fireflybridge_cli._report import ExitCode, Report, Row


async def show_status(command: Status) -> Report:
    """Query all daemons concurrently and report a row for each."""
    exchanges: dict[str, Exchange] = {}

    async def query(address: str) -> None:
        async with Client(f"http://{address}", command.timeout_s) as client:
            exchanges[address] = await client.fetch_status()

    async with anyio.create_task_group() as group:
        for address in command.operators:
            group.start_soon(query, address)
    rows = [_make_row(address, exchanges[address]) for address in command.operators]
    unanswered = sum(not _is_answered(exchange) for exchange in exchanges.values())
    details = {
        "daemons": {
            address: exchange.ok_value.data
            for address, exchange in exchanges.items()
            if isinstance(exchange, Ok)
        }
    }
    message = f"{len(exchanges) - unanswered} of {len(exchanges)} daemons answered"
    return Report(ExitCode.NOT_DONE if unanswered else ExitCode.OK, message, rows, details)


def _is_answered(exchange: Exchange) -> bool:
    return isinstance(exchange, Ok) and exchange.ok_value.status == 200


def _make_row(address: str, exchange: Exchange) -> Row:
    match exchange:
        case Ok(Response(200, data)):
            return {"operators": address, "answer": "ok", **_replace_collections(data)}
        case Ok(Response(status)):
            return {"operators": address, "answer": f"status {status}"}
        case Err(error):
            return {"operators": address, "answer": error.detail}


def _replace_collections(data: Mapping[str, Any]) -> Mapping[str, Any]:
    """Replace each list and map by its size."""
    return {
        name: len(value) if isinstance(value, list | dict) else value
        for name, value in data.items()
    }
