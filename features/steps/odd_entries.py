"""Steps that put entries of another writer into the directory and read it as a host does."""

import base64
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import anyio
from behave import then, when
from behave.runner import Context
from support.odd_entries import (
    GOOD_ENTRY,
    ODD_CONTENTS,
    encode_capacity,
    encode_content,
    list_false_contents,
    list_odd_contents,
)

from fireflybridge_adapter._directory import TOPIC, LogDirectorySource
from fireflybridge_adapter._store import LogClient, Records
from fireflybridge_http import ConnectionPool, Request, Response
from fireflybridge_leadership import StoreError
from fireflybridge_standins.site._service import Site

OVERWRITE_INTERVAL_S = 0.25  # shorter than the interval at which a leader reads the directory
UNUSABLE_ADDRESSES = ("127.0.0.1:1", "0.0.0.0:1", "255.255.255.255:80", "224.0.0.1:80")


@asynccontextmanager
async def serve_store(site: Site) -> AsyncIterator[None]:
    """Answer every call to the store from a site."""

    async def exchange(_pool: ConnectionPool, request: Request, _timeout_s: float) -> Response:
        return await site.handle_store(request)

    with mock.patch.object(ConnectionPool, "exchange", exchange):
        yield


async def check_reads(content: bytes) -> None:
    """Check a host that starts beside an odd entry, and one that reads it as a change."""
    site = Site()
    site.put(TOPIC, "u1", GOOD_ENTRY)
    async with serve_store(site):
        running = LogDirectorySource(LogClient("10.0.0.9:1"))
        await check_listed(running, {"u1"})
        site.get_topic(TOPIC).append([content])
        await check_listed(running, {"u1"})
        starting = LogDirectorySource(LogClient("10.0.0.9:1"))
        await check_listed(starting, {"u1"})
        site.put(TOPIC, "u2", GOOD_ENTRY)
        for source in (running, starting):
            await check_listed(source, {"u1", "u2"})


async def check_listed(source: LogDirectorySource, expected: set[str]) -> None:
    upstreams = await source.refresh()
    assert upstreams.keys() == expected, upstreams


@then('a directory with an entry with "{oddity}" lists the other upstreams and follows changes')
def check_odd_entry(context: Context, oddity: str) -> None:
    anyio.run(check_reads, ODD_CONTENTS[oddity])


ODD_PAGE_KEYS: dict[str, bytes] = {
    "bytes": b'"\xff\xfe"',
    "a lone surrogate": b'"\\udcff"',
    "a number": b"7",
}


@then("a page of the directory with a key of {oddity} lists the other upstreams")
def check_odd_page(context: Context, oddity: str) -> None:
    anyio.run(check_page, ODD_PAGE_KEYS[oddity])


async def check_page(key: bytes) -> None:
    value = base64.b64encode(GOOD_ENTRY)
    keys = (b'"u1"', key, b'"u2"')
    items = b",".join(b'{"key":%s,"offset":3,"value":"%s"}' % (item, value) for item in keys)

    async def exchange(*_: object) -> Response:
        return Response(200, b'{"items":[%s],"has_more":false,"end":9}' % items)

    with mock.patch.object(ConnectionPool, "exchange", exchange):
        await check_listed(LogDirectorySource(LogClient("10.0.0.9:1")), {"u1", "u2"})


RECORDS_HEAD = struct.pack(">QQ", 7, 0)
CONTENT = encode_content(b"u1", GOOD_ENTRY)
RECORD = struct.pack(">I", len(CONTENT)) + CONTENT
CUT_RECORD = RECORD[:-1]


async def read_records(body: bytes) -> Records:
    async def exchange(*_: object) -> Response:
        return Response(200, RECORDS_HEAD + body)

    with mock.patch.object(ConnectionPool, "exchange", exchange):
        return await LogClient("10.0.0.9:1").read_since(TOPIC, 5, 0)


@then("a read of two records of which the second is cut off ends before that one")
def check_cut_after_record(context: Context) -> None:
    read = anyio.run(read_records, RECORD + CUT_RECORD)
    assert [record.value for record in read.records] == [GOOD_ENTRY], read
    assert read.end == 6, read


@then("a read of one record that is cut off gives no usable response")
def check_cut_record(context: Context) -> None:
    try:
        read = anyio.run(read_records, CUT_RECORD)
    except StoreError:
        return
    raise AssertionError(f"the record was read: {read}")


@when("another writer puts odd entries into the directory")
def put_odd_entries(context: Context) -> None:
    for content in list_odd_contents():
        context.deployment.append(TOPIC, content)


@when("another writer puts entries without upstreams at their addresses into the directory")
def put_false_entries(context: Context) -> None:
    deployment = context.deployment
    upstream = deployment.control("state")["addresses"]["u-z1-0"]
    addresses = (*UNUSABLE_ADDRESSES, upstream, deployment.site.ready["store"])
    for content in list_false_contents(addresses):
        deployment.append(TOPIC, content)


@when("all hosts are killed and start again")
def restart_hosts(context: Context) -> None:
    deployment = context.deployment
    for host in deployment.hosts.values():
        host.kill()
    for name in list(deployment.hosts):
        deployment.start_host(name)


@when("jobs are submitted while another writer overwrites an entry by one with a huge capacity")
def submit_beside_overwrites(context: Context) -> None:
    deployment = context.deployment
    address = deployment.control("state")["addresses"]["u-z2-0"]
    entry = encode_capacity(b"9" * 400, addr=address, zone="z2")
    content = encode_content(b"u-z2-0", entry)
    for host in 4 * tuple(deployment.hosts):
        deployment.append(TOPIC, content)
        context.jobs.append((host, deployment.submit_later(host, 2)))
        time.sleep(OVERWRITE_INTERVAL_S)


@then("every host is running and has logged no unexpected error")
def check_undisturbed(context: Context) -> None:
    deployment = context.deployment
    for name, host in deployment.hosts.items():
        assert host.is_running(), name
        errors = deployment.read_events(name, 7501)
        assert not errors, (name, errors[0])
