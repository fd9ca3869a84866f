"""HTTP client for the platform's backend servers: requests, streams, load orders and reports."""

import asyncio
import math
from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    BackendServerFailed,
    BackendServerUnreachable,
    RequestUnsendable,
    Undecodable,
)
from verbenawind.gateway import Attempt, Instance
from verbenawind.gateway.events import EventReader, StreamEvent
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.http_syntax import parse_decimal
from verbenawind.kernel.wire_types import Count
from verbenawind.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    EXPECT_INSTANCE_HEADER,
    EXPECT_VERSION_HEADER,
    INSTANCE_HEADER,
    LAST_EVENT_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    NOT_RUN_HEADER,
    SIGNATURE_HEADER,
    VERSION_HEADER,
)
from verbenawind.plugins.http1_client import Header, Http1Client, Http1Request, Http1Response
from verbenawind.weights.load_scheduler import EngineReport
from verbenawind.weights.rolling import LoadOrder, OrderAnswer, OrderReply, SwapMode

__all__ = ["HttpAnswer", "HttpBackends"]

# The server at this address is another instance, or has other weights than expected.
_MISDIRECTED_REQUEST = 421
_MS = 1000
_ORDER_PATH = "/api/order"

# Headers that are set anew for each send and are not copied from the caller's request.
_REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        ATTEMPT_HEADER,
        DEADLINE_HEADER,
        EXPECT_INSTANCE_HEADER,
        EXPECT_VERSION_HEADER,
        LAST_EVENT_HEADER,
    )
)

_SWAP_MODE_NAMES = {
    # Generations in progress continue with the new weights.
    SwapMode.IN_PLACE: "retain",
    # Despite the name nothing is polled: generations in progress finish before the load.
    SwapMode.DRAIN: "long_poll",
}


class HttpAnswer:
    """A backend server's response; implements the BackendResponse port."""

    __slots__ = ("_reader", "_response", "headers", "status")

    def __init__(self, response: Http1Response) -> None:
        self._response = response
        self._reader = EventReader(VERSION_HEADER.lower())
        self.status = response.status
        self.headers: Sequence[Header] = response.headers

    @property
    def refused(self) -> bool:
        """Whether the server reports that it did not run the request."""
        return (
            self._response.header(NOT_RUN_HEADER) is not None or self.status == _MISDIRECTED_REQUEST
        )

    @property
    def signed(self) -> bool:
        """Whether the response has the header that backend servers add to their own responses."""
        return self._response.header(SIGNATURE_HEADER) is not None

    @property
    def signature(self) -> str:
        """The server's signature, empty if the response carries none."""
        return self._response.header(SIGNATURE_HEADER) or ""

    @property
    def leaving(self) -> bool:
        """Whether the server announces that it leaves."""
        return _is_leaving(self._response)

    @property
    def limit_per_s(self) -> float | None:
        """The request rate that the server names as its limit, None if it names none."""
        return _limit_per_s(self._response)

    @property
    def answered_by(self) -> str:
        """The id of the server that answered, empty if the response doesn't name it."""
        return self._response.header(INSTANCE_HEADER) or ""

    @property
    def version(self) -> int | None:
        """The weight version at the start of the response, None if it is not given."""
        return parse_decimal(self._response.header(VERSION_HEADER) or "")

    async def chunk(self) -> bytes:
        """Return the next chunk of the body, empty at its end."""
        return await self._response.chunk()

    async def events(self) -> Sequence[StreamEvent] | None:
        """Return the next complete events, or None after the last one.

        Raises:
            BackendServerFailed: The stream ended in the middle of an event.
        """
        while True:
            data = await self._response.chunk()
            if not data:
                if self._reader.pending:
                    raise BackendServerFailed("the stream ended in the middle of an event")
                return None
            if events := self._reader.feed(data):
                return events

    def close(self) -> None:
        """Close the connection, so that the server stops working on the request."""
        self._response.close()


class _WireModel(msgspec.Struct):
    name: str
    version: Count


class _WireReport(msgspec.Struct, rename="kebab"):
    """An engine's report, which may be a few hundred ms old.

    ``busy`` is true while the engine carries out a load order; ``seq`` counts accepted orders.
    """

    models: list[_WireModel] = []
    busy: bool = False
    seq: Count = 0
    num_running: Count = 0
    num_waiting: Count = 0


class HttpBackends:
    """Sends requests and load orders to backend servers over HTTP.

    Args:
        client: HTTP client.
        clock: Time source.
        holder: Name of this host as the lease holder in load orders.
    """

    __slots__ = ("_client", "_clock", "_holder", "_log")

    def __init__(self, client: Http1Client, clock: Clock, holder: str) -> None:
        self._client = client
        self._clock = clock
        self._holder = holder
        self._log = structlog.get_logger("backends")

    async def send(self, instance: Instance, attempt: Attempt) -> HttpAnswer:
        """Send a request and return the response once its head has arrived."""
        request = attempt.request
        headers = [
            ("Host", request.host),
            *(
                (name, value)
                for name, value in request.headers
                if name.lower() not in _REPLACED_HEADERS
            ),
            (ATTEMPT_HEADER, request.request_id),
            (DEADLINE_HEADER, str(max(1, int(attempt.remaining_s * _MS)))),
            (EXPECT_INSTANCE_HEADER, instance.instance_id),
        ]
        if attempt.resume_after is not None:
            headers.append((LAST_EVENT_HEADER, str(attempt.resume_after)))
        if attempt.expect_version is not None:
            headers.append((EXPECT_VERSION_HEADER, str(attempt.expect_version)))
        response = await self._client.send(
            instance.address,
            Http1Request(
                method=request.method,
                target=request.target,
                headers=headers,
                body=request.body,
                echo=(ATTEMPT_HEADER, request.request_id),
            ),
            fresh=attempt.fresh_connection,
        )
        try:
            await response.head()
        except BaseException:
            response.close()
            raise
        return HttpAnswer(response)

    async def order(self, instance: Instance, order: LoadOrder, timeout_s: float) -> OrderReply:
        """Order an engine to load a version.

        The answer is UNREACHABLE if the order was not sent, and UNKNOWN if no response arrived
        after it may have been.
        """
        body = {
            "op-type": "version",
            "model": order.model,
            "version": order.version,
            "mode": _SWAP_MODE_NAMES[order.mode],
            "holder": self._holder,
            "fencing-token": order.fencing_number,
        }
        if order.expected_orders is not None:
            body["expect"] = order.expected_orders
        request = Http1Request(
            method="POST",
            target=_ORDER_PATH,
            headers=[
                ("Host", instance.address),
                ("Content-Type", "application/json"),
                (EXPECT_INSTANCE_HEADER, instance.instance_id),
            ],
            body=msgspec.json.encode(body),
        )
        response: Http1Response | None = None
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.send(instance.address, request)
                await response.head()
                await response.body()
        except (BackendServerUnreachable, RequestUnsendable) as error:
            return OrderReply(answer=OrderAnswer.UNREACHABLE, detail=error.message)
        except (BackendServerFailed, TimeoutError) as error:
            if response is not None:
                response.close()
            return OrderReply(answer=OrderAnswer.UNKNOWN, detail=repr(error))
        return OrderReply(
            answer=_ANSWER_BY_STATUS.get(response.status, OrderAnswer.REFUSED),
            detail=str(response.status),
            leaving=_is_leaving(response),
            limit_per_s=_limit_per_s(response),
        )

    async def report(self, instance: Instance, timeout_s: float) -> EngineReport | None:
        """Fetch an engine's report; None if the engine gave no valid one in time."""
        request = Http1Request(
            method="GET",
            target="/api/report",
            headers=[("Host", instance.address), (EXPECT_INSTANCE_HEADER, instance.instance_id)],
        )
        response: Http1Response | None = None
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._client.send(instance.address, request)
                await response.head()
                wire = decode_json(await response.body(), _WireReport)
        except (
            BackendServerUnreachable,
            BackendServerFailed,
            RequestUnsendable,
            TimeoutError,
            Undecodable,
        ) as error:
            if response is not None:
                response.close()
            self._log.info("report_missing", server=instance.instance_id, error=repr(error))
            return None
        return EngineReport(
            versions={model.name: model.version for model in wire.models},
            changing=wire.busy,
            orders_accepted=wire.seq,
            running=wire.num_running,
            waiting=wire.num_waiting,
            leaving=_is_leaving(response),
            limit_per_s=_limit_per_s(response),
        )


def _is_leaving(response: Http1Response) -> bool:
    return (response.header(LEAVING_HEADER) or "").strip() == "1"


def _limit_per_s(response: Http1Response) -> float | None:
    """Return the limit that a response names, NaN for one that is no decimal number."""
    value = response.header(LIMIT_HEADER)
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return math.nan


_ANSWER_BY_STATUS = {
    200: OrderAnswer.HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.BUSY,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.OTHER_INSTANCE,
}
