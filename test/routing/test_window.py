"""The start-up window never exceeds the cold limit while cold, and resets at once on a fault."""

from jackdawsail.routing.window import MAX_ERRORS_IN_ROW, StartupWindow, WindowSettings


def make_window(cold_limit=1, capacity=8):
    return StartupWindow(WindowSettings(cold_limit, capacity))


def run_good(window, rounds, seconds=0.01):
    for _ in range(rounds):
        for _ in range(10):
            window.record_progress(seconds)
        window.record_success(window.limit)


def test_stays_at_the_cold_limit_while_the_engine_is_cold():
    window = make_window()
    window.observe_state('g1', cold=True)
    run_good(window, 100)
    assert window.limit == 1
    window.observe_state('g1', cold=False)
    run_good(window, 1 + 2 + 4)
    assert window.is_full


def test_events_that_arrive_together_do_not_count_as_a_latency_jump():
    window = make_window()
    for _ in range(50):
        for gap_seconds in (0.02, 0.0, 0.0, 0.02):
            window.record_progress(gap_seconds)
        window.record_success(window.limit)
    assert window.is_full


def test_new_generation_cold_report_latency_jump_and_errors_reset_the_limit():
    def limit_after(disturb):
        window = make_window()
        window.observe_state('g1', cold=False)
        run_good(window, 20)
        assert window.is_full
        disturb(window)
        return window.limit

    assert limit_after(lambda window: window.observe_state('g2', cold=False)) == 1
    assert limit_after(lambda window: window.observe_state('g1', cold=True)) == 1
    assert (
        limit_after(lambda window: [window.record_failure() for _ in range(MAX_ERRORS_IN_ROW)])
        == 1
    )
    assert limit_after(lambda window: window.record_refusal()) == 1
    assert limit_after(lambda window: [window.record_progress(0.2) for _ in range(5)]) == 1
