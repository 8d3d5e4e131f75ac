"""Creates the components of the daemon in the order of their start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarspring_adapters.etcd_gateway import create_etcd_gateway_store
from medlarspring_daemon.callers.service import create_caller_service
from medlarspring_daemon.configuration.config_service import create_config_service
from medlarspring_daemon.configuration.store_service import create_store_service
from medlarspring_daemon.fleet.service import create_fleet_service
from medlarspring_daemon.fleet.vm_list_service import create_vm_list_service
from medlarspring_daemon.jobs.service import create_job_service
from medlarspring_daemon.membership.holder_service import create_holder_service
from medlarspring_daemon.membership.peer_service import create_peer_service
from medlarspring_daemon.operators.audit_trimmer import create_audit_trimmer
from medlarspring_daemon.operators.metrics_service import (
    create_control_metrics_service,
)
from medlarspring_daemon.operators.service import create_operator_service

if TYPE_CHECKING:
    from medlarspring_adapters.clock import Clock
    from medlarspring_adapters.store import Store
    from medlarspring_daemon.node import Component, Node
    from medlarspring_daemon.settings import Settings


def create_store(settings: Settings, clock: Clock) -> Store:
    """Return the client of the platform's key-value service."""
    return create_etcd_gateway_store(
        settings.store.endpoints, settings.store.timeout_seconds
    )


def create_components(node: Node) -> list[Component]:
    """Return all services in start order; they are stopped in reverse order."""
    vm_list = create_vm_list_service(node)
    peers = create_peer_service(node)
    return [
        create_store_service(node),
        vm_list,
        peers,
        create_config_service(node, peers),
        create_holder_service(node, peers),
        create_control_metrics_service(node, peers),
        create_fleet_service(node),
        create_job_service(node),
        create_audit_trimmer(node),
        create_operator_service(node),
        # Last, so that on shutdown callers' requests finish while the other
        # components still run.
        create_caller_service(node),
    ]


__all__ = ["create_components", "create_store"]
