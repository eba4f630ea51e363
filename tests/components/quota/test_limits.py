"""Test the quota keys and bundles derived from a catalogue."""

from samphirelug.components.quota import const
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import model
from samphirelug.helpers import timer as timer_helper
from standins import builders


def test_every_key_of_a_bundle_has_a_limit_in_its_group() -> None:
    """Guard against refusals because a key of a bundle has no limit."""
    view = builders.make_view()
    by_key = limits.quota_limits(view)
    server = view.servers["filing-tartu-a-0"]
    bundle = limits.bundle_for(
        view=view,
        work=view.works["case-status"],
        server=server,
        host_region="tallinn",
        home_region="parnu",
        body_bytes=70,
    )
    assert set(bundle.units) == {
        ("region:tartu", 1),
        ("server:filing-tartu-a-0", 1),
        ("work:case-status@tartu", 1),
        ("shift:tartu", 1),
        ("link:tallinn>tartu", 70 + const.LINK_HEADER_BYTES),
        ("link:tartu>tallinn", 65536 + const.LINK_HEADER_BYTES),
    }
    groups = {by_key[unit.key].group for unit in bundle.units}
    assert groups == {"region/tartu", "link/tallinn+tartu"}
    assert by_key["shift:tartu"] == model.QuotaLimit(
        "shift:tartu", "region/tartu", 10, 5.05
    )
    assert by_key["link:tartu>tallinn"].release_delay_s == 1.01


def test_local_request_needs_no_shift_or_link_units() -> None:
    """Guard against local requests that count towards the shift cap."""
    view = builders.make_view()
    bundle = limits.bundle_for(
        view=view,
        work=view.works["case-status"],
        server=view.servers["filing-tallinn-a-0"],
        host_region="tallinn",
        home_region="tallinn",
        body_bytes=70,
    )
    assert {unit.key.partition(":")[0] for unit in bundle.units} == {
        "region",
        "server",
        "work",
    }


def test_hosts_share_the_groups_of_their_region_and_its_links() -> None:
    """Guard against a host that cannot send over a link of its region."""
    assert limits.groups_of(builders.make_view(), "parnu") == (
        "region/parnu",
        "link/parnu+tallinn",
        "link/parnu+tartu",
    )
    assert limits.regions_of_group("link/a+b") == ("a", "b")


def test_shift_cap_holds_in_a_window_of_a_slower_clock() -> None:
    """Guard against two bursts within the 5 s of a slower server clock.

    A release delay of just 5 s on a fast clock would admit them.
    """
    limit = limits.quota_limits(builders.make_view())["shift:tartu"]
    timer = timer_helper.ManualTimerService()
    ledger = quota_ledger.QuotaLedger(timer=timer)
    ledger.set_limits({limit.key: limit})
    ledger.set_seat(
        group=limit.group,
        units={limit.key: limit.limit},
        limits={limit.key: limit.limit},
        valid_until_s=900.0,
    )
    units = (model.UnitAmount(limit.key, limit.limit),)
    bundle = model.Bundle("tartu", "s", units)
    ledger.release(ledger.try_hold(bundle).unwrap())
    # 5 s on the server's clock are up to 5.05 s on the entry host's.
    timer.advance(5.04)
    assert ledger.free(limit.key) == 0
    timer.advance(0.02)
    assert ledger.free(limit.key) == limit.limit
