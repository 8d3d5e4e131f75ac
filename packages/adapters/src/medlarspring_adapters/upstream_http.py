"""Requests to upstream VMs: connections, failures by their proof, answers."""

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
"""Headers that concern one connection and are never passed on."""

CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
"""The library's own timers are left out but for connecting: a second set of
timers for each request costs more than the whole admission."""
STALE_CONNECTION_SECONDS = 5.0
"""After its connections were closed, a VM answers for its silence so long."""
STATE_HEADER = "Upstream-State"
"""Set by an upstream VM that refuses work, with why: ``full`` or ``leaving``."""
ID_HEADER = "Request-Id"


NO_BODY_STATUSES = frozenset({204, 304})


class DeliveryStatus(Enum):
    """What is known of a request that failed."""

    NOT_SENT = "no"
    """No byte left this process: it was certainly not run."""
    POSSIBLY_SENT = "perhaps"


@dataclass(slots=True)
class OutgoingRequest:
    """One request as it goes to one upstream VM."""

    address: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    header_timeout: Seconds
    """For the answer's headers."""


class UpstreamFault(MedlarspringError):
    """The upstream gave no usable answer."""

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
        """The connection may be at fault rather than the upstream VM."""

    def message(self) -> str:
        """Say what failed and what to do."""
        return f"The upstream VM gave no answer ({self.detail}); check its process."


class UpstreamClient:
    """One process's connections to all upstream VMs."""

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
        """Send a request and return once the answer's headers are in."""
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
        """Whether a request that got no answer may have met a silent connection.

        The idle connections of the upstream VM are closed then. Requests sent
        after that went over new ones: their silence is the VM's own.
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
    """Read an answer's whole body; one that ends early is a fault."""
    try:
        if response.content.is_eof():
            # It came with the headers, as small answers do.
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
    """Refuse answers that are not certainly the whole answer to this request."""
    answered_id = response.headers.get(ID_HEADER)
    if answered_id is not None and answered_id != sending.headers[ID_HEADER]:
        # An upstream that answers twice, or late on a reused connection, would
        # hand one caller the answer of another. The id it echoes tells.
        response.close()
        return Failure(
            UpstreamFault(
                DeliveryStatus.POSSIBLY_SENT,
                "it answered another request",
                timed_out=False,
            )
        )
    if _has_no_end(response, sending.method):
        # Without a length or chunks the end of the connection is the end of
        # the body, and a cut answer looks like a whole one.
        response.close()
        return Failure(
            UpstreamFault(
                DeliveryStatus.POSSIBLY_SENT,
                "its answer states no length",
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
    # aiohttp sends PUT and DELETE a second time by itself when a connection
    # breaks; the caller would see one answer and the upstream two runs. All
    # repeats are decided by the retry system, so this one is switched off.
    session._retry_connection = False
    return session


def copy_answer_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of an answer that are passed on to the caller."""
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
