"""Simulates an entry VM with the product's decisions but no event loop."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from medlarspring_adapters.events import create_event_log
from medlarspring_adapters.metrics import NoMetrics
from medlarspring_bench.measure.requests_model import (
    LIMIT_CUT,
    LIMIT_STEP,
    MAX_WAITING,
    ONE_WAY_SECONDS,
    POOL,
    REFUSED_PAUSE_SECONDS,
    SLOTS,
)
from medlarspring_bench.measure.requests_processes import create_settings
from medlarspring_bench.memory_store import create_memory_store
from medlarspring_daemon.callers.reports import CallerReports
from medlarspring_daemon.callers.slot_exchange import SlotExchange
from medlarspring_daemon.callers.state import CallerState
from medlarspring_daemon.node import create_node
from medlarspring_systems import admission, fair_queue
from medlarspring_systems.routing import choose_upstream
from medlarspring_tables import (
    EntryVMId,
    VMId,
    ZoneId,
)

if TYPE_CHECKING:
    from medlarspring_bench.measure.requests_fleet import Fleet
    from medlarspring_tables.requests import CallerRequest
    from medlarspring_tables.upstreams import Upstream


class EntryVM:
    """One simulated entry VM."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.id = EntryVMId(f"e{number}")
        self.zone_id = ZoneId(f"z{number % fleet.shape.zones}")
        rng = random.Random(fleet.rng.getrandbits(32))
        node = create_node(
            create_settings(self.id, self.zone_id),
            fleet.clock,
            rng,
            create_event_log(self.id, "ERROR"),
            NoMetrics(),
            create_memory_store(fleet.clock),
        )
        node.config = fleet.config
        node.vm_list = fleet.vm_list
        node.peers = cast("Any", SimpleNamespace(refused_by_id={}, heard_by_id={}))
        self.node = node
        self.state = CallerState(node)
        self.state.refresh()
        self.exchange = SlotExchange(node, self.state)
        self.reports = CallerReports(self.state)
        self.limits: dict[VMId, float] = {}

    def offer(self, request: CallerRequest) -> None:
        """Admit, queue or refuse one request."""
        now = self.fleet.clock.now()
        pool = self.state.get_pool(POOL)
        if not pool.waiting and (upstream := self._choose(now)) is not None:
            self._begin(request, upstream, now)
            return
        usable = self.state.count_usable_slots(POOL, now)
        queue = fair_queue.get_partner_queue(pool, request.partner_id)
        occupancy = admission.QueueOccupancy(MAX_WAITING, pool.waiting, queue.waiting)
        refusal = admission.check_admission(pool, request, usable, occupancy, now)
        if refusal is not None:
            self.fleet.record_refusal(request)
            return
        fair_queue.enqueue(pool, request)
        self.exchange.request_slots_soon(POOL)
        left = request.deadline - now - admission.estimate_service_time(pool)
        self.fleet.at(max(0.0, left), lambda: self._expire(request))

    def pump(self) -> None:
        """Send queued requests to free slots in fair-queue order."""
        pool = self.state.get_pool(POOL)
        now = self.fleet.clock.now()
        fleet_slots = self.state.count_fleet_slots(POOL)
        while pool.waiting and (upstream := self._choose(now)) is not None:
            request = fair_queue.pick_next(pool, fleet_slots, now)
            if request is None:
                break
            self._begin(request, upstream, now)
        if pool.waiting:
            self.exchange.request_slots_soon(POOL)

    def _choose(self, now: float) -> Upstream | None:
        return choose_upstream(self.state.upstreams, POOL, self.zone_id, now)

    def _expire(self, request: CallerRequest) -> None:
        if fair_queue.remove(self.state.get_pool(POOL), request):
            self.fleet.record_refusal(request)

    def _begin(self, request: CallerRequest, upstream: Upstream, now: float) -> None:
        upstream.in_use += 1
        fair_queue.begin_request(self.state.get_pool(POOL), request.partner_id, now)
        if not self.fleet.run(upstream.id):
            self.fleet.at(
                2 * ONE_WAY_SECONDS, lambda: self._handle_refusal(request, upstream)
            )
            return
        self.fleet.record_start(request, now)
        took = self.fleet.draw_service()
        self.fleet.at(took, lambda: self._finish(request, upstream, now))

    def _handle_refusal(self, request: CallerRequest, upstream: Upstream) -> None:
        """Requeue a request that a full upstream refused.

        This happens with optimistic sharing only.
        """
        now = self.fleet.clock.now()
        pool = self.state.get_pool(POOL)
        upstream.in_use -= 1
        fair_queue.finish_request(pool, request.partner_id, now, now)
        self._set_limit(upstream, self.limits[upstream.id] * LIMIT_CUT)
        upstream.credit_until = now + REFUSED_PAUSE_SECONDS
        self.fleet.at(REFUSED_PAUSE_SECONDS, lambda: self._reopen(upstream))
        fair_queue.enqueue(pool, request, first=True)
        self.pump()

    def _reopen(self, upstream: Upstream) -> None:
        upstream.credit_until = float("inf")
        self.pump()

    def _finish(self, request: CallerRequest, upstream: Upstream, began: float) -> None:
        now = self.fleet.clock.now()
        upstream.in_use -= 1
        self.fleet.end_run(upstream.id)
        fair_queue.finish_request(
            self.state.get_pool(POOL), request.partner_id, began, now
        )
        if upstream.id in self.limits:
            self._set_limit(upstream, self.limits[upstream.id] + LIMIT_STEP)
        self.fleet.record_end(request, began, now)
        self.pump()

    def _set_limit(self, upstream: Upstream, limit: float) -> None:
        self.limits[upstream.id] = min(float(SLOTS), max(1.0, limit))
        upstream.credit = int(self.limits[upstream.id])


__all__ = ["EntryVM"]
