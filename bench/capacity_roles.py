"""Formulas of docs/CAPACITY.md: project the measured slopes to the design size."""

from dataclasses import dataclass

from bench.capacity_size import KIBIBYTE, MEBIBYTE, DesignSize, NodeBudget
from bench.capacity_slopes import Slopes

MEASURED = 'built and measured'
BUILT = 'built'
DESIGNED = 'designed only'
BUDGET = NodeBudget()
ROLE_HEADER = (
    '| role | quantity | formula | value | budget | mechanism | state |\n'
    '| --- | --- | --- | --- | --- | --- | --- |\n'
)


@dataclass(frozen=True, slots=True)
class RoleRow:
    """One row of the role table; a ``budget`` of zero means that none applies."""

    role: str
    quantity: str
    formula: str
    amount: float
    unit: str
    budget: float
    mechanism: str
    state: str

    def render(self) -> str:
        """Formats the row as Markdown and marks a value above its budget in bold."""
        value = f'{format_amount(self.amount)} {self.unit}'
        budget_cell = '-'
        if self.budget:
            verdict = 'within' if self.amount <= self.budget else '**over**'
            budget_cell = f'{format_amount(self.budget)} {self.unit}: {verdict}'
        cells = (
            self.role,
            self.quantity,
            self.formula,
            value,
            budget_cell,
            self.mechanism,
            self.state,
        )
        return f'| {" | ".join(cells)} |'


def format_amount(amount: float) -> str:
    """Formats a number with three significant digits, without an exponent.

    From 100 on the number is rounded to whole and gets thousands separators.
    """
    if amount >= 100:
        return f'{amount:,.0f}'
    return f'{amount:.3g}'


def make_role_table(slopes: Slopes, size: DesignSize) -> str:
    """Returns the Markdown table of the load on every role."""
    rows = [
        *entry_rows(slopes, size),
        *tracker_rows(slopes, size),
        *agent_rows(slopes, size),
        *voter_rows(slopes, size),
        *relay_rows(slopes, size),
    ]
    return ROLE_HEADER + '\n'.join(row.render() for row in rows)


def entry_rows(slopes: Slopes, size: DesignSize) -> list[RoleRow]:
    """Returns the rows of an entry: agent links, its own link to control, requests."""
    agents = size.agents_per_entry
    links_kib = agents * slopes.of('entry_bytes_per_agent') / KIBIBYTE
    control_kib = slopes.of('control_bytes_per_entry') / KIBIBYTE
    fanout_kib = (
        size.changes_per_second * slopes.of('fanout_bytes_per_change') * (1 + agents) / KIBIBYTE
    )
    memory = slopes.rest['entry'].resident_bytes + agents * slopes.of('entry_memory_per_agent')
    replica_bytes = size.customers * slopes.of('replica_bytes_per_customer')
    requests = size.requests_per_second / size.entries
    tokens = size.tokens_per_second / size.entries
    request_share = requests * slopes.of('entry_processor_per_request') + tokens * slopes.of(
        'entry_processor_per_token'
    )
    share_at_rest = slopes.intercept_of('entry_processor_per_agent')
    control_share = (
        share_at_rest
        + agents * slopes.of('entry_processor_per_agent')
        + slopes.of('entry_processor_per_change') * size.changes_per_second
    )
    return [
        RoleRow(
            'entry',
            'control traffic',
            f'{agents:.1f} agents × {slopes.of("entry_bytes_per_agent"):.0f} B/s + own link to '
            f'control {slopes.of("control_bytes_per_entry"):.0f} B/s + '
            f'{size.changes_per_second:.2f} changes/s × '
            f'{slopes.of("fanout_bytes_per_change"):.0f} B × {1 + agents:.1f} links',
            links_kib + control_kib + fanout_kib,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'three entries an agent by rendezvous hash; deltas, not documents',
            MEASURED,
        ),
        RoleRow(
            'entry',
            'processor for control',
            f'at rest {share_at_rest * 100:.2f} % + {agents:.1f} agents × '
            f'{slopes.of("entry_processor_per_agent") * 100:.4f} % + '
            f'{size.changes_per_second:.2f} changes/s × '
            f'{slopes.of("entry_processor_per_change") * 1000:.2f} ms',
            control_share * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'heartbeats of one second, one message each way',
            MEASURED,
        ),
        RoleRow(
            'entry',
            'memory',
            f'at rest {slopes.rest["entry"].resident_bytes / MEBIBYTE:.0f} MiB + {agents:.1f} '
            f'agents × {slopes.of("entry_memory_per_agent") / KIBIBYTE:.1f} KiB + '
            f'{size.customers:,} customers × {slopes.of("replica_bytes_per_customer"):.0f} B',
            (memory + replica_bytes) / MEBIBYTE,
            'MiB',
            BUDGET.memory_bytes / MEBIBYTE,
            'soft state of its own agents only',
            MEASURED,
        ),
        RoleRow(
            'entry',
            'processor for requests',
            f'{requests:.1f} requests/s × '
            f'{slopes.of("entry_processor_per_request") * 1000:.2f} ms + {tokens:,.0f} tokens/s × '
            f'{slopes.of("entry_processor_per_token") * 1e6:.1f} µs',
            request_share * 100,
            '% of a core',
            100 / 3,
            'tokens coalesced into parts; a third of a core leaves the asked three times',
            MEASURED,
        ),
    ]


def tracker_rows(slopes: Slopes, size: DesignSize) -> list[RoleRow]:
    """Returns the rows of an entry that is its zone's tracker while all hosts fetch one release."""
    hosts = size.upstream_hosts / size.zones
    messages_per_second = hosts * slopes.of('tracker_messages_per_agent')
    processor_share = messages_per_second * slopes.of('tracker_processor_per_message')
    bitmap_bytes = size.chunks / 8
    state_bytes = hosts * (bitmap_bytes + size.chunks * slopes.of('tracker_bytes_per_chunk'))
    return [
        RoleRow(
            'entry as tracker',
            'messages in a burst',
            f'{hosts:.1f} hosts × {slopes.of("tracker_messages_per_agent"):.2f} messages/s',
            messages_per_second,
            'messages/s',
            0,
            'one tracker a data centre, named by lease',
            MEASURED,
        ),
        RoleRow(
            'entry as tracker',
            'processor in a burst',
            f'{messages_per_second:.0f} messages/s × '
            f'{slopes.of("tracker_processor_per_message") * 1e6:.0f} µs',
            processor_share * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'batches of chunks, one order a report',
            MEASURED,
        ),
        RoleRow(
            'entry as tracker',
            'state',
            f'{hosts:.1f} hosts × ({size.chunks:,} chunks ÷ 8 + {size.chunks:,} × '
            f'{slopes.of("tracker_bytes_per_chunk"):.1f} B)',
            state_bytes / MEBIBYTE,
            'MiB',
            BUDGET.memory_bytes / MEBIBYTE,
            'bitmaps, rebuilt from reports',
            MEASURED,
        ),
    ]


def agent_rows(slopes: Slopes, size: DesignSize) -> list[RoleRow]:
    """Returns the rows of an agent on an upstream host."""
    links = size.links_per_agent
    engines = size.engines / size.upstream_hosts
    bytes_per_second = links * (
        slopes.of('entry_bytes_per_agent')
        + size.changes_per_second * slopes.of('fanout_bytes_per_change')
    )
    requests = size.requests_per_second / size.upstream_hosts
    tokens = size.tokens_per_second / size.upstream_hosts
    request_share = requests * slopes.of('agent_processor_per_request') + tokens * slopes.of(
        'agent_processor_per_token'
    )
    return [
        RoleRow(
            'agent',
            'control traffic',
            f'{links} entries × ({slopes.of("entry_bytes_per_agent"):.0f} B/s + '
            f'{size.changes_per_second:.2f} × {slopes.of("fanout_bytes_per_change"):.0f} B)',
            bytes_per_second / KIBIBYTE,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'three links an agent, whatever the size',
            MEASURED,
        ),
        RoleRow(
            'agent',
            'memory',
            f'at rest {slopes.rest["agent"].resident_bytes / MEBIBYTE:.0f} MiB + '
            f'{size.customers:,} customers × {slopes.of("replica_bytes_per_customer"):.0f} B + '
            f'one chunk in flight of {size.chunk_bytes / MEBIBYTE:.0f} MiB streamed in pieces',
            (
                slopes.rest['agent'].resident_bytes
                + size.customers * slopes.of('replica_bytes_per_customer')
            )
            / MEBIBYTE,
            'MiB',
            BUDGET.memory_bytes / MEBIBYTE,
            'chunks are streamed to the file, never held whole',
            MEASURED,
        ),
        RoleRow(
            'agent',
            'processor for requests',
            f'{requests:.1f} requests/s × '
            f'{slopes.of("agent_processor_per_request") * 1000:.2f} ms + {tokens:,.0f} tokens/s × '
            f'{slopes.of("agent_processor_per_token") * 1e6:.1f} µs',
            request_share * 100,
            '% of a core',
            100 / 3,
            'the answer relayed in parts',
            MEASURED,
        ),
        RoleRow(
            'agent',
            'engines of one agent',
            f'{size.engines:,} engines ÷ {size.upstream_hosts:,} hosts',
            engines,
            'engines',
            0,
            'one slot a host: at this size an agent must hold several engines; today it holds one',
            DESIGNED,
        ),
    ]


def voter_rows(slopes: Slopes, size: DesignSize) -> list[RoleRow]:
    """Returns the rows of the control voter that is the leader."""
    links = size.relays + size.voters - 1
    bytes_per_entry = slopes.of('control_bytes_per_relayed_entry')
    relayed_kib = size.entries * bytes_per_entry / KIBIBYTE
    commands = size.changes_per_second + size.claims_per_second / 10
    raft_kib = commands * slopes.of('raft_bytes_per_command') * (size.voters - 1) / KIBIBYTE
    share_at_rest = slopes.intercept_of('control_processor_per_entry')
    processor_share = (
        share_at_rest
        + commands * slopes.of('control_processor_per_change')
        + links * slopes.of('control_processor_per_entry')
    )
    return [
        RoleRow(
            'control leader',
            'traffic',
            f'{size.entries} entries behind relays × {bytes_per_entry:.1f} B/s + '
            f'{commands:.1f} commands/s × {slopes.of("raft_bytes_per_command"):.0f} B × '
            f'{size.voters - 1} followers',
            relayed_kib + raft_kib,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'relays between entries and voters; claims batched by ten into one command',
            MEASURED,
        ),
        RoleRow(
            'control leader',
            'processor',
            f'at rest {share_at_rest * 100:.2f} % + {commands:.1f} commands/s × '
            f'{slopes.of("control_processor_per_change") * 1000:.2f} ms + {links} links × '
            f'{slopes.of("control_processor_per_entry") * 100:.3f} %',
            processor_share * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'one fsync and one round trip a batch; set-aside host, so the node budget is a wish',
            MEASURED,
        ),
        RoleRow(
            'control leader',
            'memory',
            f'at rest {slopes.rest["control"].resident_bytes / MEBIBYTE:.0f} MiB + '
            f'{size.customers:,} customers × {slopes.of("replica_bytes_per_customer"):.0f} B + '
            f'a day of {size.changes_per_day:,} audit records × '
            f'{slopes.of("audit_bytes_per_record"):.0f} B',
            (
                slopes.rest['control'].resident_bytes
                + size.customers * slopes.of('replica_bytes_per_customer')
                + size.changes_per_day * slopes.of('audit_bytes_per_record')
            )
            / MEBIBYTE,
            'MiB',
            BUDGET.memory_bytes / MEBIBYTE,
            'nothing per engine in the replicated state',
            MEASURED,
        ),
        RoleRow(
            'control leader',
            'claims without relays',
            f'{size.claims_per_second:.0f} claims/s × '
            f'{slopes.of("claim_processor_per_claim") * 1000:.2f} ms',
            size.claims_per_second * slopes.of('claim_processor_per_claim') * 100,
            '% of a core',
            0,
            'ledgers sharded by key over regional groups at the size',
            DESIGNED,
        ),
    ]


def relay_rows(slopes: Slopes, size: DesignSize) -> list[RoleRow]:
    """Returns the rows of a regional relay, and the count of set-aside hosts."""
    entries = size.entries_per_relay
    bytes_per_entry = slopes.of('control_bytes_per_entry')
    fanout_bytes = size.changes_per_second * slopes.of('fanout_bytes_per_change')
    return [
        RoleRow(
            'regional relay',
            'traffic',
            f'{entries:.1f} entries × ({bytes_per_entry:.0f} B/s + {size.changes_per_second:.2f} × '
            f'{slopes.of("fanout_bytes_per_change"):.0f} B)',
            entries * (bytes_per_entry + fanout_bytes) / KIBIBYTE,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'stateless relay a region; set-aside host',
            MEASURED,
        ),
        RoleRow(
            'regional relay',
            'processor',
            f'at rest {slopes.intercept_of("relay_processor_per_entry") * 100:.2f} % + '
            f'{entries:.1f} entries × {slopes.of("relay_processor_per_entry") * 100:.3f} %',
            (
                slopes.intercept_of('relay_processor_per_entry')
                + entries * slopes.of('relay_processor_per_entry')
            )
            * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'one aggregated request a region each half second',
            MEASURED,
        ),
        RoleRow(
            'set-aside hosts',
            'count',
            f'{size.voters} voters + {size.relays} relays',
            size.set_aside_hosts,
            'hosts',
            size.set_aside_hosts,
            'voters spread over data centres, one relay a region',
            BUILT,
        ),
    ]


def make_load_table(slopes: Slopes, size: DesignSize) -> str:
    """Returns the table of loads, sizes and intervals that follow from the design size."""
    hosts_per_zone = size.upstream_hosts / size.zones
    restart_interval_seconds = 86400 / (size.restarts_per_day + size.host_failures_per_day)
    origin_gbit = 4 * size.model_bytes * 8 / 1e9
    snapshot_mib = size.customers * slopes.of('replica_bytes_per_customer') / MEBIBYTE
    rows = [
        ('requests of one entry', f'{size.requests_per_second / size.entries:.1f} a second'),
        ('tokens of one entry', f'{size.tokens_per_second / size.entries:,.0f} a second'),
        ('changes in the busiest minute', f'{size.changes_per_second * 60:.0f}'),
        ('chunks of one model', f'{size.chunks:,} of {size.chunk_bytes / MEBIBYTE:.0f} MiB'),
        (
            'origin bytes of a burst',
            f'4 × {size.model_bytes / 1e9:.0f} GB = {origin_gbit:,.0f} Gbit',
        ),
        ('hosts of one data centre', f'{hosts_per_zone:.0f}'),
        ('a host fails or restarts every', f'{restart_interval_seconds:.0f} s'),
        ('snapshot for a restarted node', f'{snapshot_mib:.1f} MiB'),
    ]
    lines = ['| figure | value |', '| --- | --- |']
    lines.extend(f'| {name} | {value} |' for name, value in rows)
    return '\n'.join(lines)
