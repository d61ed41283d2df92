"""Builds configs as the operator sends them."""

import json

MODEL = 'daka510000'
CHUNKS = 96
CHUNK_BYTES = 24576


def route(name, prefix, kind, services, **fields):
    """One route; ``services`` is a name, or a list of (name, weight)."""
    base = {
        'name': name, 'host': 'hulo84.example', 'path_prefix': prefix, 'kind': kind,
        'timeout_ms': 6000 if kind == 'streaming' else 1200, 'target_latency_ms': 400,
        'priority': 1, 'max_attempts': 2, 'public': True, 'sticky': kind == 'streaming',
        'resumable': kind == 'streaming', 'allowed_regions': [],
    }
    if kind == 'streaming':
        base['target_gap_ms'] = 300
    if isinstance(services, str):
        base['service'] = services
    else:
        base['traffic_split'] = [{'service': s, 'weight': w} for s, w in services]
    return {**base, **fields}


def plain_service(name):
    return {
        'name': name, 'health_path': '/health', 'max_connections': 100, 'protocol': 'h1',
        'tls': False, 'cold_start_s': 0.0, 'cold_per_s': 0.0,
    }


def model_service(name):
    return {
        **plain_service(name), 'max_connections': 294, 'cold_start_s': 3.0, 'cold_per_s': 26.0,
        'engine': {
            'slots': 16, 'kv_capacity_tokens': 1640000, 'kv_bytes': 163840,
            'link_mbps': 400000.0, 'stride': 6,
            'models': [{'name': MODEL, 'pace': 1.0, 'load_s': 4.0, 'warm_s': 0.3}],
            'size_mb': 282000.0, 'adapter_slots': 8, 'loads_per_s': 0.0, 'step_ms': 6.73,
            'per_seq_ms': 0.0219, 'context_per_k': 0.0068, 'read_per_s': 30600.0,
            'pairs_per_m': 0.647, 'chunk': 2048, 'report_lag_ms': 200.0, 'loads_at_once': 8,
            'delays': [], 'usual': {'prompt': 964, 'answer': 119}, 'layers': 16,
            'layer_mb': 4540.0, 'act_bytes': 16384, 'pipe_mbps': 0.0, 'chunks': CHUNKS,
            'chunk_bytes': CHUNK_BYTES,
        },
    }


def origin_service(name, address, zone):
    return {
        'name': name, 'origin': address, 'zone': zone, 'link_mbps': 7.3, 'max_connections': 48,
    }


LIMITS = {
    'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def config(version, routes, services, tenants=()):
    return json.dumps({
        'version': version, 'routes': list(routes), 'services': list(services),
        'limits': LIMITS, 'tenants': list(tenants),
    }).encode()
