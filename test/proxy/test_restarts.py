"""What had left or was withdrawn before a restart is not in use again after it."""

from jackdawsail.registry.registration import Registration
from jackdawsail.wire.site_messages import AnnouncedWeights, SiteSummary
from test.proxy.crash_site import CrashSite


def late_heartbeat(site, engine):
    held = site.controls[1].fanout.registrations.get(engine.name)
    return Registration(
        **{
            name: getattr(held.registration, name)
            for name in Registration.__slots__
            if name not in {'leaving', 'gone'}
        },
        leaving=False,
    )


def is_in_use(entry, engine):
    control_seconds = entry.view.control_received_seconds
    usable = entry.context.upstreams.usable(engine.service, control_seconds)
    return engine.name in [upstream.name for upstream in usable]


def test_engine_that_had_left_is_not_in_use_again_after_a_control_host_and_an_entry_restarted():
    site = CrashSite()
    engine = site.engines[0]
    heartbeat = late_heartbeat(site, engine)
    for control in site.controls:
        control.fanout.deregister(engine.name)
    site.run(0.1)
    assert not any(is_in_use(entry, engine) for entry in site.entries)
    restarted = site.restart_control(0)
    site.close_links(site.entries[0].client.router)
    site.entries[0] = site.make_entry(site.entries[0].address)
    restarted.fanout.register(heartbeat, 'late')
    site.send_summaries()
    site.run(1)
    assert is_in_use(site.entries[0], site.engines[1])
    assert not any(is_in_use(entry, engine) for entry in site.entries)


def test_engine_that_had_left_is_not_in_use_again_after_all_control_hosts_restarted():
    site = CrashSite()
    engine = site.engines[0]
    heartbeat = late_heartbeat(site, engine)
    engine.alive = False  # it sends no heartbeat any more
    for control in site.controls:
        control.fanout.deregister(engine.name)
    site.run(0.1)
    for number, control in enumerate(site.controls):
        site.close_links(control.router)
        site.restart_control(number)
    site.run(0.1)
    site.close_links(site.entries[0].client.router)
    site.entries[0] = site.make_entry(site.entries[0].address)
    site.controls[1].fanout.register(heartbeat, 'late')
    site.send_summaries()
    site.run(1)
    assert is_in_use(site.entries[0], site.engines[1])
    assert not any(is_in_use(entry, engine) for entry in site.entries)


def test_engine_that_had_left_is_not_in_use_again_after_all_processes_restarted():
    site = CrashSite()
    engine = site.engines[0]
    heartbeat = late_heartbeat(site, engine)
    engine.alive = False
    for control in site.controls:
        control.fanout.deregister(engine.name)
    site.run(0.1)
    site.restart_all()
    site.controls[1].fanout.register(heartbeat, 'late')
    site.run(4)  # past the stability window and the time to drain
    assert is_in_use(site.entries[0], site.engines[1])
    assert not any(is_in_use(entry, engine) for entry in site.entries)


def test_entry_that_went_on_tells_control_hosts_that_start_when_weights_were_announced():
    site = CrashSite()
    entry = site.entries[1]
    told = [AnnouncedWeights('m', 2, 7.5)]
    entry.context.view.apply_summary(SiteSummary(0, 0, [], told), site.clock.seconds())
    for number, control in enumerate(site.controls):
        site.close_links(control.router)
        site.restart_control(number)
    site.run(1)
    for control in site.controls:
        [target] = control.fanout.announcements['m']
        assert site.clock.seconds() - target.announced_seconds >= 7.5
