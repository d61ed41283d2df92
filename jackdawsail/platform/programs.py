"""Starts one of the programs of a site, with the platform's message formats.

Example::

    python -m jackdawsail.platform.programs entry
"""

import signal
import sys

from jackdawsail.platform.lean_start import begin_lean_start

if __name__ == '__main__':
    # Until the program has started; it reads its settings after this, and again every few seconds.
    # The imports below take most of the time until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    begin_lean_start()

from jackdawsail.platform.settings import decode_settings, settings_path
from jackdawsail.site.process import NodeProcess
from jackdawsail.site.running import NodeProgram, SettingsSource, run_node
from jackdawsail.wire.identity import Role


def make_control(process: NodeProcess) -> NodeProgram:
    """Builds the program of a control host."""
    from jackdawsail.group.calls import CallCodec
    from jackdawsail.group.operator_calls import with_operator_calls
    from jackdawsail.group.program import make_control_program
    from jackdawsail.platform.calls import AnswerEncoder, decode_call

    port = int(process.settings.listening.control.rpartition(':')[2])
    codec = with_operator_calls(CallCodec(decode_call, AnswerEncoder(port).encode))
    return make_control_program(process, codec)


def make_entry(process: NodeProcess) -> NodeProgram:
    """Builds the program of an entry."""
    from jackdawsail.group.calls import CallCodec
    from jackdawsail.platform import engines, traffic
    from jackdawsail.platform.calls import AnswerEncoder, decode_call
    from jackdawsail.platform.documents import decode_document
    from jackdawsail.proxy.codecs import EntryCodecs, TrafficCodec
    from jackdawsail.proxy.program import make_entry_program

    traffic_codec = TrafficCodec(
        decode_call=traffic.decode_caller_call,
        upstream_headers=traffic.upstream_headers,
        decode_head=traffic.decode_upstream_head,
        retry_after=traffic.retry_after,
    )
    calls = CallCodec(decode_call, AnswerEncoder().encode)
    return make_entry_program(
        process, EntryCodecs(traffic_codec, calls, decode_document, engines.origin_codec())
    )


def make_agent(process: NodeProcess) -> NodeProgram:
    """Builds the program of an agent."""
    from jackdawsail.platform import engines
    from jackdawsail.platform.documents import decode_document
    from jackdawsail.staging.program import AgentCodecs, make_agent_program

    codecs = AgentCodecs(decode_document, engines.engine_codec(), engines.origin_codec())
    return make_agent_program(process, codecs)


_PROGRAMS = {'control': make_control, 'entry': make_entry, 'agent': make_agent}


def main() -> int:
    """Runs the program that the first argument names; returns the exit code."""
    name = sys.argv[1] if len(sys.argv) == 2 else ''
    if name not in _PROGRAMS:
        print(f'usage: programs {"|".join(_PROGRAMS)}', file=sys.stderr)  # noqa: T201
        return 2
    source = SettingsSource(settings_path(), decode_settings)
    return run_node(Role(name), source, _PROGRAMS[name])


if __name__ == '__main__':
    sys.exit(main())
