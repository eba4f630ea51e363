"""Test the metrics of an entry host that forwards by routes."""

from samphirelug.components.metrics import forwarding


def test_refusals_for_shortage_have_a_bounded_number_of_labels() -> None:
    """Guard against metrics that grow with the teams of a configuration."""
    metrics = forwarding.ForwardingMetrics()
    for number in range(500):
        metrics.count_shortage_refusal(f"team-{number}", number)
    lines = metrics.render().decode().splitlines()
    by_team, by_priority = (
        [line for line in lines if line.startswith(f"{name}{{")]
        for name in (
            "samphirelug_shortage_refusals_by_team_total",
            "samphirelug_shortage_refusals_by_priority_total",
        )
    )
    assert len(by_team) == forwarding.MAX_TEAM_LABELS
    assert len(by_priority) == forwarding.MAX_PRIORITY_LABELS
    assert any('team="other"' in line and "401" in line for line in by_team)


def test_split_requests_have_a_bounded_number_of_routes() -> None:
    """Guard against metrics that grow with the routes of a configuration."""
    metrics = forwarding.ForwardingMetrics()
    for number in range(500):
        metrics.count_split(route=f"route-{number}", service="desk")
    lines = [
        line
        for line in metrics.render().decode().splitlines()
        if line.startswith("samphirelug_split_requests_total{")
    ]
    assert len(lines) == forwarding.MAX_SPLIT_ROUTE_LABELS
    assert any('route="other"' in line and "401" in line for line in lines)
