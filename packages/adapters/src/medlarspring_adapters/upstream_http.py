"""Client for requests to upstream VMs; classifies failures by possible delivery."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict
from returns.result import Failure, Result, Success
from yarl import URL

from medlarspring_adapters.upstream_connections import UpstreamConnector
from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from medlarspring_adapters.clock import Clock
    from medlarspring_tables import Seconds

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers, which are never forwarded."""

CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
"""Only the library's connect timeout is used: a second set of timers for each request
costs more than the whole admission."""
STALE_CONNECTION_SECONDS = 5.0
"""For this time after a VM's idle connections were closed, a timeout on a new
connection is attributed to the VM instead of the connection."""
STATE_HEADER = "Upstream-State"
"""Set by an upstream VM that refuses work to the reason: ``full`` or ``leaving``."""
ID_HEADER = "Request-Id"


NO_BODY_STATUSES = frozenset({204, 304})


class DeliveryStatus(Enum):
    """Whether a failed request may have been sent."""

    NOT_SENT = "no"
    """No data was sent, so the request was certainly not run."""
    POSSIBLY_SENT = "perhaps"


@dataclass(slots=True)
class OutgoingRequest:
    """One request to one upstream VM."""

    address: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    header_timeout: Seconds
    """Timeout in seconds for the response headers."""


class UpstreamFault(MedlarspringError):
    """The upstream VM gave no usable answer."""

    code = "upstream"

    def __init__(
        self,
        reached: DeliveryStatus,
        detail: str,
        *,
        timed_out: bool,
        old_connection: bool = False,
    ) -> None:
        super().__init__(reached, detail)
        self.reached = reached
        self.detail = detail
        self.timed_out = timed_out
        self.old_connection = old_connection
        """Whether a stale connection may be the cause instead of the upstream VM."""

    def message(self) -> str:
        """Return what failed and what to do."""
        return f"The upstream VM gave no answer ({self.detail}); check its process."


class UpstreamClient:
    """This process's connections to all upstream VMs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._dropped_at_by_address: dict[str, Seconds] = {}
        self.connector = UpstreamConnector()
        self._pooled = _create_session(self.connector)
        self._fresh = _create_session(
            aiohttp.TCPConnector(limit=0, force_close=True, use_dns_cache=False)
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(
        self, sending: OutgoingRequest, *, fresh: bool
    ) -> Result[aiohttp.ClientResponse, UpstreamFault]:
        """Send a request and return when the response headers have arrived."""
        session = self._fresh if fresh else self._pooled
        began = self._clock.now()
        try:
            async with asyncio.timeout(sending.header_timeout):
                response = await session.request(
                    sending.method,
                    URL(f"http://{sending.address}{sending.target}", encoded=True),
                    headers=sending.headers,
                    data=sending.body or None,
                    allow_redirects=False,
                    timeout=CONNECT_TIMEOUT,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(
                UpstreamFault(DeliveryStatus.NOT_SENT, str(error), timed_out=False)
            )
        except TimeoutError:
            old = not fresh and self._check_stale_connections(sending.address, began)
            return Failure(
                UpstreamFault(
                    DeliveryStatus.POSSIBLY_SENT,
                    "no answer in time",
                    timed_out=True,
                    old_connection=old,
                )
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(create_fault(error))
        return _check_answer(response, sending)

    def _check_stale_connections(self, address: str, began: Seconds) -> bool:
        """Return whether a stale connection may have caused a timeout.

        If so, the idle connections of the upstream VM are closed. Requests sent after
        that use new connections, so their timeouts are attributed to the VM.
        """
        dropped_at = self._dropped_at_by_address.get(address, float("-inf"))
        if began <= dropped_at:
            return True
        if began - dropped_at < STALE_CONNECTION_SECONDS:
            return False
        self.connector.drop_idle(address)
        self._dropped_at_by_address[address] = self._clock.now()
        return True


async def read_answer(
    response: aiohttp.ClientResponse, timeout: Seconds
) -> Result[bytes, UpstreamFault]:
    """Read the whole body of a response; a truncated body is a fault."""
    try:
        if response.content.is_eof():
            # The body of a small response arrives with its headers.
            return Success(await response.read())
        async with asyncio.timeout(timeout):
            return Success(await response.read())
    except (aiohttp.ClientError, OSError, ValueError) as error:
        response.close()
        return Failure(create_fault(error))
    except asyncio.CancelledError:
        response.close()
        raise


def create_fault(error: Exception) -> UpstreamFault:
    """Return the fault of a request that may have been run."""
    detail = f"{type(error).__name__}: {error}"
    timed_out = isinstance(error, TimeoutError)
    return UpstreamFault(DeliveryStatus.POSSIBLY_SENT, detail, timed_out=timed_out)


def _check_answer(
    response: aiohttp.ClientResponse, sending: OutgoingRequest
) -> Result[aiohttp.ClientResponse, UpstreamFault]:
    """Reject a response that may be incomplete or belong to another request."""
    answered_id = response.headers.get(ID_HEADER)
    if answered_id is not None and answered_id != sending.headers[ID_HEADER]:
        # An upstream that answers twice, or late on a reused connection, would give
        # one caller the answer of another. The echoed request id reveals this.
        response.close()
        return Failure(
            UpstreamFault(
                DeliveryStatus.POSSIBLY_SENT,
                "the answer belongs to another request",
                timed_out=False,
            )
        )
    if _has_no_end(response, sending.method):
        # Without a length or chunked encoding, the body ends with the connection,
        # and a truncated response cannot be told from a complete one.
        response.close()
        return Failure(
            UpstreamFault(
                DeliveryStatus.POSSIBLY_SENT,
                "the answer has no length",
                timed_out=False,
            )
        )
    return Success(response)


def _has_no_end(response: aiohttp.ClientResponse, method: str) -> bool:
    if method == "HEAD" or response.status in NO_BODY_STATUSES:
        return False
    headers = response.headers
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


def _create_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # aiohttp repeats PUT and DELETE by itself when a connection breaks; the caller
    # would see one answer and the upstream would run the request twice. The retry
    # system decides about all repeats, so aiohttp's is disabled.
    session._retry_connection = False
    return session


def copy_answer_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a response that are forwarded to the caller."""
    copied: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_HEADERS:
            copied.add(name, value)
    return copied


__all__ = [
    "HOP_HEADERS",
    "STATE_HEADER",
    "DeliveryStatus",
    "OutgoingRequest",
    "UpstreamClient",
    "UpstreamFault",
    "copy_answer_headers",
    "create_fault",
    "read_answer",
]
