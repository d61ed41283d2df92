"""The registry of the process's Prometheus metrics."""

from prometheus_client import CollectorRegistry, generate_latest

REGISTRY = CollectorRegistry()


def render_metrics() -> bytes:
    """Renders all registered metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
