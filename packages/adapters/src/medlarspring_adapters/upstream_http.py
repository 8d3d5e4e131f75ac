"""Requests to upstream VMs: connections, failures by their proof, answers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict
from returns.result import Failure, Result, Success
from yarl import URL

from medlarspring_tables import MedlarspringError

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

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

MAX_IDLE_SECONDS = 4.0
CONNECT_SECONDS = 1.0


class Reached(Enum):
    """What is known of a request that failed."""

    NO = "no"
    """No byte left this process: it was certainly not run."""
    PERHAPS = "perhaps"


class UpstreamFault(MedlarspringError):
    """The upstream gave no usable answer."""

    code = "upstream"

    def __init__(self, reached: Reached, detail: str, *, timed_out: bool) -> None:
        super().__init__(reached, detail)
        self.reached = reached
        self.detail = detail
        self.timed_out = timed_out

    def message(self) -> str:
        """Say what failed and what to do."""
        return f"The upstream VM gave no answer ({self.detail}); check its process."


class UpstreamClient:
    """One process's connections to all upstream VMs."""

    def __init__(self) -> None:
        self._pooled = _create_session(
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=MAX_IDLE_SECONDS, use_dns_cache=False
            )
        )
        self._fresh = _create_session(
            aiohttp.TCPConnector(limit=0, force_close=True, use_dns_cache=False)
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        *,
        timeout: Seconds,
        header_timeout: Seconds,
        fresh: bool,
    ) -> Result[aiohttp.ClientResponse, UpstreamFault]:
        """Send a request and return once the answer's headers are in."""
        session = self._fresh if fresh else self._pooled
        try:
            response = await session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout,
                    sock_connect=min(CONNECT_SECONDS, timeout),
                    sock_read=header_timeout,
                ),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(UpstreamFault(Reached.NO, str(error), timed_out=False))
        except TimeoutError:
            return Failure(
                UpstreamFault(Reached.PERHAPS, "no answer in time", timed_out=True)
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            detail = f"{type(error).__name__}: {error}"
            return Failure(UpstreamFault(Reached.PERHAPS, detail, timed_out=False))
        return Success(response)


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
    "Reached",
    "UpstreamClient",
    "UpstreamFault",
    "copy_answer_headers",
]
