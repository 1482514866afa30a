"""Gauges of a forwarder, updated when its metrics are read."""

from pistachioshed.adapters import metrics
from pistachioshed.core import dispatch, revisions


def update_gauges(
    registry: metrics.Metrics, dispatcher: dispatch.Dispatcher, now: float
) -> None:
    """Set the gauges that show the state of a dispatcher."""
    directory = dispatcher.directory
    registry.set_gauge("flows", len(dispatcher.flow_tracker.flows))
    registry.set_gauge("peers", len(dispatcher.peers.list_live(now)))
    registry.set_gauge("configuration_version", dispatcher.configuration.version)
    registry.set_gauge("upstreams_revision", directory.revision)
    registry.set_gauge("store_era", revisions.get_era(directory.revision))
    update_load_gauges(registry, dispatcher, now)
    update_zone_gauges(registry, dispatcher)


def update_load_gauges(
    registry: metrics.Metrics, dispatcher: dispatch.Dispatcher, now: float
) -> None:
    """Set the load of each service and the number of limited cold upstreams."""
    selector = dispatcher.upstream_selector
    for service in selector.load_table.services:
        load = selector.load_table.measure(service, now).load
        registry.set_gauge("service_load", load, service=service)
    if selector.cold_limiter is not None:
        services = dispatcher.configuration.services
        limited = selector.cold_limiter.count_limited(services, now)
        registry.set_gauge("cold_upstreams", limited)


def update_zone_gauges(
    registry: metrics.Metrics, dispatcher: dispatch.Dispatcher
) -> None:
    """Set the gauges of the zones that are or were evacuated."""
    evacuation_log = dispatcher.evacuation_log
    for zone in evacuation_log.ended_zones:
        registry.set_gauge("zone_evacuated", 0, zone=zone)
        registry.remove_gauge("zone_flows", zone=zone)
    if evacuation_log.zones:
        flows = evacuation_log.count_flows()
        for zone in evacuation_log.zones:
            registry.set_gauge("zone_evacuated", 1, zone=zone)
            registry.set_gauge("zone_flows", flows[zone], zone=zone)
