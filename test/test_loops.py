"""The periodic actions of a program outlive an unexpected error."""

from twisted.internet.task import Clock

from jackdawsail import loops


def test_unexpected_error_in_a_periodic_action_does_not_end_it(monkeypatch):
    failures = []
    monkeypatch.setattr(loops.events, 'log_failure', failures.append)
    clock, calls = Clock(), []

    def act():
        calls.append(clock.seconds())
        if len(calls) < 3:
            raise ValueError('unexpected')

    loop = loops.start_loop(clock, act, 0.5)
    clock.pump([0.5] * 5)
    assert len(calls) == 5
    assert [str(failure.value) for failure in failures] == ['unexpected'] * 2
    loop.stop()
    clock.pump([0.5] * 5)
    assert len(calls) == 5
