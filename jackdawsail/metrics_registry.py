"""The metrics of a process in the Prometheus text format."""

from prometheus_client import CollectorRegistry, generate_latest

REGISTRY = CollectorRegistry()


def render_metrics() -> bytes:
    """Renders every metric of the process."""
    return generate_latest(REGISTRY)
