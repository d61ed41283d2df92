"""The formulas of docs/CAPACITY.md: measured slopes multiplied out to the design size."""

from dataclasses import dataclass

from bench.capacity_size import KIBIBYTE, MEBIBYTE, Budget, Size
from bench.capacity_slopes import Slopes

MEASURED = 'built and measured'
BUILT = 'built'
DESIGNED = 'designed only'
BUDGET = Budget()
ROLE_HEADER = (
    '| role | quantity | formula | value | budget | mechanism | state |\n'
    '| --- | --- | --- | --- | --- | --- | --- |\n'
)


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the role table; ``budget`` zero means that none applies."""

    role: str
    quantity: str
    formula: str
    amount: float
    unit: str
    budget: float
    mechanism: str
    state: str

    def render(self) -> str:
        """Formats the line and says plainly where a budget is exceeded."""
        shown = f'{show(self.amount)} {self.unit}'
        limit = '-'
        if self.budget:
            verdict = 'within' if self.amount <= self.budget else '**over**'
            limit = f'{show(self.budget)} {self.unit}: {verdict}'
        parts = (self.role, self.quantity, self.formula, shown, limit, self.mechanism, self.state)
        return f'| {" | ".join(parts)} |'


def show(amount: float) -> str:
    """Formats a number with three significant digits and no exponent."""
    if amount >= 100:
        return f'{amount:,.0f}'
    return f'{amount:.3g}'


def make_role_table(slopes: Slopes, size: Size) -> str:
    """Returns the table of all roles."""
    lines = [
        *entry_lines(slopes, size),
        *tracker_lines(slopes, size),
        *agent_lines(slopes, size),
        *voter_lines(slopes, size),
        *relay_lines(slopes, size),
    ]
    return ROLE_HEADER + '\n'.join(line.render() for line in lines)


def entry_lines(slopes: Slopes, size: Size) -> list[Line]:
    """An entry: agent links, its own link to control, requests."""
    agents = size.agents_per_entry
    links_kib = agents * slopes.of('entry_bytes_per_agent') / KIBIBYTE
    control_kib = slopes.of('control_bytes_per_entry') / KIBIBYTE
    fanout_kib = (
        size.changes_per_second * slopes.of('fanout_bytes_per_change') * (1 + agents) / KIBIBYTE
    )
    memory = slopes.rest['entry'].resident_bytes + agents * slopes.of('entry_memory_per_agent')
    state_bytes = size.customers * slopes.of('replica_bytes_per_customer')
    requests = size.requests_per_second / size.entries
    tokens = size.tokens_per_second / size.entries
    work_share = requests * slopes.of('entry_processor_per_request') + tokens * slopes.of(
        'entry_processor_per_token'
    )
    at_rest = slopes.base('entry_processor_per_agent')
    control_share = (
        at_rest
        + agents * slopes.of('entry_processor_per_agent')
        + slopes.of('entry_processor_per_change') * size.changes_per_second
    )
    return [
        Line(
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
        Line(
            'entry',
            'processor for control',
            f'at rest {at_rest * 100:.2f} % + {agents:.1f} agents × '
            f'{slopes.of("entry_processor_per_agent") * 100:.4f} % + '
            f'{size.changes_per_second:.2f} changes/s × '
            f'{slopes.of("entry_processor_per_change") * 1000:.2f} ms',
            control_share * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'heartbeats of one second, one message each way',
            MEASURED,
        ),
        Line(
            'entry',
            'memory',
            f'at rest {slopes.rest["entry"].resident_bytes / MEBIBYTE:.0f} MiB + {agents:.1f} '
            f'agents × {slopes.of("entry_memory_per_agent") / KIBIBYTE:.1f} KiB + '
            f'{size.customers:,} customers × {slopes.of("replica_bytes_per_customer"):.0f} B',
            (memory + state_bytes) / MEBIBYTE,
            'MiB',
            BUDGET.memory_bytes / MEBIBYTE,
            'soft state of its own agents only',
            MEASURED,
        ),
        Line(
            'entry',
            'processor for requests',
            f'{requests:.1f} requests/s × '
            f'{slopes.of("entry_processor_per_request") * 1000:.2f} ms + {tokens:,.0f} tokens/s × '
            f'{slopes.of("entry_processor_per_token") * 1e6:.1f} µs',
            work_share * 100,
            '% of a core',
            100 / 3,
            'tokens coalesced into parts; a third of a core leaves the asked three times',
            MEASURED,
        ),
    ]


def tracker_lines(slopes: Slopes, size: Size) -> list[Line]:
    """An entry that is also the tracker of its data centre during a burst."""
    hosts = size.upstream_hosts / size.zones
    reports = hosts * slopes.of('tracker_messages_per_agent')
    share = reports * slopes.of('tracker_processor_per_message')
    bitmap_bytes = size.chunks / 8
    state_bytes = hosts * (bitmap_bytes + size.chunks * slopes.of('tracker_bytes_per_chunk'))
    return [
        Line(
            'entry as tracker',
            'messages in a burst',
            f'{hosts:.1f} hosts × {slopes.of("tracker_messages_per_agent"):.2f} messages/s',
            reports,
            'messages/s',
            0,
            'one tracker a data centre, named by lease',
            MEASURED,
        ),
        Line(
            'entry as tracker',
            'processor in a burst',
            f'{reports:.0f} messages/s × '
            f'{slopes.of("tracker_processor_per_message") * 1e6:.0f} µs',
            share * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'batches of chunks, one order a report',
            MEASURED,
        ),
        Line(
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


def agent_lines(slopes: Slopes, size: Size) -> list[Line]:
    """An agent on an upstream host of the design size."""
    links = size.links_per_agent
    engines = size.engines / size.upstream_hosts
    bytes_kib = links * (
        slopes.of('entry_bytes_per_agent')
        + size.changes_per_second * slopes.of('fanout_bytes_per_change')
    )
    requests = size.requests_per_second / size.upstream_hosts
    tokens = size.tokens_per_second / size.upstream_hosts
    work = requests * slopes.of('agent_processor_per_request') + tokens * slopes.of(
        'agent_processor_per_token'
    )
    return [
        Line(
            'agent',
            'control traffic',
            f'{links} entries × ({slopes.of("entry_bytes_per_agent"):.0f} B/s + '
            f'{size.changes_per_second:.2f} × {slopes.of("fanout_bytes_per_change"):.0f} B)',
            bytes_kib / KIBIBYTE,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'three links an agent, whatever the size',
            MEASURED,
        ),
        Line(
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
        Line(
            'agent',
            'processor for requests',
            f'{requests:.1f} requests/s × '
            f'{slopes.of("agent_processor_per_request") * 1000:.2f} ms + {tokens:,.0f} tokens/s × '
            f'{slopes.of("agent_processor_per_token") * 1e6:.1f} µs',
            work * 100,
            '% of a core',
            100 / 3,
            'the answer relayed in parts',
            MEASURED,
        ),
        Line(
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


def voter_lines(slopes: Slopes, size: Size) -> list[Line]:
    """A control voter that leads."""
    links = size.relays + size.voters - 1
    relayed = slopes.of('control_bytes_per_relayed_entry')
    lease_kib = size.entries * relayed / KIBIBYTE
    commands = size.changes_per_second + size.claims_per_second / 10
    raft_kib = commands * slopes.of('raft_bytes_per_command') * (size.voters - 1) / KIBIBYTE
    at_rest = slopes.base('control_processor_per_entry')
    share = (
        at_rest
        + commands * slopes.of('control_processor_per_change')
        + links * slopes.of('control_processor_per_entry')
    )
    return [
        Line(
            'control leader',
            'traffic',
            f'{size.entries} entries behind relays × {relayed:.1f} B/s + '
            f'{commands:.1f} commands/s × {slopes.of("raft_bytes_per_command"):.0f} B × '
            f'{size.voters - 1} followers',
            lease_kib + raft_kib,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'relays between entries and voters; claims batched by ten into one command',
            MEASURED,
        ),
        Line(
            'control leader',
            'processor',
            f'at rest {at_rest * 100:.2f} % + {commands:.1f} commands/s × '
            f'{slopes.of("control_processor_per_change") * 1000:.2f} ms + {links} links × '
            f'{slopes.of("control_processor_per_entry") * 100:.3f} %',
            share * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'one fsync and one round trip a batch; set-aside host, so the node budget is a wish',
            MEASURED,
        ),
        Line(
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
        Line(
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


def relay_lines(slopes: Slopes, size: Size) -> list[Line]:
    """A regional relay between entries and voters."""
    entries = size.entries_per_relay
    per_entry = slopes.of('control_bytes_per_entry')
    fanout = size.changes_per_second * slopes.of('fanout_bytes_per_change')
    return [
        Line(
            'regional relay',
            'traffic',
            f'{entries:.1f} entries × ({per_entry:.0f} B/s + {size.changes_per_second:.2f} × '
            f'{slopes.of("fanout_bytes_per_change"):.0f} B)',
            entries * (per_entry + fanout) / KIBIBYTE,
            'KiB/s',
            BUDGET.bytes_per_second / KIBIBYTE,
            'stateless relay a region; set-aside host',
            MEASURED,
        ),
        Line(
            'regional relay',
            'processor',
            f'at rest {slopes.base("relay_processor_per_entry") * 100:.2f} % + {entries:.1f} '
            f'entries × {slopes.of("relay_processor_per_entry") * 100:.3f} %',
            (
                slopes.base('relay_processor_per_entry')
                + entries * slopes.of('relay_processor_per_entry')
            )
            * 100,
            '% of a core',
            BUDGET.processor_share * 100,
            'one aggregated request a region each half second',
            MEASURED,
        ),
        Line(
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


def make_days_table(slopes: Slopes, size: Size) -> str:
    """Works the letter's days through, as far as they are arithmetic."""
    per_zone = size.upstream_hosts / size.zones
    restart_seconds = 86400 / (size.restarts_per_day + size.host_failures_per_day)
    origin_gbit = 4 * size.model_bytes * 8 / 1e9
    snapshot = size.customers * slopes.of('replica_bytes_per_customer') / MEBIBYTE
    rows = [
        ('requests of one entry', f'{size.requests_per_second / size.entries:.1f} a second'),
        ('tokens of one entry', f'{size.tokens_per_second / size.entries:,.0f} a second'),
        ('changes in the busiest minute', f'{size.changes_per_second * 60:.0f}'),
        ('chunks of one model', f'{size.chunks:,} of {size.chunk_bytes / MEBIBYTE:.0f} MiB'),
        (
            'origin bytes of a burst',
            f'4 × {size.model_bytes / 1e9:.0f} GB = {origin_gbit:,.0f} Gbit',
        ),
        ('hosts of one data centre', f'{per_zone:.0f}'),
        ('a host fails or restarts every', f'{restart_seconds:.0f} s'),
        ('snapshot for a restarted node', f'{snapshot:.1f} MiB'),
    ]
    lines = ['| figure | value |', '| --- | --- |']
    lines.extend(f'| {name} | {value} |' for name, value in rows)
    return '\n'.join(lines)
