"""Export of spans to an OTLP collector by one task, which never blocks a request."""

from dataclasses import dataclass

import anyio
import httpx

from fireflybridge_telemetry._events import Event, log_event
from fireflybridge_telemetry._metrics import Metrics
from fireflybridge_telemetry._otlp import encode_spans
from fireflybridge_telemetry._spans import EndedSpan

# About 2 MB of spans; more are dropped and counted.
MAX_QUEUED_SPANS = 4096
MAX_BATCH_SPANS = 512
# Time in which a batch fills, so that the collector gets fewer requests.
BATCH_DELAY_S = 0.5
EXPORT_TIMEOUT_S = 2.0
JSON_HEADERS = {"content-type": "application/json"}


@dataclass(frozen=True, slots=True)
class ExportSettings:
    """Hold the collector's URL and the daemon whose spans are exported."""

    url: str
    daemon: str
    incarnation: str


class SpanExporter:
    """Own the queue of ended spans and the task that exports them."""

    def __init__(self, settings: ExportSettings, metrics: Metrics) -> None:
        self._settings = settings
        self._exported = metrics.spans.labels("exported")
        self._dropped = metrics.spans.labels("dropped")
        self._send, self._receive = anyio.create_memory_object_stream[EndedSpan](MAX_QUEUED_SPANS)
        self._failing = False
        self._finished = anyio.Event()

    def emit(self, span: EndedSpan) -> None:
        """Queue a span, or drop and count it when the queue is full or closed."""
        try:
            self._send.send_nowait(span)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            self._dropped.inc()

    async def run(self) -> None:
        """Export batches until ``finish`` has been called and the queue is empty."""
        async with httpx.AsyncClient(timeout=EXPORT_TIMEOUT_S, trust_env=False) as client:
            async for first in self._receive:
                if self._send.statistics().open_send_streams:
                    await anyio.sleep(BATCH_DELAY_S)
                await self._export(client, self._collect_batch(first))
        self._finished.set()

    async def finish(self, limit_s: float) -> None:
        """Accept no more spans, and wait up to ``limit_s`` seconds until the queue is exported."""
        self._send.close()
        with anyio.move_on_after(limit_s):
            await self._finished.wait()

    def _collect_batch(self, first: EndedSpan) -> list[EndedSpan]:
        batch = [first]
        try:
            while len(batch) < MAX_BATCH_SPANS:
                batch.append(self._receive.receive_nowait())
        except (anyio.WouldBlock, anyio.EndOfStream):
            pass
        return batch

    async def _export(self, client: httpx.AsyncClient, batch: list[EndedSpan]) -> None:
        settings = self._settings
        body = encode_spans(settings.daemon, settings.incarnation, batch)
        try:
            response = await client.post(settings.url, content=body, headers=JSON_HEADERS)
            fault = "" if response.is_success else f"status {response.status_code}"
        except httpx.HTTPError as error:
            fault = type(error).__name__
        if fault:
            self._dropped.inc(len(batch))
        else:
            self._exported.inc(len(batch))
        self._log_state_change(fault)

    def _log_state_change(self, fault: str) -> None:
        """Log one event when exports begin to fail, and one when they succeed again."""
        if fault and not self._failing:
            log_event(Event.TRACE_EXPORT_FAILED, error=f"{fault} from {self._settings.url}")
        elif self._failing and not fault:
            log_event(Event.TRACE_EXPORT_RESTORED)
        self._failing = bool(fault)
